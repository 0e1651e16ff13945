#include "membership.h"

namespace limpetpier {

namespace {

constexpr const char* memberKeys = "limpetpier/members/";

constexpr milliseconds retryDelay { 700 };

} // namespace

membership::membership(const asio::any_io_executor& executor, metadata_store& store, store_follower& follower, listed_member self, std::string peerAddress, membership_timing timing)
    : m_store(store)
    , m_follower(follower)
    , m_timer(executor)
    , m_self(std::move(self.name))
    , m_own { std::move(self.zone), std::move(peerAddress) }
    , m_timing(timing)
{
}

void membership::start()
{
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
    m_store.grantLease(m_timing.leaseTtl, [this](store_result result, lease_id lease) {
        if (m_leaving)
            return;
        if (result == store_result::ok)
            announce(lease);
        else
            later(retryDelay, &membership::acquire);
    });
}

void membership::announce(lease_id lease)
{
    m_store.write(memberKeys + m_self.value(), encode(m_own), lease, [this, lease](store_result result) {
        if (m_leaving)
            return;
        if (result != store_result::ok) {
            later(retryDelay, &membership::acquire);
            return;
        }
        m_lease = lease;
        m_renewed = monotonic_clock::now();
        awaitRenewal();
    });
}

void membership::renew()
{
    m_store.renewLease(m_lease, [this](store_result result) {
        if (m_leaving)
            return;
        if (result == store_result::no_lease) {
            acquire();
            return;
        }
        if (result != store_result::ok) {
            m_follower.reportCallFailed();
            later(retryDelay, &membership::renew);
            return;
        }
        m_follower.reportCallSucceeded();
        const auto now = monotonic_clock::now();
        const bool isSilent = now - lastHeard() >= m_timing.silenceTimeout;
        m_renewed = now;
        if (isSilent && now - m_watchChecked >= m_timing.watchCheckInterval)
            checkWatch();
        else
            awaitRenewal();
    });
}

// Nothing may have changed, or the watch may be lost behind something that acknowledges what it drops.
void membership::checkWatch()
{
    m_watchChecked = monotonic_clock::now();
    m_store.readRevision(memberKeys + m_self.value(), [this](store_result result, store_revision revision) {
        if (m_leaving)
            return;
        if (result != store_result::ok) {
            m_follower.reportCallFailed();
            later(retryDelay, &membership::renew);
            return;
        }
        m_follower.reportRevision(revision);
        awaitRenewal();
    });
}

monotonic_time membership::lastHeard() const { return std::max(m_renewed, m_follower.lastAnswer()); }

// A watch that waits does not notice an outage: then a renewal comes early.
void membership::awaitRenewal()
{
    const auto now = monotonic_clock::now();
    const auto due = std::min(m_renewed + m_timing.renewalInterval, lastHeard() + m_timing.silenceTimeout);
    if (due <= now)
        renew();
    else
        later(std::chrono::ceil<milliseconds>(due - now), &membership::awaitRenewal);
}

void membership::later(milliseconds delay, void (membership::*step)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, step](const boost::system::error_code& cancelled) {
        if (!cancelled)
            (this->*step)();
    });
}

bool membership::isMemberKey(const std::string& key) { return key.starts_with(memberKeys); }

void membership::apply(const store_item& item)
{
    const node_id node(item.key.substr(std::string_view(memberKeys).size()));
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

std::vector<listed_member> membership::list() const
{
    std::vector<listed_member> result;
    for (const auto& [name, member] : m_members)
        result.push_back({ name, member.zone });
    return result;
}

} // namespace limpetpier
