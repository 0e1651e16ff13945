#include "cluster_agent.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <random>

#include "limpetpier/coordination/section_edit.h"
#include "limpetpier/state/errors.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr milliseconds probeInterval { 300 };
constexpr milliseconds watchTimeout { 10'000 };
constexpr milliseconds storeRetryDelay { 300 };
constexpr milliseconds proposeInterval { 200 };

// Number of members that watch the store; the others learn of changes from their probes.
constexpr std::size_t storeReaderCount = 3;

// Number of unacknowledged probes above which all of them are forgotten.
constexpr std::size_t maxUnackedProbes = 4096;

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

} // namespace

cluster_agent::cluster_agent(asio::any_io_executor executor, cluster_agent_settings settings, link_directory& links, cluster_hooks hooks)
    : m_executor(std::move(executor))
    , m_settings(std::move(settings))
    , m_links(links)
    , m_hooks(std::move(hooks))
    , m_store(m_executor, m_settings.storeAddress, m_settings.storeTimeout)
    , m_epoch(std::make_shared<const assignment_epoch>())
    , m_document(std::make_shared<const operator_document>())
    , m_right(m_settings.self.id)
    , m_fence(m_settings.self.id)
    , m_suspicions(m_settings.self.id)
    , m_keyFloors(m_settings.self.id, m_settings.self.incarnation, wallNow())
    , m_ownership(m_settings.self.id)
{
}

cluster_agent::~cluster_agent() = default;

void cluster_agent::start()
{
    asio::co_spawn(asio::make_strand(m_executor), watchDocument(), asio::detached);
    asio::co_spawn(asio::make_strand(m_executor), watchEpoch(), asio::detached);
    asio::co_spawn(asio::make_strand(m_executor), probeLoop(), asio::detached);
    asio::co_spawn(asio::make_strand(m_executor), proposeLoop(), asio::detached);
}

void cluster_agent::leave()
{
    m_leaving = true;
}

bool cluster_agent::hasLeft() const
{
    return m_hasLeft;
}

epoch_view cluster_agent::epoch() const
{
    const std::lock_guard lock(m_mutex);
    return m_epoch;
}

document_view cluster_agent::document() const
{
    const std::lock_guard lock(m_mutex);
    return m_document;
}

std::string cluster_agent::documentText() const
{
    const std::lock_guard lock(m_mutex);
    return m_documentText;
}

bool cluster_agent::maySend(const searcher_id& searcher, monotonic_time now) const
{
    const std::lock_guard lock(m_mutex);
    return m_ownership.isActive(searcher) && m_right.isFresh(now);
}

bool cluster_agent::owns(const searcher_id& searcher) const
{
    const std::lock_guard lock(m_mutex);
    return m_ownership.owns(searcher);
}

bool cluster_agent::rightIsFresh(monotonic_time now) const
{
    const std::lock_guard lock(m_mutex);
    return m_right.isFresh(now);
}

bool cluster_agent::isMember() const
{
    const std::lock_guard lock(m_mutex);
    const auto* member = m_epoch->find(m_settings.self.id);
    return member && member->incarnation == m_settings.self.incarnation;
}

std::optional<wall_time> cluster_agent::floorFor(const idempotency_key& key) const
{
    const std::lock_guard lock(m_mutex);
    return m_keyFloors.floorFor(key);
}

std::optional<wall_time> cluster_agent::handoverFloor(epoch_number epoch) const
{
    const std::lock_guard lock(m_mutex);
    return m_keyFloors.handoverFloor(epoch);
}

std::optional<epoch_number> cluster_agent::firstMemberEpoch() const
{
    const std::lock_guard lock(m_mutex);
    return m_keyFloors.firstMemberEpoch();
}

std::vector<node_id> cluster_agent::handoverReceivers(epoch_number epoch) const
{
    const std::lock_guard lock(m_mutex);
    return m_keyFloors.handoverReceivers(epoch);
}

std::size_t cluster_agent::ownedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_ownership.size();
}

std::size_t cluster_agent::pendingCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_ownership.pendingCount();
}

void cluster_agent::recordHandover(const handover_message& message)
{
    const std::lock_guard lock(m_mutex);
    m_keyFloors.recordHandover(message.from, message.epoch, wall_time { milliseconds { message.floorWallMs } });
}

void cluster_agent::adoptPeerState(const state_reply& state)
{
    adoptNewerDocument(state.documentText);
    adoptNewerEpoch(state.epoch);
}

awaitable<void> cluster_agent::sleepFor(milliseconds delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    co_await timer.async_wait(asio::use_awaitable);
}

// Returns true if this node watches the store: it is one of the first members, or not a member yet.
bool cluster_agent::isStoreReader() const
{
    const std::lock_guard lock(m_mutex);
    const auto& members = m_epoch->members;
    const auto position = std::find_if(members.begin(), members.end(), [&](const epoch_member& member) { return member.id == m_settings.self.id; });
    return position == members.end() || static_cast<std::size_t>(position - members.begin()) < storeReaderCount;
}

awaitable<void> cluster_agent::watchDocument()
{
    std::uint64_t knownVersion = 0;
    for (;;) {
        bool failed = false;
        try {
            if (isStoreReader()) {
                ++m_storeCalls;
                const auto stored = co_await m_store.watch(documentKey, knownVersion, watchTimeout);
                recordStoreReachability(true);
                knownVersion = stored.version;
                if (stored.version > 0)
                    adoptNewerDocument(stored.text);
                co_await repairDocument(stored);
            } else {
                co_await sleepFor(storeRetryDelay);
            }
        } catch (const std::exception&) {
            failed = true;
            knownVersion = 0;
        }
        if (failed) {
            recordStoreReachability(false);
            requestPeerStates();
            co_await sleepFor(storeRetryDelay);
        }
    }
}

// Writes the document in force to the store if the stored one is older, as after a restore of the store from a backup.
awaitable<void> cluster_agent::repairDocument(store_value stored)
{
    const auto inForce = document();
    if (inForce->revision == revision_number {})
        co_return;
    revision_number storedRevision;
    if (stored.version > 0)
        storedRevision = parseDocument(stored.text).revision;
    if (storedRevision >= inForce->revision)
        co_return;
    ++m_storeCalls;
    if (co_await m_store.compareAndSwap(documentKey, stored.version, formatDocument(*inForce)))
        logEvent(event::document_repaired, "stored=" + number(storedRevision.value()) + " in_force=" + number(inForce->revision.value()));
}

awaitable<void> cluster_agent::watchEpoch()
{
    std::uint64_t knownVersion = 0;
    for (;;) {
        bool failed = false;
        try {
            if (isStoreReader()) {
                ++m_storeCalls;
                const auto stored = co_await m_store.watch(epochKey, knownVersion, watchTimeout);
                recordStoreReachability(true);
                knownVersion = stored.version;
                if (stored.version > 0)
                    adoptNewerEpoch(parseEpoch(stored.text));
            } else {
                co_await sleepFor(storeRetryDelay);
            }
        } catch (const std::exception&) {
            failed = true;
            knownVersion = 0;
        }
        if (failed)
            co_await sleepFor(storeRetryDelay);
    }
}

// Requests the epoch and the document from all known dispatchers.
void cluster_agent::requestPeerStates()
{
    std::set<std::string> addresses(m_settings.peers.begin(), m_settings.peers.end());
    for (const auto& member : epoch()->members)
        addresses.insert(member.address);
    addresses.erase(m_settings.self.address);
    for (const auto& address : addresses)
        m_links.send(address, state_request {});
}

// Logs when the store becomes reachable or unreachable.
void cluster_agent::recordStoreReachability(bool reachable)
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isStoreReachable, reachable) == reachable)
            return;
    }
    logEvent(reachable ? event::store_up : event::store_down, "address=" + m_settings.storeAddress);
}

// Applies one change to the epoch in the store by compare-and-swap. After a lost reply or a lost race, the next round
// reads the stored epoch again.
awaitable<void> cluster_agent::proposeEpoch(std::function<std::optional<assignment_epoch>(const assignment_epoch&)> change)
{
    ++m_storeCalls;
    const auto stored = co_await m_store.get(epochKey);
    assignment_epoch current;
    if (stored.version > 0)
        current = parseEpoch(stored.text);
    if (const auto known = epoch(); known->number > current.number)
        current = *known; // the store was restored from a backup with an older epoch
    adoptNewerEpoch(current);
    const auto next = change(current);
    if (!next)
        co_return;
    ++m_storeCalls;
    if (!co_await m_store.compareAndSwap(epochKey, stored.version, formatEpoch(*next)))
        co_return;
    logEvent(event::epoch_proposed, "epoch=" + number(next->number.value()) + " members=" + number(next->members.size()));
    adoptNewerEpoch(*next);
}

awaitable<void> cluster_agent::proposeLoop()
{
    std::mt19937 random { std::random_device {}() };
    for (;;) {
        co_await sleepFor(milliseconds { std::uniform_int_distribution<int>(static_cast<int>(proposeInterval.count()) / 2, static_cast<int>(proposeInterval.count()))(random) });
        try {
            if (m_leaving) {
                if (!m_hasLeft) {
                    co_await proposeEpoch([&](const assignment_epoch& current) { return withoutMember(current, m_settings.self.id); });
                    m_hasLeft = !epoch()->contains(m_settings.self.id);
                }
                continue;
            }
            if (!isMember()) {
                co_await proposeEpoch([&](const assignment_epoch& current) { return withMember(current, m_settings.self); });
                continue;
            }
            std::vector<node_id> removable;
            {
                const std::lock_guard lock(m_mutex);
                removable = m_suspicions.removableMembers(monotonic_clock::now());
            }
            for (const auto& member : removable) {
                logEvent(event::member_suspected, "member=" + member.value());
                co_await proposeEpoch([&](const assignment_epoch& current) { return withoutMember(current, member); });
            }
        } catch (const std::exception&) {
            // The store is unreachable: the epoch stays in force, and the next round tries again.
        }
    }
}

void cluster_agent::adoptNewerEpoch(assignment_epoch epoch)
{
    {
        const std::lock_guard lock(m_mutex);
        if (epoch.number <= m_epoch->number)
            return;
        m_epoch = std::make_shared<const assignment_epoch>(std::move(epoch));
        adoptCurrentState();
    }
    logEvent(event::epoch_adopted, "epoch=" + number(this->epoch()->number.value()) + " owned=" + number(ownedCount()) + " pending=" + number(pendingCount()));
    m_hooks.onChange();
}

void cluster_agent::adoptNewerDocument(const std::string& text)
{
    if (text.empty())
        return;
    document_view offered;
    try {
        offered = std::make_shared<const operator_document>(parseDocument(text));
    } catch (const document_error& error) {
        logEvent(event::document_invalid, error.what());
        return;
    }
    revision_decision decision;
    revision_number inForce;
    {
        const std::lock_guard lock(m_mutex);
        inForce = m_document->revision;
        decision = decideRevision(inForce, offered->revision);
        if (decision == revision_decision::adopt) {
            m_document = offered;
            m_documentText = text;
            adoptCurrentState();
        }
    }
    if (decision == revision_decision::older)
        logEvent(event::document_older, "offered=" + number(offered->revision.value()) + " in_force=" + number(inForce.value()));
    if (decision != revision_decision::adopt)
        return;
    logEvent(event::document_adopted, "revision=" + number(offered->revision.value()) + " fronts=" + number(offered->fronts.size()));
    m_hooks.onChange();
}

// Passes the epoch and the document in force to the decision classes. Requires m_mutex.
void cluster_agent::adoptCurrentState()
{
    const auto now = monotonic_clock::now();
    m_right.adopt(*m_epoch, m_document->revision);
    m_fence.adopt(*m_epoch, m_document->revision, now);
    m_suspicions.adopt(*m_epoch, now);
    m_keyFloors.adopt(*m_epoch, wallNow());
    m_ownership.adopt(*m_document, *m_epoch);
    activateUnblocked(now);
}

// Activates searchers and sets key floors whose earlier owners have stopped or are fenced. Requires m_mutex.
void cluster_agent::activateUnblocked(monotonic_time now)
{
    m_ownership.activateUnblocked(m_fence, now);
    m_keyFloors.applyFences(m_fence, now, wallNow());
}

// Returns the witnesses of this node, and the peers whose state pending searchers and key floors depend on. Their
// addresses come from the newest epoch that contains them. Requires m_mutex.
std::vector<epoch_member> cluster_agent::probeTargets() const
{
    std::set<node_id> targetIds(m_right.witnesses().begin(), m_right.witnesses().end());
    auto earlierOwners = m_ownership.blockingOwners();
    earlierOwners.merge(m_keyFloors.pendingHolders());
    targetIds.merge(m_fence.peersToAsk(earlierOwners));
    targetIds.erase(m_settings.self.id);

    std::map<node_id, epoch_member> membersById;
    for (auto pastEpoch = m_epoch->history.rbegin(); pastEpoch != m_epoch->history.rend(); ++pastEpoch) {
        for (const auto& member : pastEpoch->members)
            membersById[member.id] = member;
    }
    for (const auto& member : m_epoch->members)
        membersById[member.id] = member;
    std::vector<epoch_member> targets;
    for (const auto& id : targetIds) {
        if (const auto entry = membersById.find(id); entry != membersById.end())
            targets.push_back(entry->second);
    }
    return targets;
}

// Returns a probe with this node's state, without sequence and released. Requires m_mutex.
probe_message cluster_agent::makeProbe(monotonic_time now)
{
    probe_message message;
    const auto* member = m_epoch->find(m_settings.self.id);
    message.isMember = member && member->incarnation == m_settings.self.incarnation;
    message.from = m_settings.self.id;
    message.incarnation = m_settings.self.incarnation;
    message.epoch = m_epoch->number;
    message.revision = m_document->revision;
    message.suspicions = m_suspicions.suspicionsToSend(now);
    return message;
}

awaitable<void> cluster_agent::probeLoop()
{
    for (;;) {
        const bool released = m_hooks.isReleased();
        std::vector<std::pair<probe_message, epoch_member>> probes;
        {
            const std::lock_guard lock(m_mutex);
            const auto now = monotonic_clock::now();
            m_suspicions.tick(now);
            activateUnblocked(now);
            if (m_probeSentAt.size() > maxUnackedProbes)
                m_probeSentAt.clear();
            for (const auto& target : probeTargets()) {
                auto message = makeProbe(now);
                message.released = released;
                message.sequence = ++m_probeSequence;
                m_probeSentAt[message.sequence] = now;
                probes.emplace_back(std::move(message), target);
            }
        }
        for (const auto& [message, target] : probes)
            m_probes->send(message, parseUdpEndpoint(target.address));
        logRightChange(monotonic_clock::now());
        co_await sleepFor(pendingCount() > 0 ? probeInterval / 4 : probeInterval);
    }
}

// Logs when the dispatch right becomes fresh or stale.
void cluster_agent::logRightChange(monotonic_time now)
{
    bool fresh = false;
    {
        const std::lock_guard lock(m_mutex);
        fresh = m_right.isFresh(now);
        if (std::exchange(m_rightWasFresh, fresh) == fresh)
            return;
    }
    logEvent(fresh ? event::right_regained : event::right_lost, "ttl_ms=" + number(dispatchRightTtl.count()));
}

void cluster_agent::handleProbe(const probe_message& message, const asio::ip::udp::endpoint& sender)
{
    const bool released = m_hooks.isReleased();
    const auto now = monotonic_clock::now();
    std::optional<probe_message> ack;
    bool peerIsAhead = false;
    std::string peerAddress;
    {
        const std::lock_guard lock(m_mutex);
        peerIsAhead = message.epoch > m_epoch->number || message.revision > m_document->revision;
        if (const auto* member = m_epoch->find(message.from))
            peerAddress = member->address;
        if (message.isMember)
            m_suspicions.recordContact(message.from, now);
        m_suspicions.mergeSuspicions(message.suspicions, now);
        m_fence.recordPeerState(message.from, message.epoch, message.revision, message.released, now);
        if (message.isAck) {
            const auto sent = m_probeSentAt.find(message.sequence);
            if (sent != m_probeSentAt.end()) {
                if (message.isMember)
                    m_right.recordAck(message.from, message.epoch, message.revision, sent->second);
                m_probeSentAt.erase(sent);
            }
        } else {
            ack = makeProbe(now);
            ack->isAck = true;
            ack->released = released;
            ack->sequence = message.sequence;
        }
        activateUnblocked(now);
    }
    if (ack)
        m_probes->send(*ack, sender);
    if (peerIsAhead && !peerAddress.empty())
        m_links.send(peerAddress, state_request {});
}

} // namespace limpetpier
