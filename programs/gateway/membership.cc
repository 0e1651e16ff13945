#include "membership.h"

#include <algorithm>

namespace limpetpier {

namespace {

constexpr const char* memberKeyPrefix = "limpetpier/members/";

// Between the start of a failed call to the store and its retry.
constexpr milliseconds retryInterval { 700 };

// The store is not probed within this time after its last answer.
constexpr milliseconds minSilenceBeforeProbe { 400 };

} // namespace

membership::membership(const asio::any_io_executor& executor, metadata_store& store, store_follower& follower, listed_member self, std::string peerAddress, membership_timing timing)
    : m_store(store)
    , m_follower(follower)
    , m_timer(executor)
    , m_ownId(std::move(self.name))
    , m_ownEntry { std::move(self.zone), std::move(peerAddress) }
    , m_timing(timing)
{
}

void membership::start()
{
    acquire();
}

void membership::probeStore()
{
    const bool isRegistered = m_lease != lease_id {};
    if (m_leaving || m_renewing || !isRegistered || !m_follower.isReachable() || monotonic_clock::now() - lastStoreAnswer() < minSilenceBeforeProbe)
        return;
    m_timer.cancel();
    renew();
}

void membership::rejoin()
{
    if (m_leaving)
        return;
    m_timer.cancel();
    m_renewing = false;
    acquire();
}

void membership::leave()
{
    m_leaving = true;
    m_timer.cancel();
    if (m_lease != lease_id {})
        m_store.revokeLease(m_lease);
}

void membership::acquire()
{
    m_lease = {};
    m_store.grantLease(m_timing.leaseTtl, [this, callId = ++m_callId, sentAt = monotonic_clock::now()](store_result result, lease_id lease) {
        if (m_leaving || callId != m_callId)
            return;
        if (result == store_result::ok)
            writeOwnEntry(lease);
        else
            scheduleRetry(sentAt, &membership::acquire);
    });
}

void membership::writeOwnEntry(lease_id lease)
{
    m_entrySentAt = std::min(m_entrySentAt, monotonic_clock::now());
    m_store.write(memberKeyPrefix + m_ownId.value(), encode(m_ownEntry), lease, [this, lease, callId = ++m_callId, sentAt = monotonic_clock::now()](store_result result) {
        if (m_leaving || callId != m_callId)
            return;
        if (result != store_result::ok) {
            scheduleRetry(sentAt, &membership::acquire);
            return;
        }
        m_lease = lease;
        m_renewedAt = monotonic_clock::now();
        scheduleRenewal();
    });
}

void membership::renew()
{
    m_renewing = true;
    m_store.renewLease(m_lease, [this, callId = ++m_callId, sentAt = monotonic_clock::now()](store_result result) {
        if (m_leaving || callId != m_callId)
            return;
        m_renewing = false;
        if (result != store_result::ok && result != store_result::no_lease) {
            m_follower.reportCallFailed(sentAt);
            scheduleRetry(sentAt, &membership::renew);
            return;
        }
        m_follower.reportCallAnswered();
        if (result == store_result::no_lease) {
            acquire();
            return;
        }
        const auto now = monotonic_clock::now();
        const bool isSilent = now - lastStoreAnswer() >= m_timing.silenceTimeout;
        m_renewedAt = now;
        if (isSilent && now - m_watchCheckedAt >= m_timing.watchCheckInterval)
            checkWatch();
        else
            scheduleRenewal();
    });
}

// Reads the store's current revision. A silent watch means either that nothing changed or that the watch is lost, for
// example behind a proxy that acknowledges packets it drops; the revision tells which.
void membership::checkWatch()
{
    m_watchCheckedAt = monotonic_clock::now();
    m_store.readRevision(memberKeyPrefix + m_ownId.value(), [this, callId = ++m_callId, sentAt = m_watchCheckedAt](store_result result, store_revision revision) {
        if (m_leaving || callId != m_callId)
            return;
        const bool isMissing = result == store_result::no_lease; // the replica may not have this process's entry yet
        if (result != store_result::ok && !isMissing) {
            m_follower.reportCallFailed(sentAt);
            scheduleRetry(sentAt, &membership::renew);
            return;
        }
        if (!isMissing)
            m_follower.reportRevision(revision);
        scheduleRenewal();
    });
}

monotonic_time membership::lastStoreAnswer() const { return std::max(m_renewedAt, m_follower.lastAnswer()); }

// Renews when the interval has passed, or earlier if the store has been silent: a pending watch does not notice an
// outage.
void membership::scheduleRenewal()
{
    const auto now = monotonic_clock::now();
    const auto due = std::min(m_renewedAt + m_timing.renewalInterval, lastStoreAnswer() + m_timing.silenceTimeout);
    if (due <= now)
        renew();
    else
        scheduleStep(std::chrono::ceil<milliseconds>(due - now), &membership::scheduleRenewal);
}

void membership::scheduleRetry(monotonic_time failedCallSentAt, void (membership::*step)())
{
    const auto delay = failedCallSentAt + retryInterval - monotonic_clock::now();
    scheduleStep(std::max(std::chrono::ceil<milliseconds>(delay), milliseconds(0)), step);
}

void membership::scheduleStep(milliseconds delay, void (membership::*step)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, step](const boost::system::error_code& cancelled) {
        if (!cancelled)
            (this->*step)();
    });
}

bool membership::isMemberKey(const std::string& key) { return key.starts_with(memberKeyPrefix); }

void membership::apply(const store_item& item)
{
    const node_id node(item.key.substr(std::string_view(memberKeyPrefix).size()));
    if (item.removed)
        m_members.erase(node);
    else
        put(node, item.value);
}

void membership::put(const node_id& node, const std::string& entry)
{
    const auto space = entry.find(' ');
    const auto zone = space == std::string::npos ? std::string() : entry.substr(space + 1);
    m_members[node] = { data_centre_id(zone), entry.substr(0, space) };
}

std::set<std::string> membership::keys() const
{
    std::set<std::string> result;
    for (const auto& [name, member] : m_members)
        result.insert(memberKeyPrefix + name.value());
    return result;
}

std::vector<listed_member> membership::list() const
{
    std::vector<listed_member> result;
    for (const auto& [name, member] : m_members)
        result.push_back({ name, member.zone });
    return result;
}

} // namespace limpetpier
