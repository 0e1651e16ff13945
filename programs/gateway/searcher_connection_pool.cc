#include "searcher_connection_pool.h"

#include <algorithm>
#include <cmath>

#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr milliseconds connectTimeout { 400 };
constexpr milliseconds healthTimeout { 1000 };
constexpr milliseconds initialReconnectDelay { 100 };
constexpr milliseconds maxReconnectDelay { 1000 };

// A searcher that replied within this time has not restarted since: a process takes longer to end and to start.
constexpr milliseconds minRestartTime { 250 };

// Calls that may wait for a connection, per permitted connection.
constexpr std::size_t maxQueuedCallsPerConnection = 4;

// A listed searcher is used although it reports unhealthy at this many health checks in a row.
constexpr std::uint32_t maxUnhealthyReplies = 4;

// A connection is kept ready while requests were sent within this time. Less than the idle limits of searchers, so that
// a connection that a searcher closed as idle is not reopened without need.
constexpr milliseconds keepReadyDuration { 6000 };

// An unused connection that closes within this time after it was opened exceeded the searcher's connection limit. The
// reset takes one round trip; the rest allows for a slow machine. A later close may mean that the searcher restarted.
constexpr milliseconds rejectionWindow { 150 };

// Idle limit assumed for a searcher that has not stated one yet.
constexpr milliseconds defaultIdleLimit { 5000 };

// A close this long before the idle limit still counts as an idle timeout, as searchers keep the limit only roughly.
constexpr milliseconds idleLimitTolerance { 700 };

// Connections beyond the first are closed after this idle time. A searcher needs room for the new connections of
// restarted gateways before it notices that their old connections are dead.
constexpr milliseconds spareIdleTimeout { 1000 };

// Length of the part of an invalid value that is logged.
constexpr std::size_t maxLoggedValueBytes = 80;

// Time constant with which a searcher's relative latency decays to 1, so that a slow searcher is tried again.
constexpr milliseconds latencyDecayTime { 2000 };
constexpr double latencyUpdateWeight = 0.3; // weight of the latest reply
constexpr double maxRelativeLatency = 20;

// Ratios of failed sends at which a searcher is logged as failing and as recovered. They differ to avoid flapping.
constexpr double failingThreshold = 0.5;
constexpr double recoveredThreshold = 0.25;

// Costs, in multiples of the median reply time.
constexpr double connectCost = 1;
constexpr double stalledCost = 8;
constexpr double failureCost = 6; // a failed send requires another one, which uses up retry budget
constexpr double runningCallCost = 0.5; // per running call of this process and slot of the searcher

} // namespace

searcher_connection_pool::searcher_connection_pool(asio::any_io_executor executor, const gateway_protocol& protocol, searcher_entry entry, std::shared_ptr<connection_budget> budget)
    : m_executor(std::move(executor))
    , m_protocol(protocol)
    , m_entry(std::move(entry))
    , m_receiveBudget(std::move(budget))
    , m_reconnectDelay(initialReconnectDelay)
    , m_lastSentAt(monotonic_clock::now())
{
}

searcher_connection_pool::~searcher_connection_pool()
{
    *m_alive = false;
    closeAllConnections();
}

void searcher_connection_pool::update(const searcher_entry& entry, monotonic_time coldUntil)
{
    const bool restarted = entry.address != m_entry.address || (entry.startTimeMs != 0 && m_entry.startTimeMs != 0 && entry.startTimeMs != m_entry.startTimeMs);
    m_entry = entry;
    m_coldUntil = coldUntil;
    if (restarted) {
        ++m_incarnation;
        m_uptimeKnown = true; // the entry tells of the new start
        m_wasConnected = false;
        m_restriction.reset();
        closeIdleConnections();
        m_reconnectAt = {}; // an unverified searcher is checked nevertheless: it may have restarted since the entry was written
    }
    if (m_entry.draining)
        closeIdleConnections();
}

void searcher_connection_pool::changeLimits(const searcher_limits& limits)
{
    m_limits = limits;
    m_coldRequests.changeLimit(limits.coldRequestsPerSecond);
}

void searcher_connection_pool::setEvacuated(bool evacuated)
{
    if (m_evacuated && !evacuated)
        markUnverified("evacuation_over"); // it may have become cold in the meantime
    m_evacuated = evacuated;
}

bool searcher_connection_pool::isUsable(monotonic_time now)
{
    if (!isReachable(now))
        return false;
    if (isCold(now) && !m_coldRequests.allows(now))
        return false;
    if (findIdleConnection(now))
        return true;
    return now >= m_reconnectAt && m_queue.size() < m_limits.connections * maxQueuedCallsPerConnection && (m_connections.size() < m_limits.connections || connectingCount() > m_queue.size());
}

monotonic_time searcher_connection_pool::sendableFrom(monotonic_time now) const
{
    if (!acceptsRequests())
        return monotonic_time::max();
    const auto allowedFrom = std::max(now, m_restriction.sendableFrom());
    return m_connections.empty() ? std::max(allowedFrom, m_reconnectAt) : allowedFrom;
}

double searcher_connection_pool::expectedCost(monotonic_time now) const
{
    const double age = std::chrono::duration<double>(now - m_relativeLatencyAt) / std::chrono::duration<double>(latencyDecayTime);
    double result = 1 + (m_relativeLatency - 1) * std::exp(-age) + failureCost * m_failures.failureRate(now);
    bool idle = false;
    for (const auto& connection : m_connections) {
        idle = idle || connection->channel->isIdle();
        if (!connection->call)
            continue;
        result += runningCallCost / m_entry.slots;
        if (now > connection->call->stalledAt)
            result += stalledCost;
    }
    return result + (idle ? 0 : connectCost) + static_cast<double>(m_queue.size()) * runningCallCost;
}

std::size_t searcher_connection_pool::runningCalls() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const pooled_connection_ptr& connection) { return connection->call != nullptr; }));
}

bool searcher_connection_pool::hasOpenConnection() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const pooled_connection_ptr& connection) { return connection->channel->isOpen(); });
}

std::size_t searcher_connection_pool::connectingCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const pooled_connection_ptr& connection) { return connection->channel->isConnecting(); }));
}

searcher_connection_pool::pooled_connection_ptr searcher_connection_pool::findIdleConnection(monotonic_time now)
{
    if (!m_uptimeKnown)
        return nullptr;
    // Takes the most recently used one, so that the others can reach their idle limit and be closed.
    for (auto connection = m_connections.rbegin(); connection != m_connections.rend(); ++connection) {
        if ((*connection)->channel->isIdle() && (*connection)->channel->usableUntil() > now && !(*connection)->verifying)
            return *connection;
    }
    return nullptr;
}

void searcher_connection_pool::send(const call_handle& call)
{
    m_queue.push_back(call);
    sendQueuedCalls();
    if (!call->written && connectingCount() < m_queue.size() && m_connections.size() < m_limits.connections)
        openConnection();
}

void searcher_connection_pool::sendQueuedCalls()
{
    const auto now = monotonic_clock::now();
    while (!m_queue.empty()) {
        if (m_queue.front()->finished) {
            m_queue.pop_front();
            continue;
        }
        // Checked again right before the write: the searcher may have started to drain or pushed back while the call was
        // queued.
        if (!acceptsRequests() || !m_verified || !m_restriction.allowsSend(now)) {
            failQueuedCalls();
            return;
        }
        const auto idle = findIdleConnection(now);
        if (!idle)
            return;
        auto call = std::move(m_queue.front());
        m_queue.pop_front();
        writeCall(idle, call);
    }
}

void searcher_connection_pool::writeCall(const pooled_connection_ptr& idle, const call_handle& call)
{
    const auto now = monotonic_clock::now();
    if (isCold(now)) {
        if (!m_coldRequests.allows(now)) {
            call->finished = true;
            call->onResult({});
            return;
        }
        m_coldRequests.record(now);
    }
    call->written = true;
    call->writtenAt = now;
    idle->used = true;
    m_lastSentAt = now;
    idle->call = call;
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(call->deadline - now);
    const auto request = call->request;
    idle->channel->exchange(
        m_protocol.encodeCall(*request, m_entry.id, timeLeft), request->message.method == "HEAD",
        [this, alive = m_alive, request, idle](const http_reply& reply) {
            if (!*alive || m_protocol.isReplyTo(*request, reply))
                return true;
            applyNotice(*idle, reply); // an earlier request's reply is discarded, but its notice still counts
            return false;
        },
        [this, alive = m_alive, idle, call](exchange_result result) {
            if (*alive)
                handleReply(idle, call, std::move(result));
        });
}

void searcher_connection_pool::handleReply(const pooled_connection_ptr& used, const call_handle& call, exchange_result result)
{
    used->call.reset();
    used->closeAt.reset();
    used->idleSince = monotonic_clock::now();
    if (used->incarnation != m_incarnation)
        used->channel->close(); // reached the searcher before its restart
    if (const auto limit = used->channel->idleLimit())
        m_idleLimit = limit;
    if (!used->channel->isOpen() && result.stage == exchange_stage::replied)
        std::erase(m_connections, used); // closed regularly after a complete reply
    else if (!used->channel->isOpen())
        handleClosedConnection(used);
    else if (used != m_connections.back()) // most recently used last
        std::rotate(std::find(m_connections.begin(), m_connections.end(), used), std::find(m_connections.begin(), m_connections.end(), used) + 1, m_connections.end());
    if (result.stage != exchange_stage::replied)
        handleConnectionFailure();
    else
        applyNotice(*used, result.reply);
    const bool isAwaited = !std::exchange(call->finished, true);
    call_result outcome;
    outcome.stage = result.stage;
    outcome.elapsed = std::chrono::duration_cast<microseconds>(monotonic_clock::now() - call->writtenAt);
    if (result.stage == exchange_stage::replied)
        outcome.reply = m_protocol.decodeReply(std::move(result.reply));
    if (isAwaited)
        recordOutcome(outcome.stage != exchange_stage::replied || outcome.reply.kind != reply_kind::success, call->writtenAt + outcome.elapsed);
    if (outcome.stage == exchange_stage::replied && outcome.reply.kind == reply_kind::misdirected) {
        markUnverified("misdirected");
        failQueuedCalls();
    } else if (outcome.stage == exchange_stage::replied) {
        m_reconnectDelay = initialReconnectDelay;
        m_lastReplyAt = monotonic_clock::now();
    }
    sendQueuedCalls();
    if (isAwaited)
        call->onResult(std::move(outcome));
}

void searcher_connection_pool::applyNotice(const pooled_connection& from, const http_reply& reply)
{
    if (from.incarnation != m_incarnation)
        return;
    const auto now = monotonic_clock::now();
    const auto notice = m_protocol.decodeNotice(reply);
    if (!notice.invalidPushback.empty())
        logEvent(event::pushback_ignored, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("found", notice.invalidPushback.substr(0, maxLoggedValueBytes)));
    if (!m_restriction.apply(notice, now))
        return;
    if (isLogged(event::searcher_restricted))
        logEvent(event::searcher_restricted, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("leaving", m_restriction.isLeaving() ? "yes" : "no").add("pushback_ms", notice.pushback.value_or(milliseconds(0))));
    if (m_restriction.isLeaving())
        closeIdleConnections();
}

void searcher_connection_pool::recordOutcome(bool failed, monotonic_time now)
{
    m_failures.record(failed, now);
    const double failureRate = m_failures.failureRate(now);
    const bool failing = failureRate >= (m_reportedFailing ? recoveredThreshold : failingThreshold);
    if (failing == m_reportedFailing)
        return;
    m_reportedFailing = failing;
    logEvent(event::searcher_failing, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("failing", failing ? "yes" : "no").add("percent", static_cast<int>(100 * failureRate)));
}

void searcher_connection_pool::cancel(const call_handle& call, milliseconds gracePeriod)
{
    if (std::exchange(call->finished, true))
        return;
    std::erase(m_queue, call);
    const auto now = monotonic_clock::now();
    if (call->written && now > call->stalledAt)
        recordOutcome(true, now); // stalled; usually a later hedge was faster
    for (const auto& connection : m_connections) {
        if (connection->call == call)
            connection->closeAt = now + gracePeriod;
    }
}

void searcher_connection_pool::openConnection()
{
    // A restart while no connection is open goes unnoticed, whatever closed the last one.
    if (m_wasConnected && !hasOpenConnection() && monotonic_clock::now() - m_lastReplyAt >= minRestartTime)
        m_uptimeKnown = false;
    auto opened = std::make_shared<pooled_connection>();
    opened->channel = http_channel::create(m_executor, parseTcpEndpoint(m_entry.address));
    opened->channel->useBudget(m_receiveBudget);
    opened->verifying = !m_verified || !m_uptimeKnown;
    opened->incarnation = m_incarnation;
    m_connections.insert(m_connections.begin(), opened);
    opened->channel->onClosed([this, alive = m_alive, weak = std::weak_ptr(opened)] {
        const auto closed = weak.lock();
        if (*alive && closed)
            handleClosedConnection(closed);
    });
    opened->channel->open(connectTimeout, [this, alive = m_alive, opened](bool success) {
        if (*alive)
            handleOpened(opened, success);
    });
}

void searcher_connection_pool::handleOpened(const pooled_connection_ptr& opened, bool success)
{
    if (!success) {
        handleClosedConnection(opened);
        handleConnectionFailure();
        return;
    }
    opened->idleSince = monotonic_clock::now();
    m_wasConnected = true;
    opened->verifying = false;
    const bool isBeingVerified = std::any_of(m_connections.begin(), m_connections.end(), [](const pooled_connection_ptr& connection) { return connection->verifying && connection->channel->isOpen(); });
    if (!m_restriction.allowsSend(opened->idleSince))
        failQueuedCalls(); // the searcher pushed back or left while the connection was being opened
    else if (!m_verified || (!m_uptimeKnown && !isBeingVerified))
        verify(opened);
    else
        sendQueuedCalls();
}

void searcher_connection_pool::verify(const pooled_connection_ptr& opened)
{
    opened->verifying = true;
    opened->closeAt = monotonic_clock::now() + healthTimeout;
    opened->channel->exchange(m_protocol.encodeHealthCheck(m_limits.healthPath), false, {}, [this, alive = m_alive, opened](const exchange_result& result) {
        if (*alive)
            handleHealthReply(opened, result);
    });
}

void searcher_connection_pool::handleHealthReply(const pooled_connection_ptr& opened, const exchange_result& result)
{
    opened->verifying = false;
    opened->closeAt.reset();
    if (!opened->channel->isOpen())
        handleClosedConnection(opened);
    if (result.stage != exchange_stage::replied) {
        handleConnectionFailure();
        return;
    }
    opened->used = true;
    const auto report = m_protocol.decodeHealth(result.reply);
    if (report.searcher == m_entry.id)
        applyNotice(*opened, result.reply);
    // An unhealthy searcher is checked again: it may be shutting down, or its health check may be wrong.
    const bool isUnhealthy = !report.healthy && ++m_unhealthyReplies < maxUnhealthyReplies;
    if (report.searcher != m_entry.id || isUnhealthy) {
        handleUnhealthyReply(report);
        return;
    }
    logEvent(event::searcher_verified, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("cold_ms", report.coldTimeLeft).add("healthy", report.healthy ? "yes" : "no"));
    m_verified = true;
    m_uptimeKnown = true;
    m_lastReplyAt = monotonic_clock::now();
    m_unhealthyReplies = 0;
    m_reconnectDelay = initialReconnectDelay;
    m_reconnectAt = {};
    opened->idleSince = monotonic_clock::now();
    m_reportedColdUntil = monotonic_clock::now() + report.coldTimeLeft;
    sendQueuedCalls();
}

void searcher_connection_pool::handleUnhealthyReply(const health_report& report)
{
    logEvent(event::searcher_ill, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("answered", report.searcher.value()).add("healthy", report.healthy ? "yes" : "no"));
    m_reconnectAt = monotonic_clock::now() + maxReconnectDelay;
    closeIdleConnections();
    failQueuedCalls();
}

// Handles a failed connection. While another is open, the searcher works and has only reached its connection limit.
// Otherwise it may have restarted and is verified before it is used again.
void searcher_connection_pool::handleConnectionFailure()
{
    delayReconnect(monotonic_clock::now());
    if (hasOpenConnection())
        return;
    markUnverified("connection_failed");
    failQueuedCalls();
}

void searcher_connection_pool::markUnverified(const char* why)
{
    if (m_verified)
        logEvent(event::searcher_doubted, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("why", why));
    m_verified = false;
    closeIdleConnections();
}

void searcher_connection_pool::failQueuedCalls()
{
    for (const auto& call : std::exchange(m_queue, {})) {
        if (!std::exchange(call->finished, true))
            call->onResult({});
    }
}

void searcher_connection_pool::closeIdleConnections()
{
    std::erase_if(m_connections, [](const pooled_connection_ptr& connection) {
        if (!connection->channel->isIdle())
            return false;
        connection->channel->close();
        return true;
    });
}

void searcher_connection_pool::closeAllConnections()
{
    for (const auto& connection : std::exchange(m_connections, {}))
        connection->channel->close();
}

// Removes a connection that the searcher or the network closed, and decides whether the searcher may have restarted.
void searcher_connection_pool::handleClosedConnection(const pooled_connection_ptr& closed)
{
    closed->channel->close();
    std::erase(m_connections, closed);
    const auto now = monotonic_clock::now();
    if (!closed->used && now - closed->idleSince < rejectionWindow) {
        delayReconnect(now); // closed right after it was opened: the searcher is at its connection limit
        if (isLogged(event::searcher_crowded))
            logEvent(event::searcher_crowded, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("limit", m_limits.connections).add("retry_ms", m_reconnectDelay));
        if (m_connections.empty())
            failQueuedCalls(); // nothing would send them before the next connection attempt
        return;
    }
    const bool isIdleTimeout = now - closed->idleSince >= m_idleLimit.value_or(defaultIdleLimit) - idleLimitTolerance;
    if (hasOpenConnection())
        return;
    m_uptimeKnown = m_uptimeKnown && !m_wasConnected;
    // A close that is no idle timeout may mean that the searcher is gone: it is verified at once.
    if (m_verified && !m_entry.draining && !isIdleTimeout) {
        markUnverified("connection_closed");
        m_reconnectAt = std::max(m_reconnectAt, now + initialReconnectDelay);
    }
}

void searcher_connection_pool::delayReconnect(monotonic_time now)
{
    m_reconnectAt = now + m_reconnectDelay;
    m_reconnectDelay = std::min(maxReconnectDelay, m_reconnectDelay * 2);
}

void searcher_connection_pool::recordRelativeLatency(double relativeLatency, monotonic_time now)
{
    const double age = std::chrono::duration<double>(now - m_relativeLatencyAt) / std::chrono::duration<double>(latencyDecayTime);
    const double decayed = 1 + (m_relativeLatency - 1) * std::exp(-age);
    m_relativeLatency = decayed + latencyUpdateWeight * (std::min(relativeLatency, maxRelativeLatency) - decayed);
    m_relativeLatencyAt = now;
}

bool searcher_connection_pool::shouldClose(const pooled_connection& connection, monotonic_time now) const
{
    if (connection.closeAt)
        return now >= *connection.closeAt;
    if (!connection.channel->isIdle())
        return false;
    const bool mayBeSpare = m_connections.size() > 1 || !m_limits.keepReady;
    const bool isSpare = m_connections.size() > m_limits.connections || (mayBeSpare && now - connection.idleSince > spareIdleTimeout);
    return isSpare || connection.channel->usableUntil() <= now;
}

bool searcher_connection_pool::maintain(monotonic_time now)
{
    for (auto expired = std::find_if(m_connections.begin(), m_connections.end(), [&](const pooled_connection_ptr& connection) { return shouldClose(*connection, now); }); expired != m_connections.end();
         expired = std::find_if(m_connections.begin(), m_connections.end(), [&](const pooled_connection_ptr& connection) { return shouldClose(*connection, now); })) {
        const auto closed = *expired;
        closed->channel->close();
        m_connections.erase(expired);
        if (closed->verifying)
            handleConnectionFailure();
    }
    const bool needsConnection = !m_verified || (m_limits.keepReady && now - m_lastSentAt < keepReadyDuration);
    if (!m_connections.empty() || !acceptsRequests() || !m_restriction.allowsSend(now) || m_limits.connections == 0 || now < m_reconnectAt || !needsConnection)
        return false;
    openConnection();
    return true;
}

} // namespace limpetpier
