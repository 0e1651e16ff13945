#include "deployment_view.h"

#include "limpetpier/state/errors.h"
#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

// Longest wait of the watch. One watch follows all keys because each call to the store has a cost. The connection is
// probed, so a long wait doesn't hide an outage.
constexpr milliseconds maxWatchWait { 25'000 };

// Time without an answer of the store after which peers are asked for their view.
constexpr milliseconds peerRequestDelay { 600 };

// Between two requests to peers during an outage.
constexpr milliseconds peerRequestInterval { 800 };

// Peers that get one request at the same time: enough that one of them is likely to reach the store if it rejects half
// of the machines.
constexpr std::size_t peersPerRequest = 3;

// Step through the list of peers; coprime to most list sizes, so that each peer gets its turn.
constexpr std::size_t peerStride = 31;

// Longest cold time that an entry can state.
constexpr milliseconds maxColdTime = std::chrono::hours(24 * 365 * 10);

// Throws if an entry can't be used, whether it comes from the store or from a peer.
void checkEntry(const searcher_entry& entry)
{
    static_cast<void>(parseTcpEndpoint(entry.address));
    if (entry.slots == 0 || entry.coldTimeLeft < milliseconds(0) || entry.coldTimeLeft > maxColdTime)
        throw document_error("searchers", entry.id.value(), "slots or a cold time out of range", "at least 1 slot and a cold time of at most ten years", "the entry is ignored");
}

void logAmbiguousKeys(const routing_table& table)
{
    if (!table.hasWorkspaces())
        return;
    for (const auto& key : table.workspaces()->ambiguousKeys())
        logEvent(event::workspace_key_ambiguous, event_fields().add("key_digest", key.shortName()).add("table", table.version().value()));
}

// Time after the start at which the member list counts as complete even if it still changes.
constexpr milliseconds maxSettleTime { 2500 };

} // namespace

deployment_view::deployment_view(asio::any_io_executor executor, const gateway_protocol& protocol, metadata_store& store, const gateway_settings& settings, std::function<void(bool)> onReachable)
    : m_executor(executor)
    , m_protocol(protocol)
    , m_settings(settings)
    , m_share({ settings.node, settings.zone }, {})
    , m_storeFollower(executor, store, {}, { maxWatchWait, settings.changeBatchDelay, settings.minExpiryOutage },
          { [this](const std::vector<store_item>& items, monotonic_time keepRemovedUntil) { replaceContents(items, keepRemovedUntil); },
              [this](const store_item& item, monotonic_time keepRemovedUntil) { apply(item, keepRemovedUntil); }, std::move(onReachable), [this] { handleRestoredStore(); } })
    , m_membership(executor, store, m_storeFollower, { settings.node, settings.zone }, settings.peerAddress, settings.membershipTiming)
{
}

void deployment_view::start()
{
    if (!m_settings.nodeSecret.empty())
        m_peers = std::make_unique<peer_views>(
            m_executor, m_settings.peerAddress, m_settings.nodeSecret, [this](const view_request& request) { return makeView(request); }, [this](const view_reply& view) { adoptView(view); });
    m_storeFollower.start();
    m_membership.start();
}

void deployment_view::maintain(monotonic_time now)
{
    m_position = position(); // the follower's is zero while it reads all keys again
    if (m_storeFollower.isReachable()) {
        for (const auto& key : m_carriedKeys.takeExpired(now))
            apply({ key, {}, {}, true }, now);
    }
    m_changes.searchers.merge(m_directory.expire(now));
    if (m_membersChanged)
        updateMembers();
    updateSettled(now);
    requestPeerViews(now);
}

milliseconds deployment_view::age() const
{
    return m_storeFollower.hasRead() ? std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - m_storeFollower.lastAnswer()) : milliseconds(-1);
}

std::map<node_id, std::string> deployment_view::memberAddresses() const
{
    std::map<node_id, std::string> result;
    for (const auto& [name, member] : m_membership.members())
        result.emplace(name, member.address);
    return result;
}

// The table and its version stay as they are: the operator's write is made again. Members, searchers and evacuations that
// the older copy lacks are kept until their writers have had the time to write them again.
void deployment_view::handleRestoredStore()
{
    m_isStoreRestored = true;
    m_membership.rejoin();
}

// Replaces what entries from an older copy of the store say of a searcher by what was known: a later start, the draining
// state, which only a start ends, and a shorter cold time.
void deployment_view::keepNewerState(std::vector<searcher_entry>& entries, monotonic_time now) const
{
    for (auto& entry : entries) {
        const auto known = m_directory.records().find(entry.id);
        if (known == m_directory.records().end())
            continue;
        const auto& [knownEntry, coldUntil, removeAt] = known->second;
        if (entry.startTimeMs < knownEntry.startTimeMs)
            entry = knownEntry;
        if (entry.startTimeMs != knownEntry.startTimeMs)
            continue;
        entry.draining = entry.draining || knownEntry.draining;
        entry.coldTimeLeft = std::min(entry.coldTimeLeft, std::chrono::ceil<milliseconds>(std::max(coldUntil, now) - now));
    }
}

std::set<std::string> deployment_view::listedKeys() const
{
    auto keys = m_membership.keys();
    for (const auto& zone : m_evacuatedZones)
        keys.insert(m_protocol.evacuationPrefix() + zone.value());
    for (const auto& [key, item] : m_rolloutItems)
        keys.insert(key);
    return keys;
}

void deployment_view::replaceContents(const std::vector<store_item>& items, monotonic_time keepRemovedUntil)
{
    const auto now = monotonic_clock::now();
    const bool isRestored = std::exchange(m_isStoreRestored, false);
    if (isRestored)
        m_copyOutdatedUntil = keepRemovedUntil;
    m_position = m_storeFollower.position(); // lower than before if the store was restored without stating an era
    auto absent = listedKeys();
    for (const auto& item : items)
        absent.erase(item.key);
    if (isRestored) {
        // The processes write states and reports of roll-outs again at once.
        auto carried = absent;
        std::erase_if(carried, [&](const auto& key) { return isRolloutKey(key) && !key.starts_with(m_protocol.rolloutOrderPrefix()); });
        m_carriedKeys.carry(carried, keepRemovedUntil);
    }
    for (const auto& key : absent) {
        if (!m_carriedKeys.contains(key))
            apply({ key, {}, {}, true }, keepRemovedUntil);
    }
    std::vector<searcher_entry> entries;
    for (const auto& item : items) {
        if (!item.key.starts_with(m_protocol.searcherPrefix()))
            apply(item, keepRemovedUntil);
        else if (auto entry = readSearcher(item))
            entries.push_back(std::move(*entry));
    }
    if (now < m_copyOutdatedUntil)
        keepNewerState(entries, now);
    m_changes.searchers.merge(m_directory.replaceAll(entries, now, keepRemovedUntil));
    m_changes.rules = true;
    const bool isListed = m_membership.members().contains(m_settings.node);
    if (!m_wasListedBefore)
        m_wasListedBefore = isListed && m_storeFollower.readStartedAt() < m_membership.entrySentAt();
    const bool wasListedBefore = !m_settled && isListed;
    updateMembers();
    m_settled = m_settled || wasListedBefore; // after a restart the list from before it is still complete
}

void deployment_view::apply(const store_item& item, monotonic_time keepRemovedUntil)
{
    m_carriedKeys.confirm(item.key);
    if (isRolloutKey(item.key)) {
        if (item.removed)
            m_rolloutItems.erase(item.key);
        else
            m_rolloutItems[item.key] = item;
        m_changes.rollouts = true;
        if (!item.removed && item.key.starts_with(m_protocol.rolloutOrderPrefix()))
            setRolloutActive(true); // before the delay that follows this change
    } else if (item.key.starts_with(m_protocol.operatorPrefix()))
        applyOperator(item);
    else if (item.key.starts_with(m_protocol.searcherPrefix()))
        applySearcher(item, keepRemovedUntil);
    else if (membership::isMemberKey(item.key)) {
        m_membership.apply(item);
        m_membersChanged = true;
    }
}

void deployment_view::setRolloutActive(bool active)
{
    const bool isShorter = active && m_settings.rolloutBatchDelay.count() > 0 && m_settings.rolloutBatchDelay < m_settings.changeBatchDelay;
    m_storeFollower.setBatchDelay(isShorter ? m_settings.rolloutBatchDelay : m_settings.changeBatchDelay);
}

bool deployment_view::isRolloutKey(const std::string& key) const
{
    return key.starts_with(m_protocol.rolloutOrderPrefix()) || key.starts_with(m_protocol.rolloutStatusPrefix()) || key.starts_with(rolloutReportPrefix);
}

void deployment_view::applyOperator(const store_item& item)
{
    const auto evacuation = m_protocol.evacuationPrefix();
    if (item.key == m_protocol.tableKey() && !item.removed) {
        adoptTable(item.value);
    } else if (item.key.starts_with(evacuation)) {
        const data_centre_id zone(item.key.substr(evacuation.size()));
        if (item.removed)
            m_evacuatedZones.erase(zone);
        else
            m_evacuatedZones.insert(zone);
        logEvent(event::evacuation_changed, event_fields().add("zone", zone.value()).add("empty", item.removed ? "no" : "yes"));
    }
    m_changes.rules = true;
}

void deployment_view::adoptTable(const std::string& text)
{
    try {
        auto table = std::make_shared<const routing_table>(m_protocol.decodeTable(text));
        if (m_table && table->version() <= m_table->version())
            return;
        logEvent(event::table_adopted, event_fields().add("version", table->version().value()).add("before", m_table ? m_table->version().value() : 0).add("routes", table->routes().size()).add("workspaces", table->hasWorkspaces() ? table->workspaces()->size() : 0));
        m_tableText = table->hasWorkspaces() ? m_protocol.redactTable(text) : text;
        m_table = std::move(table);
        logAmbiguousKeys(*m_table);
    } catch (const std::exception& error) {
        logEvent(event::table_unreadable, event_fields().add("error", error.what()));
    }
}

std::optional<searcher_entry> deployment_view::readSearcher(const store_item& item) const
{
    try {
        auto entry = m_protocol.decodeSearcher(item.key, item.value);
        checkEntry(entry);
        return entry;
    } catch (const std::exception& error) {
        logEvent(event::entry_unreadable, event_fields().add("key", item.key).add("error", error.what()));
        return {};
    }
}

void deployment_view::applySearcher(const store_item& item, monotonic_time keepRemovedUntil)
{
    const auto now = monotonic_clock::now();
    std::optional<searcher_entry> entry;
    if (!item.removed)
        entry = readSearcher(item);
    if (entry) {
        if (m_directory.put(*entry, now))
            m_changes.searchers.insert(entry->id);
        return;
    }
    const searcher_id removedId(item.key.substr(m_protocol.searcherPrefix().size()));
    if (m_directory.remove(removedId, now, keepRemovedUntil))
        logEvent(event::searcher_removal_delayed, event_fields().add("searcher", removedId.value()).add("for_ms", std::chrono::duration_cast<milliseconds>(keepRemovedUntil - now)));
    m_changes.searchers.insert(removedId);
}

void deployment_view::updateMembers()
{
    member_share share({ m_settings.node, m_settings.zone }, m_membership.list());
    m_membersChanged = false;
    if (share.memberCount() != m_share.memberCount()) {
        m_membersChangedAt = monotonic_clock::now();
        logEvent(event::members_changed, event_fields().add("members", share.memberCount()));
    }
    m_share = std::move(share);
    m_changes.rules = true;
}

// Waits at startup until the member list stops growing: processes that start together appear one after another, and
// shares divided by an incomplete list would exceed the limits in total.
void deployment_view::updateSettled(monotonic_time now)
{
    if (m_settled || !m_storeFollower.hasRead())
        return;
    const bool listed = m_membership.members().contains(m_settings.node);
    m_settled = (listed && now - m_membersChangedAt >= m_settings.memberSettleTime) || now - m_startedAt >= maxSettleTime;
    m_changes.rules = true;
}

std::optional<view_reply> deployment_view::makeView(const view_request& request) const
{
    if (!m_table || lastStoreContact() == monotonic_time {})
        return {};
    const auto now = monotonic_clock::now();
    view_reply view;
    // The age counts from the last answer, also while the store seems reachable: a process that is cut off together with
    // the requester must not confirm its view before it has noticed the outage itself.
    view.ageMs = std::chrono::duration_cast<milliseconds>(now - lastStoreContact()).count();
    const auto current = position();
    view.era = current.era.value();
    view.revision = current.revision.value();
    view.unchanged = current <= store_position { store_era(request.era), store_revision(request.revision) };
    if (view.unchanged)
        return view;
    view.tableText = m_tableText;
    view.evacuatedZones.assign(m_evacuatedZones.begin(), m_evacuatedZones.end());
    for (const auto& [id, record] : m_directory.records()) {
        const auto& entry = record.entry;
        const auto coldTimeLeft = std::chrono::duration_cast<milliseconds>(std::max(record.coldUntil, now) - now);
        view.searchers.push_back({ id, entry.service, entry.address, entry.zone, entry.slots, entry.draining, coldTimeLeft.count(), entry.startTimeMs, entry.version.value() });
    }
    for (const auto& [key, item] : m_rolloutItems)
        view.rollouts.push_back({ key, item.value, item.revision.value() });
    for (const auto& [node, member] : m_membership.members()) {
        view.members.push_back(node);
        view.memberEntries.push_back(membership::encode(member));
    }
    return view;
}

// Adopts a peer's view if it is of a later position. One of the same position only confirms this process's view, if the
// store answered that peer later than it answered this process.
void deployment_view::adoptView(const view_reply& view)
{
    const auto now = monotonic_clock::now();
    const auto confirmedAt = now - std::max(milliseconds(view.ageMs), milliseconds(0));
    const store_position offered { store_era(view.era), store_revision(view.revision) };
    const bool isLater = !view.unchanged && offered > position();
    const bool isConfirmation = offered == position() && confirmedAt > lastStoreContact();
    if (m_storeFollower.isReachable() || (!isLater && !isConfirmation) || view.members.size() != view.memberEntries.size())
        return;
    m_peerViewConfirmedAt = std::max(m_peerViewConfirmedAt, confirmedAt);
    if (isLater) {
        m_position = offered;
        replaceWith(view, now);
    }
    logEvent(event::view_from_peer, event_fields().add("age_ms", view.ageMs).add("table", m_table ? m_table->version().value() : 0).add("searchers", m_directory.records().size()).add("unchanged", view.unchanged ? "yes" : "no"));
}

void deployment_view::replaceWith(const view_reply& view, monotonic_time now)
{
    adoptTable(view.tableText);
    m_carriedKeys.clear();
    m_evacuatedZones = { view.evacuatedZones.begin(), view.evacuatedZones.end() };
    std::vector<searcher_entry> entries;
    for (const auto& searcher : view.searchers) {
        try {
            searcher_entry entry { searcher.id, searcher.service, searcher.address, searcher.zone, searcher.slots, searcher.draining, milliseconds(searcher.coldTimeLeftMs), searcher.startTimeMs, software_version(searcher.version) };
            checkEntry(entry);
            entries.push_back(std::move(entry));
        } catch (const limpet_error& error) {
            logEvent(event::entry_unreadable, event_fields().add("key", searcher.id.value()).add("error", error.what()));
        }
    }
    m_changes.searchers.merge(m_directory.replaceAll(entries, now, now));
    m_rolloutItems.clear();
    for (const auto& item : view.rollouts) {
        if (isRolloutKey(item.key))
            m_rolloutItems[item.key] = { item.key, item.value, store_revision(item.revision), false };
    }
    m_changes.rollouts = true;
    m_membership.clear();
    for (std::size_t index = 0; index < view.members.size(); ++index)
        m_membership.put(view.members[index], view.memberEntries[index]);
    m_settled = true;
    if (!m_wasListedBefore)
        m_wasListedBefore = m_membership.members().contains(m_settings.node) && m_membership.entrySentAt() == monotonic_time::max();
    updateMembers();
}

store_position deployment_view::position() const { return std::max(m_position, m_storeFollower.position()); }

void deployment_view::requestPeerViews(monotonic_time now)
{
    if (!m_peers || m_storeFollower.isReachable() || now < m_nextPeerRequestAt || now - m_storeFollower.lastAnswer() < peerRequestDelay)
        return;
    m_nextPeerRequestAt = now + peerRequestInterval;
    std::vector<std::string> addresses;
    for (const auto& [node, member] : m_membership.members())
        addresses.push_back(member.address);
    if (addresses.empty())
        addresses = m_settings.seeds;
    std::erase(addresses, m_settings.peerAddress);
    // Picks other peers each time, far apart in the list, because the store may reject a whole zone. The rank gives
    // each process a different first peer.
    std::vector<std::string> selected;
    for (std::size_t count = 0; count < peersPerRequest && count < addresses.size(); ++count)
        selected.push_back(addresses[(m_share.rank("peers") + peerStride * m_peerRequestCount++) % addresses.size()]);
    const auto knownAge = lastStoreContact() == monotonic_time {} ? milliseconds::max() : std::chrono::duration_cast<milliseconds>(now - lastStoreContact());
    m_peers->requestViews(selected, { position().revision.value(), knownAge.count(), position().era.value() });
}

} // namespace limpetpier
