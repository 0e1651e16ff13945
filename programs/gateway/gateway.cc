#include "gateway.h"

#include <algorithm>
#include <csignal>

#include "limpetpier/state/errors.h"
#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr unsigned statusNotFound = 404;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnavailable = 503;

constexpr milliseconds maintenanceInterval { 100 };

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

// A client that came before there is a configuration should come back after this.
constexpr milliseconds retryWhileStarting { 300 };

// Readiness checks that must have been answered with 503 before the balancer has taken this process out.
constexpr std::uint32_t checksUntilOut = 2;

// Time that is kept before the forced end, to close down in order.
constexpr milliseconds stopReserve { 1000 };

// From the last readiness check needed to the end of new requests: connections on their way still come.
constexpr milliseconds lateArrivals { 400 };
constexpr milliseconds stopPoll { 20 };

// Without the store for this long, the list of searchers is not enough to call this process ready.
constexpr milliseconds staleAfter { 2500 };

} // namespace

gateway::gateway(asio::io_context& io, const gateway_protocol& protocol, metadata_store& store, gateway_settings settings)
    : m_io(io)
    , m_protocol(protocol)
    , m_settings(std::move(settings))
    , m_share(m_settings.node, {})
    , m_fleet(io.get_executor(), protocol, m_settings.zone, m_settings.bounds)
    , m_context { io.get_executor(), protocol, m_fleet, [this](const run_report& ended) { report(ended); }, 0 }
    , m_store(io.get_executor(), store, {}, { longestWatch, m_settings.viewDelay },
          { [this](const std::vector<store_item>& items, bool afterOutage) { replaceView(items, afterOutage); },
              [this](const store_item& item, bool afterOutage) { applyChange(item, afterOutage); },
              [this](bool reachable) { handleStore(reachable); } })
    , m_membership(io.get_executor(), store, m_settings.node, m_settings.peerAddress, m_settings.member, [this] { m_store.noteNoAnswer(); })
    , m_clients(io.get_executor(), parseTcpEndpoint(m_settings.clientAddress), [this](http_request request, client_call call) { handleRequest(std::move(request), std::move(call)); })
    , m_readiness(io.get_executor(), parseTcpEndpoint(m_settings.readyAddress), [this](const http_request&, client_call call) { handleReady(std::move(call)); })
    , m_maintenance(io)
    , m_stopTimer(io)
    , m_signals(io, SIGTERM, SIGINT)
{
}

void gateway::handleStore(bool reachable)
{
    m_metrics.recordStoreAnswer(reachable);
    logEvent(reachable ? event::store_up : event::store_down, event_fields().add("view_age_ms", viewAge()));
}

void gateway::start()
{
    if (!m_settings.metricsAddress.empty()) {
        m_scrapes = std::make_unique<client_listener>(m_io.get_executor(), parseTcpEndpoint(m_settings.metricsAddress),
            [this](const http_request& request, client_call call) { handleMetrics(request, std::move(call)); });
    }
    if (!m_settings.nodeSecret.empty())
        m_peers = std::make_unique<peer_views>(
            m_io.get_executor(), m_settings.peerAddress, m_settings.nodeSecret, [this] { return ownView(); }, [this](const view_reply& view) { adoptView(view); });
    m_store.start();
    m_membership.start();
    maintain();
    m_signals.async_wait([this](const boost::system::error_code& error, int) {
        if (!error)
            beginStop();
    });
}

void gateway::changeSettings(const gateway_settings& settings)
{
    m_settings.bounds = settings.bounds;
    m_settings.stopGrace = settings.stopGrace;
    m_fleet.changeBounds(settings.bounds);
    m_rulesChanged = true;
}

void gateway::handleRequest(http_request message, client_call call)
{
    auto request = std::make_shared<client_request>(m_protocol.decodeRequest(std::move(message)));
    if (!m_table)
        call.answer(m_protocol.encodeFailure(statusUnavailable, "no configuration yet; come back in a moment", retryWhileStarting));
    else if (request->id.empty() || request->host.empty())
        call.answer(m_protocol.encodeFailure(statusBadRequest, "request without an id or host", {}));
    else
        route(std::move(request), std::move(call));
}

void gateway::route(std::shared_ptr<client_request> request, client_call call)
{
    refreshFleet();
    const auto* rule = m_table->find(request->host, request->message.target);
    if (rule == nullptr) {
        if (isLogged(event::request_unrouted))
            logEvent(event::request_unrouted, event_fields().add("request", request->id).add("host", request->host).add("target", request->message.target).add("table", m_table->version().value()).add("view_age_ms", viewAge()));
        call.answer(m_protocol.encodeFailure(statusNotFound, "no route for this host and path", {}));
        return;
    }
    const auto now = monotonic_clock::now();
    if (isLogged(event::request_begun))
        logEvent(event::request_begun, event_fields().add("request", request->id).add("route", rule->name).add("table", m_table->version().value()).add("time_left_ms", request->timeLeft.value_or(rule->timeout)).add("view_age_ms", viewAge()));
    const auto timeLeft = std::min(rule->timeout, request->timeLeft.value_or(rule->timeout));
    accepted_request run { std::move(request), m_table, rule, &m_records[rule->name], now, now + timeLeft, std::move(call) };
    if (rule->isQuery())
        startGatherRun(m_context, std::move(run));
    else
        startSingleRun(m_context, std::move(run), m_splits[rule->name].next(*rule));
}

bool gateway::isReady() const
{
    return !m_stopping && m_table && m_settled && !isLost();
}

void gateway::handleReady(client_call call)
{
    const bool ready = isReady();
    if (m_stopping)
        ++m_unreadyAnswers;
    if (ready != m_saidReady)
        logEvent(event::readiness_changed, event_fields().add("ready", ready ? "yes" : "no").add("stopping", m_stopping ? "yes" : "no").add("view_age_ms", viewAge()));
    m_saidReady = ready;
    http_reply reply;
    reply.status = ready ? 200 : statusUnavailable;
    reply.body = ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n";
    call.answer(std::move(reply));
}

void gateway::handleMetrics(const http_request& request, client_call call)
{
    http_reply reply;
    if (request.target != "/metrics") {
        reply.status = statusNotFound;
        reply.body = "unknown path; use /metrics\n";
        call.answer(std::move(reply));
        return;
    }
    const auto fleet = m_fleet.count(monotonic_clock::now());
    gateway_metrics::gauges now;
    now.running = m_context.running;
    now.clients = m_clients.connections();
    now.searchers = fleet.searchers;
    now.usableSearchers = fleet.usable;
    now.connections = fleet.connections;
    now.members = m_share.members();
    now.tableVersion = m_table ? m_table->version().value() : 0;
    now.viewAgeSeconds = std::chrono::duration<double>(viewAge()).count();
    now.ready = isReady();
    now.extraLeft = m_fleet.extraLeft(monotonic_clock::now());
    reply.contentType = "text/plain; version=0.0.4";
    reply.body = m_metrics.render(now);
    call.answer(std::move(reply));
}

milliseconds gateway::viewAge() const
{
    return m_store.hasRead() ? std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - m_store.lastAnswer()) : milliseconds(-1);
}

// Cut off from the store for a while, and the searchers known are gone: others serve better.
bool gateway::isLost() const
{
    const auto known = std::max(m_peerViewAt.value_or(monotonic_time {}), m_store.lastAnswer());
    return !m_store.isReachable() && monotonic_clock::now() - known > staleAfter && !m_fleet.canServe(*m_table);
}

void gateway::report(const run_report& ended)
{
    constexpr unsigned firstFailure = 500;
    m_metrics.record(ended);
    const auto id = ended.status >= firstFailure ? event::request_failed : event::request_ended;
    if (!isLogged(id))
        return;
    event_fields fields;
    fields.add("request", ended.requestId).add("route", ended.route).add("table", ended.table.value()).add("outcome", ended.outcome).add("status", ended.status).add("ms", ended.elapsed).add("sends", ended.sends).add("hedges", ended.hedges).add("not_run", ended.refusals);
    if (ended.parts > 0)
        fields.add("parts", ended.parts).add("missing", ended.missingParts);
    if (id == event::request_failed)
        fields.add("view_age_ms", viewAge()).add("members", m_share.members());
    logEvent(id, fields);
}

void gateway::replaceView(const std::vector<store_item>& items, bool afterOutage)
{
    m_evacuated.clear();
    m_membership.clear();
    std::vector<searcher_entry> entries;
    for (const auto& item : items) {
        if (!item.key.starts_with(m_protocol.searcherPrefix()))
            applyChange(item, afterOutage);
        else if (auto entry = readSearcher(item))
            entries.push_back(std::move(*entry));
    }
    m_changedSearchers.merge(m_directory.replaceAll(entries, monotonic_clock::now(), afterOutage));
    m_rulesChanged = true;
    const bool restarted = !m_settled && m_membership.members().contains(m_settings.node);
    changeMembers();
    m_settled = m_settled || restarted; // the list of before this process's start is still there
    refreshFleet();
}

void gateway::applyChange(const store_item& item, bool afterOutage)
{
    if (item.key.starts_with(m_protocol.operatorPrefix()))
        applyOperator(item);
    else if (item.key.starts_with(m_protocol.searcherPrefix()))
        applySearcher(item, afterOutage);
    else if (membership::owns(item.key)) {
        m_membership.apply(item);
        m_membersChanged = true;
    }
}

void gateway::applyOperator(const store_item& item)
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
    m_rulesChanged = true;
}

void gateway::adoptTable(const std::string& text)
{
    try {
        auto table = std::make_shared<const routing_table>(m_protocol.decodeTable(text));
        if (m_table && table->version() <= m_table->version())
            return;
        logEvent(event::table_adopted, event_fields().add("version", table->version().value()).add("before", m_table ? m_table->version().value() : 0).add("routes", table->routes().size()));
        m_table = std::move(table);
        m_tableText = text;
        m_clients.changeLimits(m_table->limits());
    } catch (const std::exception& error) {
        logEvent(event::table_unreadable, event_fields().add("error", error.what()));
    }
}

std::optional<searcher_entry> gateway::readSearcher(const store_item& item) const
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

void gateway::applySearcher(const store_item& item, bool afterOutage)
{
    const auto now = monotonic_clock::now();
    std::optional<searcher_entry> entry;
    if (!item.removed)
        entry = readSearcher(item);
    if (entry) {
        if (m_directory.put(*entry, now))
            m_changedSearchers.insert(entry->id);
        return;
    }
    const searcher_id gone(item.key.substr(m_protocol.searcherPrefix().size()));
    m_directory.remove(gone, now, afterOutage);
    m_changedSearchers.insert(gone);
}

void gateway::changeMembers()
{
    member_share share(m_settings.node, m_membership.names());
    m_membersChanged = false;
    if (share.members() != m_share.members()) {
        m_membersChangedAt = monotonic_clock::now();
        logEvent(event::members_changed, event_fields().add("members", share.members()));
    }
    m_share = std::move(share);
    m_rulesChanged = true;
}

std::optional<view_reply> gateway::ownView() const
{
    if (!m_table || !m_store.hasRead())
        return {};
    const auto now = monotonic_clock::now();
    view_reply view;
    // A watch that waits is as good as an answer: only a store that cannot be reached makes a view old.
    view.ageMs = m_store.isReachable() ? 0 : viewAge().count();
    view.tableText = m_tableText;
    view.evacuated.assign(m_evacuated.begin(), m_evacuated.end());
    for (const auto& [id, record] : m_directory.records()) {
        const auto& entry = record.entry;
        const auto coldLeft = std::chrono::duration_cast<milliseconds>(std::max(record.coldUntil, now) - now);
        view.searchers.push_back({ id, entry.service, entry.address, entry.zone, entry.slots, entry.draining, coldLeft.count(), entry.born });
    }
    for (const auto& [node, address] : m_membership.members()) {
        view.members.push_back(node);
        view.memberAddresses.push_back(address);
    }
    return view;
}

// Takes over a peer's view if the store answered that peer later than this process.
void gateway::adoptView(const view_reply& view)
{
    const auto now = monotonic_clock::now();
    const auto answered = now - milliseconds(view.ageMs);
    const auto known = std::max(m_peerViewAt.value_or(monotonic_time {}), m_store.lastAnswer());
    if (m_store.isReachable() || answered <= known || view.members.size() != view.memberAddresses.size())
        return;
    m_peerViewAt = answered;
    adoptTable(view.tableText);
    m_evacuated = { view.evacuated.begin(), view.evacuated.end() };
    std::vector<searcher_entry> entries;
    for (const auto& searcher : view.searchers)
        entries.push_back({ searcher.id, searcher.service, searcher.address, searcher.zone, searcher.slots, searcher.draining, milliseconds(searcher.coldForMs), searcher.born });
    m_changedSearchers.merge(m_directory.replaceAll(entries, now, false));
    m_membership.clear();
    for (std::size_t index = 0; index < view.members.size(); ++index)
        m_membership.put(view.members[index], view.memberAddresses[index]);
    m_rulesChanged = true;
    m_settled = true;
    changeMembers();
    logEvent(event::view_from_peer, event_fields().add("age_ms", view.ageMs).add("table", m_table ? m_table->version().value() : 0).add("searchers", entries.size()));
}

void gateway::askPeer(monotonic_time now)
{
    if (!m_peers || m_store.isReachable() || now < m_askPeerAt || now - m_store.lastAnswer() < askPeersAfter)
        return;
    m_askPeerAt = now + askPeersInterval;
    std::vector<std::string> addresses;
    for (const auto& [node, address] : m_membership.members())
        addresses.push_back(address);
    if (addresses.empty())
        addresses = m_settings.seeds;
    std::erase(addresses, m_settings.peerAddress);
    // Others each time, far apart in the list: those of one zone may all be turned away. Each process begins elsewhere.
    std::vector<std::string> asked;
    for (std::size_t count = 0; count < peersAskedAtOnce && count < addresses.size(); ++count)
        asked.push_back(addresses[(m_share.rank("peers") + peerStride * m_peersAsked++) % addresses.size()]);
    m_peers->ask(asked);
}

// Processes that start together see each other come; shares taken from a short list would add up to too much.
void gateway::settle(monotonic_time now)
{
    if (m_settled || !m_store.hasRead())
        return;
    const bool listed = m_membership.members().contains(m_settings.node);
    m_settled = (listed && now - m_membersChangedAt >= m_settings.memberSettle) || now - m_begun >= settleAtMost;
    m_rulesChanged = true;
}

void gateway::refreshFleet()
{
    if (!m_table || !m_settled || (!m_rulesChanged && m_changedSearchers.empty()))
        return;
    if (const auto changed = std::exchange(m_changedSearchers, {}); !changed.empty())
        m_fleet.updateEntries(m_directory, changed, *m_table, m_share);
    if (std::exchange(m_rulesChanged, false))
        m_fleet.updateRules(*m_table, m_share, m_evacuated);
}

void gateway::maintain()
{
    const auto now = monotonic_clock::now();
    m_changedSearchers.merge(m_directory.expire(now));
    if (m_membersChanged)
        changeMembers();
    settle(now);
    askPeer(now);
    refreshFleet();
    m_fleet.maintain(now);
    flushLog();
    m_maintenance.expires_after(maintenanceInterval);
    m_maintenance.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            maintain();
    });
}

void gateway::beginStop()
{
    logEvent(event::stopping, event_fields().add("running", m_context.running));
    m_stopping = true;
    m_stopBegan = monotonic_clock::now();
    m_clients.announceClose();
    m_membership.leave();
    continueStop();
}

// Serves on until the balancer has taken this process out, then closes what is idle, finishes what runs, and ends.
void gateway::continueStop()
{
    const auto now = monotonic_clock::now();
    const auto last = m_stopBegan + m_settings.stopGrace - stopReserve;
    const bool out = m_unreadyAnswers >= checksUntilOut || now >= last - 2 * lateArrivals;
    if (m_draining && now >= m_drainedAt && (m_context.running == 0 || now >= last)) {
        logEvent(event::stopped, event_fields().add("running", m_context.running).add("ms", std::chrono::duration_cast<milliseconds>(now - m_stopBegan)));
        flushLog();
        m_io.stop();
        return;
    }
    if (out && !m_draining) {
        m_draining = true;
        m_drainedAt = now + lateArrivals;
    }
    if (m_draining && now >= m_drainedAt - lateArrivals / 2)
        m_clients.drain();
    m_stopTimer.expires_after(stopPoll);
    m_stopTimer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            continueStop();
    });
}

} // namespace limpetpier
