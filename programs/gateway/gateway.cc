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
    , m_fleet(io.get_executor(), protocol, m_settings.zone, m_settings.bounds)
    , m_context { io.get_executor(), protocol, m_fleet, [this](const request_report& ended) { report(ended); }, 0 }
    , m_view(io.get_executor(), protocol, store, m_settings, [this](bool reachable) { handleStore(reachable); })
    , m_clients(io.get_executor(), parseTcpEndpoint(m_settings.clientAddress), [this](http_request request, client_call call) { handleRequest(std::move(request), std::move(call)); })
    , m_readiness(io.get_executor(), parseTcpEndpoint(m_settings.readyAddress), [this](const http_request&, client_call call) { handleReady(std::move(call)); })
    , m_maintenance(io)
    , m_stopTimer(io)
    , m_signals(io, SIGTERM, SIGINT)
{
    store.observe([this](const char* call, store_result result, microseconds elapsed) { m_metrics.recordStoreCall(call, result, elapsed); });
}

void gateway::handleStore(bool reachable)
{
    m_metrics.recordStoreReachability(reachable);
    logEvent(reachable ? event::store_up : event::store_down, event_fields().add("view_age_ms", m_view.age()));
}

void gateway::start()
{
    if (!m_settings.metricsAddress.empty()) {
        m_scrapes = std::make_unique<client_listener>(m_io.get_executor(), parseTcpEndpoint(m_settings.metricsAddress),
            [this](const http_request& request, client_call call) { handleMetrics(request, std::move(call)); });
    }
    m_view.start();
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
    m_fleet.setDeploymentLimits(settings.bounds);
    m_view.notifyBoundsChanged();
}

void gateway::handleRequest(http_request message, client_call call)
{
    auto request = std::make_shared<client_request>(m_protocol.decodeRequest(std::move(message)));
    if (!m_view.table())
        call.answer(m_protocol.encodeFailure(statusUnavailable, "no configuration yet; come back in a moment", retryWhileStarting));
    else if (request->id.empty() || request->host.empty())
        call.answer(m_protocol.encodeFailure(statusBadRequest, "request without an id or host", {}));
    else
        route(std::move(request), std::move(call));
}

void gateway::route(std::shared_ptr<client_request> request, client_call call)
{
    refreshFleet();
    const auto* rule = m_view.table()->find(request->host, request->message.target);
    if (rule == nullptr) {
        if (isLogged(event::request_unrouted))
            logEvent(event::request_unrouted, event_fields().add("request", request->id).add("host", request->host).add("target", request->message.target).add("table", m_view.table()->version().value()).add("view_age_ms", m_view.age()));
        call.answer(m_protocol.encodeFailure(statusNotFound, "no route for this host and path", {}));
        return;
    }
    const auto now = monotonic_clock::now();
    if (isLogged(event::request_begun))
        logEvent(event::request_begun, event_fields().add("request", request->id).add("route", rule->name).add("table", m_view.table()->version().value()).add("time_left_ms", request->timeLeft.value_or(rule->timeout)).add("view_age_ms", m_view.age()));
    const auto timeLeft = std::min(rule->timeout, request->timeLeft.value_or(rule->timeout));
    accepted_request run { std::move(request), m_view.table(), rule, &m_records[rule->name], now, now + timeLeft, std::move(call) };
    if (rule->isQuery())
        startQuery(m_context, std::move(run));
    else
        startSingleSearcherRequest(m_context, std::move(run), m_splits[rule->name].nextService(*rule));
}

bool gateway::isReady() const
{
    return !m_stopping && m_view.table() && m_view.isSettled() && !isLost();
}

void gateway::handleReady(client_call call)
{
    const bool ready = isReady();
    if (m_stopping)
        ++m_unreadyAnswers;
    if (ready != m_saidReady)
        logEvent(event::readiness_changed, event_fields().add("ready", ready ? "yes" : "no").add("stopping", m_stopping ? "yes" : "no").add("view_age_ms", m_view.age()));
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
    const auto fleet = m_fleet.countTotals(monotonic_clock::now());
    gateway_metrics::gauges now;
    now.runningRequests = m_context.activeRequests;
    now.clientConnections = m_clients.connections();
    now.searchers = fleet.searchers;
    now.usableSearchers = fleet.usable;
    now.searcherConnections = fleet.connections;
    now.members = m_view.share().memberCount();
    now.tableVersion = m_view.table() ? m_view.table()->version().value() : 0;
    now.viewAgeSeconds = std::chrono::duration<double>(m_view.age()).count();
    now.ready = isReady();
    now.shares = m_fleet.limitsByService();
    now.extraSendsLeft = m_fleet.remainingExtraSends(monotonic_clock::now());
    reply.contentType = "text/plain; version=0.0.4";
    reply.body = m_metrics.render(now);
    call.answer(std::move(reply));
}

// Cut off from the store for a while, and the searchers known are gone: others serve better.
bool gateway::isLost() const
{
    return !m_view.isReachable() && monotonic_clock::now() - m_view.lastStoreContact() > staleAfter && !m_fleet.canServe(*m_view.table());
}

void gateway::report(const request_report& ended)
{
    constexpr unsigned firstFailure = 500;
    m_metrics.record(ended);
    const auto id = ended.status >= firstFailure ? event::request_failed : event::request_ended;
    if (!isLogged(id))
        return;
    event_fields fields;
    fields.add("request", ended.requestId).add("route", ended.route).add("table", ended.tableVersion.value()).add("outcome", ended.outcome).add("status", ended.status).add("ms", ended.elapsed).add("sends", ended.sends).add("hedges", ended.hedges).add("not_run", ended.notExecutedSends);
    if (ended.parts > 0)
        fields.add("parts", ended.parts).add("missing", ended.missingParts);
    if (id == event::request_failed)
        fields.add("view_age_ms", m_view.age()).add("members", m_view.share().memberCount());
    logEvent(id, fields);
}

void gateway::refreshFleet()
{
    const auto& table = m_view.table();
    if (!table || !m_view.isSettled())
        return;
    const auto changes = m_view.takeChanges();
    if (changes.rules)
        m_clients.changeLimits(table->limits());
    if (!changes.searchers.empty())
        m_fleet.updateEntries(m_view.directory(), changes.searchers, *table, m_view.share());
    if (changes.rules)
        m_fleet.updateConfiguration(*table, m_view.share(), m_view.evacuatedZones());
}

void gateway::maintain()
{
    const auto now = monotonic_clock::now();
    m_view.maintain(now);
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
    logEvent(event::stopping, event_fields().add("running", m_context.activeRequests));
    m_stopping = true;
    m_stopBegan = monotonic_clock::now();
    m_clients.disableKeepAlive();
    m_view.leave();
    continueStop();
}

// Serves on until the balancer has taken this process out, then closes what is idle, finishes what runs, and ends.
void gateway::continueStop()
{
    const auto now = monotonic_clock::now();
    const auto last = m_stopBegan + m_settings.stopGrace - stopReserve;
    const bool out = m_unreadyAnswers >= checksUntilOut || now >= last - 2 * lateArrivals;
    if (m_draining && now >= m_drainedAt && (m_context.activeRequests == 0 || now >= last)) {
        logEvent(event::stopped, event_fields().add("running", m_context.activeRequests).add("ms", std::chrono::duration_cast<milliseconds>(now - m_stopBegan)));
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
