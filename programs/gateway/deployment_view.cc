#include "deployment_view.h"

#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

// All keys are followed by one watch, as each call is priced. Its connection is probed, so a long wait hides no silence.
constexpr milliseconds longestWatch { 25'000 };

// Without the store for this long, peers are asked for their view; then again after each interval.
constexpr milliseconds askPeersAfter { 600 };
constexpr milliseconds askPeersInterval { 800 };

// Enough that one of them reaches the store, if it turns half of the machines away; the stride is prime to most counts.
constexpr std::size_t peersAskedAtOnce = 3;
constexpr std::size_t peerStride = 31;

// At the start the member list is taken as whole after this time in any case.
constexpr milliseconds settleAtMost { 2500 };

} // namespace

deployment_view::deployment_view(asio::any_io_executor executor, const gateway_protocol& protocol, metadata_store& store, const gateway_settings& settings, std::function<void(bool)> onReachable)
    : m_executor(executor)
    , m_protocol(protocol)
    , m_settings(settings)
    , m_share({ settings.node, settings.zone }, {})
    , m_store(executor, store, {}, { longestWatch, settings.changeBatchDelay },
          { [this](const std::vector<store_item>& items, bool afterOutage) { replace(items, afterOutage); },
              [this](const store_item& item, bool afterOutage) { apply(item, afterOutage); }, std::move(onReachable) })
    , m_membership(executor, store, m_store, { settings.node, settings.zone }, settings.peerAddress, settings.membershipTiming)
{
}

void deployment_view::start()
{
    if (!m_settings.nodeSecret.empty())
        m_peers = std::make_unique<peer_views>(
            m_executor, m_settings.peerAddress, m_settings.nodeSecret, [this](const view_request& request) { return giveView(request); }, [this](const view_reply& view) { adoptView(view); });
    m_store.start();
    m_membership.start();
}

void deployment_view::maintain(monotonic_time now)
{
    m_changes.searchers.merge(m_directory.expire(now));
    if (m_membersChanged)
        changeMembers();
    settle(now);
    askPeers(now);
}

milliseconds deployment_view::age() const
{
    return m_store.hasRead() ? std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - m_store.lastAnswer()) : milliseconds(-1);
}

void deployment_view::replace(const std::vector<store_item>& items, bool afterOutage)
{
    m_evacuated.clear();
    m_membership.clear();
    std::vector<searcher_entry> entries;
    for (const auto& item : items) {
        if (!item.key.starts_with(m_protocol.searcherPrefix()))
            apply(item, afterOutage);
        else if (auto entry = readSearcher(item))
            entries.push_back(std::move(*entry));
    }
    m_changes.searchers.merge(m_directory.replaceAll(entries, monotonic_clock::now(), afterOutage));
    m_changes.rules = true;
    const bool restarted = !m_settled && m_membership.members().contains(m_settings.node);
    changeMembers();
    m_settled = m_settled || restarted; // the list of before this process's start is still there
}

void deployment_view::apply(const store_item& item, bool afterOutage)
{
    if (item.key.starts_with(m_protocol.operatorPrefix()))
        applyOperator(item);
    else if (item.key.starts_with(m_protocol.searcherPrefix()))
        applySearcher(item, afterOutage);
    else if (membership::isMemberKey(item.key)) {
        m_membership.apply(item);
        m_membersChanged = true;
    }
}

void deployment_view::applyOperator(const store_item& item)
{
    const auto evacuation = m_protocol.evacuationPrefix();
    if (item.key == m_protocol.tableKey() && !item.removed) {
        adoptTable(item.value);
    } else if (item.key.starts_with(evacuation)) {
        const data_centre_id zone(item.key.substr(evacuation.size()));
        if (item.removed)
            m_evacuated.erase(zone);
        else
            m_evacuated.insert(zone);
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
        logEvent(event::table_adopted, event_fields().add("version", table->version().value()).add("before", m_table ? m_table->version().value() : 0).add("routes", table->routes().size()));
        m_table = std::move(table);
        m_tableText = text;
    } catch (const std::exception& error) {
        logEvent(event::table_unreadable, event_fields().add("error", error.what()));
    }
}

std::optional<searcher_entry> deployment_view::readSearcher(const store_item& item) const
{
    try {
        auto entry = m_protocol.decodeSearcher(item.key, item.value);
        static_cast<void>(parseTcpEndpoint(entry.address));
        return entry;
    } catch (const std::exception& error) {
        logEvent(event::entry_unreadable, event_fields().add("key", item.key).add("error", error.what()));
        return {};
    }
}

void deployment_view::applySearcher(const store_item& item, bool afterOutage)
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
    const searcher_id gone(item.key.substr(m_protocol.searcherPrefix().size()));
    m_directory.remove(gone, now, afterOutage);
    m_changes.searchers.insert(gone);
}

void deployment_view::changeMembers()
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

// Processes that start together see each other come; shares taken from a short list would add up to too much.
void deployment_view::settle(monotonic_time now)
{
    if (m_settled || !m_store.hasRead())
        return;
    const bool listed = m_membership.members().contains(m_settings.node);
    m_settled = (listed && now - m_membersChangedAt >= m_settings.memberSettleTime) || now - m_begun >= settleAtMost;
    m_changes.rules = true;
}

std::optional<view_reply> deployment_view::giveView(const view_request& request) const
{
    if (!m_table || lastStoreContact() == monotonic_time {})
        return {};
    const auto now = monotonic_clock::now();
    view_reply view;
    // A watch that waits is as good as an answer: only a store that cannot be reached makes a view old.
    view.ageMs = m_store.isReachable() ? 0 : std::chrono::duration_cast<milliseconds>(now - lastStoreContact()).count();
    view.revision = revision();
    view.unchanged = view.revision == request.revision || view.ageMs >= request.ageMs;
    if (view.unchanged)
        return view;
    view.tableText = m_tableText;
    view.evacuatedZones.assign(m_evacuated.begin(), m_evacuated.end());
    for (const auto& [id, record] : m_directory.records()) {
        const auto& entry = record.entry;
        const auto coldTimeLeft = std::chrono::duration_cast<milliseconds>(std::max(record.coldUntil, now) - now);
        view.searchers.push_back({ id, entry.service, entry.address, entry.zone, entry.slots, entry.draining, coldTimeLeft.count(), entry.startTimeMs });
    }
    for (const auto& [node, member] : m_membership.members()) {
        view.members.push_back(node);
        view.memberEntries.push_back(membership::encode(member));
    }
    return view;
}

// Takes over a peer's view if the store answered that peer later than this process.
void deployment_view::adoptView(const view_reply& view)
{
    const auto now = monotonic_clock::now();
    const auto answered = now - milliseconds(view.ageMs);
    if (m_store.isReachable() || answered <= lastStoreContact() || view.members.size() != view.memberEntries.size())
        return;
    if (view.unchanged && view.revision != revision())
        return; // meant for a request before another peer's answer
    m_peerViewAt = answered;
    m_peerRevision = view.revision;
    if (!view.unchanged)
        replaceBy(view, now);
    logEvent(event::view_from_peer, event_fields().add("age_ms", view.ageMs).add("table", m_table ? m_table->version().value() : 0).add("searchers", m_directory.records().size()).add("unchanged", view.unchanged ? "yes" : "no"));
}

void deployment_view::replaceBy(const view_reply& view, monotonic_time now)
{
    adoptTable(view.tableText);
    m_evacuated = { view.evacuatedZones.begin(), view.evacuatedZones.end() };
    std::vector<searcher_entry> entries;
    for (const auto& searcher : view.searchers)
        entries.push_back({ searcher.id, searcher.service, searcher.address, searcher.zone, searcher.slots, searcher.draining, milliseconds(searcher.coldTimeLeftMs), searcher.startTimeMs });
    m_changes.searchers.merge(m_directory.replaceAll(entries, now, false));
    m_membership.clear();
    for (std::size_t index = 0; index < view.members.size(); ++index)
        m_membership.put(view.members[index], view.memberEntries[index]);
    m_settled = true;
    changeMembers();
}

std::uint64_t deployment_view::revision() const
{
    return m_peerViewAt > m_store.lastAnswer() ? m_peerRevision : m_store.revision().value();
}

void deployment_view::askPeers(monotonic_time now)
{
    if (!m_peers || m_store.isReachable() || now < m_askPeersAt || now - m_store.lastAnswer() < askPeersAfter)
        return;
    m_askPeersAt = now + askPeersInterval;
    std::vector<std::string> addresses;
    for (const auto& [node, member] : m_membership.members())
        addresses.push_back(member.address);
    if (addresses.empty())
        addresses = m_settings.seeds;
    std::erase(addresses, m_settings.peerAddress);
    // Others each time, far apart in the list: those of one zone may all be turned away. Each process begins elsewhere.
    std::vector<std::string> asked;
    for (std::size_t count = 0; count < peersAskedAtOnce && count < addresses.size(); ++count)
        asked.push_back(addresses[(m_share.rank("peers") + peerStride * m_peersAsked++) % addresses.size()]);
    const auto known = lastStoreContact() == monotonic_time {} ? milliseconds::max() : std::chrono::duration_cast<milliseconds>(now - lastStoreContact());
    m_peers->requestViews(asked, { revision(), known.count() });
}

} // namespace limpetpier
