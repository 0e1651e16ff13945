#include "gateway.h"

#include <algorithm>
#include <csignal>

#include "gateway_request_handler.h"
#include "limpetpier/coordination/caller_access.h"
#include "limpetpier/coordination/return_delay.h"
#include "limpetpier/state/errors.h"
#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr unsigned statusNotFound = 404;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusLimitReached = 429;

// Between two runs of the periodic maintenance.
constexpr milliseconds maintenanceInterval { 100 };

// Retry-After of requests that arrive before the first configuration.
constexpr milliseconds configurationRetryDelay { 300 };

// Part (1/n) of the limits on clients that the readiness and the metrics listener have each, so that clients can't keep the
// checks of the platform out.
constexpr std::size_t operationsDivisor = 8;

connection_budget::limits clientLimits(const connection_budget::limits& all)
{
    constexpr std::size_t parts = operationsDivisor - 2;
    return { all.bytes / operationsDivisor * parts, all.connections / operationsDivisor * parts };
}

connection_budget::limits operationsLimits(const connection_budget::limits& all)
{
    return { all.bytes / operationsDivisor, std::max<std::size_t>(all.connections / operationsDivisor, 1) };
}

// Readiness checks answered with 503 after which the load balancer has removed this process.
constexpr std::uint32_t unreadyChecksUntilRemoval = 2;

// Time after the load balancer's last readiness check in which requests still arrive on new connections.
constexpr milliseconds lateArrivalPeriod { 400 };

// Between two checks of the progress of a stop.
constexpr milliseconds stopPollInterval { 20 };

// Time without contact to the store after which this process is ready only while its searchers cover all routes.
constexpr milliseconds maxStoreSilence { 1500 };

// Returns the report of a request that ends before it was started.
request_report describeUnstarted(const accepted_request& run, const char* outcome, unsigned status)
{
    request_report result;
    result.requestId = run.clientRequest->id;
    result.route = run.matchedRoute->name;
    result.tableVersion = run.routingTable->version();
    result.outcome = outcome;
    result.status = status;
    result.elapsed = std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - run.arrivedAt);
    return result;
}

} // namespace

gateway::gateway(asio::io_context& io, const gateway_protocol& protocol, metadata_store& store, gateway_settings settings)
    : m_io(io)
    , m_protocol(protocol)
    , m_settings(std::move(settings))
    , m_fleet(io.get_executor(), protocol, m_settings.zone, m_settings.bounds)
    , m_context { io.get_executor(), protocol, m_fleet, [this](const request_report& ended) { report(ended); } }
    , m_gate(io.get_executor(), m_settings.givesWay, { [this](accepted_request run) { startRequest(std::move(run)); }, [this](accepted_request run, monotonic_time returnAt) { refuse(std::move(run), returnAt); }, [this](const accepted_request& run, const request_gate::verdict& verdict) { recordAdmission(run, verdict); }, [this](const accepted_request& run) { report(describeUnstarted(run, "client_left", 0)); } })
    , m_view(io.get_executor(), protocol, store, m_settings, [this](bool reachable) { handleStoreReachability(reachable); })
    , m_rollouts(protocol, store, m_settings, m_fleet)
    , m_limiter(io.get_executor(), m_settings.node, m_settings.peerAddress, m_settings.nodeSecret, m_settings.membershipTiming.leaseTtl / 2)
    , m_readinessBudget(std::make_shared<connection_budget>(operationsLimits(m_settings.clientLimits)))
    , m_metricsBudget(std::make_shared<connection_budget>(operationsLimits(m_settings.clientLimits)))
    , m_clientBudget(std::make_shared<connection_budget>(clientLimits(m_settings.clientLimits)))
    , m_clientListener(
          io.get_executor(), parseTcpEndpoint(m_settings.clientAddress), [this](http_request request, client_call call) { handleRequest(std::move(request), std::move(call)); }, m_clientBudget)
    , m_readinessListener(
          io.get_executor(), parseTcpEndpoint(m_settings.readyAddress), [this](const http_request&, client_call call) { handleReady(std::move(call)); }, m_readinessBudget)
    , m_maintenanceTimer(io)
    , m_stopTimer(io)
    , m_signals(io, SIGTERM, SIGINT)
{
    store.observe([this](const char* call, store_result result, microseconds elapsed) { m_metrics.recordStoreCall(call, result, elapsed); });
}

void gateway::handleStoreReachability(bool reachable)
{
    m_metrics.recordStoreReachability(reachable);
    logEvent(reachable ? event::store_up : event::store_down, event_fields().add("view_age_ms", m_view.age()));
}

void gateway::start()
{
    if (!m_settings.metricsAddress.empty()) {
        m_metricsListener = std::make_unique<client_listener>(
            m_io.get_executor(), parseTcpEndpoint(m_settings.metricsAddress),
            [this](const http_request& request, client_call call) { handleMetrics(request, std::move(call)); }, m_metricsBudget);
    }
    m_limiter.changeBounds(m_settings.bounds.limitWindow, m_settings.bounds.limitSlack);
    if (m_settings.bounds.limitWindow > milliseconds(0))
        m_limiter.start();
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
    m_settings.clientLimits = settings.clientLimits;
    m_clientBudget->changeLimits(clientLimits(settings.clientLimits));
    m_readinessBudget->changeLimits(operationsLimits(settings.clientLimits));
    m_metricsBudget->changeLimits(operationsLimits(settings.clientLimits));
    m_fleet.setDeploymentLimits(settings.bounds);
    m_limiter.changeBounds(settings.bounds.limitWindow, settings.bounds.limitSlack);
    if (settings.bounds.limitWindow > milliseconds(0))
        m_limiter.start();
    m_view.notifyBoundsChanged();
}

void gateway::handleRequest(http_request message, client_call call)
{
    const auto credentials = m_view.table() && m_view.table()->hasWorkspaces() ? credential_policy::check : credential_policy::forward;
    auto request = std::make_shared<client_request>(m_protocol.decodeRequest(std::move(message), credentials));
    if (!m_view.table())
        call.answer(m_protocol.encodeFailure(statusUnavailable, "no configuration yet; come back in a moment", configurationRetryDelay));
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
    const auto access = checkAccess(*m_view.table(), *rule, request->key);
    if (!access.isAllowed) {
        refuseUnauthorized(*request, *rule, call);
        return;
    }
    if (access.caller != nullptr)
        request->workspace = access.caller->id;
    const auto now = monotonic_clock::now();
    if (isLogged(event::request_begun))
        logEvent(event::request_begun, event_fields().add("request", request->id).add("route", rule->name).add("table", m_view.table()->version().value()).add("time_left_ms", request->timeLeft.value_or(rule->timeout)).add("view_age_ms", m_view.age()));
    const auto timeLeft = std::min(rule->timeout, request->timeLeft.value_or(rule->timeout));
    if (m_stop && !m_stop->admits(*rule, now + timeLeft, now)) {
        request_report refusal;
        refusal.requestId = request->id;
        refusal.route = rule->name;
        refusal.tableVersion = m_view.table()->version();
        refusal.outcome = "stopping";
        refusal.status = statusUnavailable;
        report(refusal);
        call.answer(m_protocol.encodeFailure(statusUnavailable, "this process is stopping and did not execute the request; retry it on a new connection", minReturnDelay));
        return;
    }
    auto& statistics = m_routeRecords[rule->name];
    const auto waited = request->timeLeft ? statistics.clientWait.record(*request->timeLeft, rule->latencyObjective / gather_policy::maxWaitDivisor) : milliseconds(0);
    accepted_request run { std::move(request), m_view.table(), rule, &statistics, now, waited, now + timeLeft, std::move(call) };
    run.workspace = run.clientRequest->workspace;
    run.priority = requestPriority(*rule, access.caller);
    admit(std::move(run));
}

void gateway::refuseUnauthorized(const client_request& request, const limpetpier::route& rule, client_call& call)
{
    if (isLogged(event::request_unauthorized))
        logEvent(event::request_unauthorized, event_fields().add("request", request.id).add("route", rule.name).add("key_digest", request.key ? request.key->shortName() : "").add("table", m_view.table()->version().value()).add("view_age_ms", m_view.age()));
    request_report refusal;
    refusal.route = rule.name;
    refusal.tableVersion = m_view.table()->version();
    refusal.outcome = "unauthorized";
    refusal.status = statusUnauthorized;
    m_metrics.record(refusal);
    call.answer(m_protocol.encodeFailure(statusUnauthorized, "this route needs a key that the current configuration knows", {}));
}

void gateway::admit(accepted_request run)
{
    startWithinLimit(std::move(run));
}

void gateway::startWithinLimit(accepted_request run)
{
    if (!m_limiter.isLimited(run.workspace)) {
        m_gate.admit(std::move(run));
        return;
    }
    const auto workspace = run.workspace;
    const auto spread = std::hash<std::string> {}(run.clientRequest->id);
    const auto shared = std::make_shared<accepted_request>(std::move(run));
    m_limiter.acquire(workspace, spread, [this, shared](const permit_decision& decision) {
        m_metrics.recordPermit(decision);
        if (decision.granted)
            m_gate.admit(std::move(*shared));
        else
            refuseBeyondLimit(*shared, decision);
    });
}

void gateway::refuseBeyondLimit(accepted_request& run, const permit_decision& decision)
{
    if (isLogged(event::request_beyond_limit))
        logEvent(event::request_beyond_limit, event_fields().add("request", run.clientRequest->id).add("route", run.matchedRoute->name).add("workspace", run.workspace.value()).add("why", decision.isLimitReached ? "limit_reached" : "no_keeper").add("keepers", decision.keepersAsked).add("waited_ms", decision.waited).add("return_ms", decision.returnDelay).add("view_age_ms", m_view.age()));
    request_report refusal;
    refusal.requestId = run.clientRequest->id;
    refusal.route = run.matchedRoute->name;
    refusal.tableVersion = run.routingTable->version();
    refusal.outcome = decision.isLimitReached ? "limit_reached" : "limit_unknown";
    refusal.status = decision.isLimitReached ? statusLimitReached : statusUnavailable;
    refusal.elapsed = std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - run.arrivedAt);
    report(refusal);
    if (decision.isLimitReached)
        run.clientCall.answer(m_protocol.encodeFailure(statusLimitReached, "the workspace has reached its limit, so this request was not executed; retry it", decision.returnDelay));
    else
        run.clientCall.answer(m_protocol.encodeFailure(statusUnavailable, "the limit of the workspace cannot be checked at present, so this request was not executed; retry it", decision.returnDelay));
}

void gateway::refuse(accepted_request run, monotonic_time returnAt)
{
    report(describeUnstarted(run, "gave_way", statusUnavailable));
    // While this process is cut off from the store, another one may have capacity at once.
    const auto delay = m_view.isReachable() ? returnDelay(returnAt, monotonic_clock::now()) : minReturnDelay;
    run.clientCall.answer(m_protocol.encodeFailure(statusUnavailable, "too many requests at present, so this one was not executed; retry it", delay));
}

void gateway::recordAdmission(const accepted_request& run, const request_gate::verdict& verdict)
{
    constexpr double percent = 100;
    const auto& decision = verdict.decision;
    m_metrics.recordAdmission(run.matchedRoute->name, decision);
    if (decision.verdict == admission_verdict::admit || !isLogged(event::request_held_back))
        return;
    logEvent(event::request_held_back, event_fields().add("request", run.clientRequest->id).add("route", run.matchedRoute->name).add("decision", toText(decision.verdict)).add("why", decision.reason).add("priority", run.priority).add("workspace", run.workspace.value()).add("time_left_ms", std::chrono::duration_cast<milliseconds>(run.deadline - monotonic_clock::now())).add("short_percent", static_cast<int>(percent * verdict.shortage)).add("admitted_percent", static_cast<int>(percent * verdict.admittedShare)).add("until_ms", std::chrono::duration_cast<milliseconds>(decision.until - monotonic_clock::now())));
}

void gateway::startRequest(accepted_request run)
{
    const auto& rule = *run.matchedRoute;
    if (rule.isQuery())
        startQuery(m_context, std::move(run));
    else
        startSingleSearcherRequest(m_context, std::move(run), m_trafficSplits[rule.name].nextService(rule));
}

bool gateway::isReady() const
{
    return !m_stop && m_view.table() && m_view.isSettled() && !isIsolated();
}

void gateway::handleReady(client_call call)
{
    const bool ready = isReady();
    if (m_stop)
        ++m_unreadyReplies;
    if (ready != m_lastReportedReady)
        logEvent(event::readiness_changed, event_fields().add("ready", ready ? "yes" : "no").add("stopping", m_stop ? "yes" : "no").add("view_age_ms", m_view.age()));
    m_lastReportedReady = ready;
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
    const auto fleetTotals = m_fleet.countTotals(monotonic_clock::now());
    gateway_metrics::gauges values;
    values.runningRequests = m_context.handlers.size();
    values.clientConnections = m_clientListener.connections();
    values.clientBytes = m_clientBudget->used() + m_readinessBudget->used() + m_metricsBudget->used();
    values.clientsGivenUp = m_clientBudget->revocations() + m_readinessBudget->revocations() + m_metricsBudget->revocations();
    values.searchers = fleetTotals.searchers;
    values.usableSearchers = fleetTotals.usable;
    values.searcherConnections = fleetTotals.connections;
    values.members = m_view.share().memberCount();
    values.tableVersion = m_view.table() ? m_view.table()->version().value() : 0;
    values.viewAgeSeconds = std::chrono::duration<double>(m_view.age()).count();
    values.ready = isReady();
    values.limitsKept = m_limiter.keptCount();
    values.waitingForPermits = m_limiter.waiting();
    values.shares = m_fleet.limitsByService();
    values.extraSendsLeft = m_fleet.remainingExtraSends(monotonic_clock::now());
    for (const auto& row : m_rollouts.rows())
        values.rollouts.push_back({ row.service, row.target, row.phase, row.answers });
    reply.contentType = "text/plain; version=0.0.4";
    reply.body = m_metrics.render(values);
    call.answer(std::move(reply));
}

// Returns whether the store has been out of reach for a while and the known searchers no longer cover all routes: other
// gateways should get the requests then.
bool gateway::isIsolated() const
{
    const auto now = monotonic_clock::now();
    return !m_view.isReachable() && now - m_view.lastStoreContact() > maxStoreSilence && !m_fleet.canServe(*m_view.table(), now);
}

void gateway::report(const request_report& ended)
{
    constexpr unsigned firstFailure = 500;
    m_metrics.record(ended);
    m_gate.recordEnd(ended);
    if (ended.lackedSearchers)
        m_view.probeStore(); // this process may be cut off from both
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
        m_clientListener.changeLimits(table->limits());
    if (!changes.none()) {
        m_rollouts.update(m_view, monotonic_clock::now());
        m_fleet.applyRollouts();
    }
    if (!changes.searchers.empty())
        m_fleet.updateEntries(m_view.directory(), changes.searchers, *table, m_view.share());
    if (changes.rules) {
        m_fleet.updateConfiguration(*table, m_view.share(), m_view.evacuatedZones());
        m_limiter.update(*table, m_view.memberAddresses(), m_view.wasListedBefore());
    }
}

void gateway::maintain()
{
    const auto now = monotonic_clock::now();
    m_view.maintain(now);
    m_limiter.maintain(m_view.lastStoreContact(), now);
    refreshFleet();
    m_rollouts.maintain(m_view, now);
    m_view.setRolloutActive(m_rollouts.isAnyActive());
    m_fleet.maintain(now);
    flushLog();
    m_maintenanceTimer.expires_after(maintenanceInterval);
    m_maintenanceTimer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            maintain();
    });
}

void gateway::beginStop()
{
    logEvent(event::stopping, event_fields().add("running", m_context.handlers.size()));
    m_stop.emplace(monotonic_clock::now(), m_settings.stopGrace);
    m_clientListener.disableKeepAlive();
    m_limiter.leave();
    m_view.leave();
    continueStop();
}

// Serves requests until the load balancer has removed this process, then closes idle connections, finishes running
// requests and ends the event loop once their answers are written.
void gateway::continueStop()
{
    const auto now = monotonic_clock::now();
    const bool isRemoved = m_unreadyReplies >= unreadyChecksUntilRemoval || now >= m_stop->answersDue() - 2 * lateArrivalPeriod;
    if (now >= m_stop->answersDue())
        answerRunningRequests();
    const bool isDone = m_context.handlers.empty() && m_gate.waiting() == 0 && m_limiter.waiting() == 0 && m_clientListener.unfinishedReplies() == 0;
    if (m_draining && now >= m_arrivalsEndAt && (isDone || now >= m_stop->exitDue())) {
        logEvent(event::stopped, event_fields().add("running", m_context.handlers.size()).add("unfinished_replies", m_clientListener.unfinishedReplies()).add("ms", std::chrono::duration_cast<milliseconds>(now - m_stop->startedAt())));
        flushLog();
        m_io.stop();
        return;
    }
    if (isRemoved && !m_draining) {
        m_draining = true;
        m_arrivalsEndAt = now + lateArrivalPeriod;
    }
    if (m_draining && now >= m_arrivalsEndAt - lateArrivalPeriod / 2)
        m_clientListener.drain();
    m_stopTimer.expires_after(stopPollInterval);
    m_stopTimer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            continueStop();
    });
}

void gateway::answerRunningRequests()
{
    m_gate.refuseWaiting();
    const auto handlers = m_context.handlers; // each removes itself, some only later
    for (auto* handler : handlers) {
        if (m_context.handlers.contains(handler))
            handler->endForExit();
    }
}

} // namespace limpetpier
