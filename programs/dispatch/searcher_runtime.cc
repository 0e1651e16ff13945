#include "searcher_runtime.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr milliseconds refreshInterval { 250 };
constexpr milliseconds blockedCheckInterval { 25 };
constexpr milliseconds refreshTimeout { 300 };

// A request that has run for stallFactor times the median service time, but at least minStallDelay, triggers a query of
// the searcher's state on another connection. Without a reply within stallCheckTimeout the searcher is considered
// unreachable.
constexpr int stallFactor = 6;
constexpr milliseconds minStallDelay { 25 };
constexpr milliseconds defaultStallDelay { 60 }; // while the median is unknown
constexpr milliseconds stallCheckTimeout { 40 };

// Appended to the request id of a search that is sent again.
constexpr const char* resentSuffix = "-resent";

// Number of idle connections kept open, so that few requests wait for a connect and a stall can be checked on a
// connection that existed before.
constexpr std::size_t minIdleConnections = 2;

// Number of consecutive failed state queries after which a searcher is considered unreachable.
constexpr std::uint32_t failedRefreshLimit = 2;

// Time after the deadline during which a reply that is already in transit is still accepted.
constexpr milliseconds replyGracePeriod { 5 };

job_result notRunResult(reason why)
{
    return { outcome::not_run, why, {}, {} };
}

} // namespace

void front_latency::recordServiceTime(microseconds serviceTime)
{
    const std::lock_guard lock(m_mutex);
    m_serviceTimes.record(serviceTime);
}

std::optional<microseconds> front_latency::medianServiceTime() const
{
    const std::lock_guard lock(m_mutex);
    return m_serviceTimes.quantile(0.5);
}

searcher_runtime::searcher_runtime(asio::any_io_executor executor, const front_spec& front, searcher_spec searcher, std::shared_ptr<front_latency> frontLatency, std::function<reason()> refusalReason)
    : m_executor(asio::make_strand(executor))
    , m_spec(std::move(searcher))
    , m_frontLatency(std::move(frontLatency))
    , m_refusalReason(std::move(refusalReason))
    , m_gate(front.slots, front.coldAllowance)
    , m_connections(m_executor, parseTcpEndpoint(m_spec.address), front.connections)
{
    m_report.searcher = m_spec.id;
}

searcher_runtime::~searcher_runtime() = default;

void searcher_runtime::start()
{
    asio::co_spawn(m_executor, maintain(shared_from_this()), asio::detached);
}

void searcher_runtime::stop()
{
    asio::post(m_executor, [self = shared_from_this()] {
        self->m_stopped = true;
        self->refuseQueued(reason::not_owner);
        self->m_connections.retire();
    });
}

void searcher_runtime::submit(gate_token token, searcher_job job)
{
    {
        const std::lock_guard lock(m_reportMutex);
        ++m_openJobCount;
    }
    asio::post(m_executor, [self = shared_from_this(), token, job = std::move(job)]() mutable {
        const gated_request item { token, job.deadline, job.hedge, job.priority };
        self->m_jobs.emplace(token, open_job(std::move(job)));
        const auto now = monotonic_clock::now();
        auto why = self->m_stopped ? reason::not_owner : self->m_refusalReason();
        if (why == reason::none && self->m_draining)
            why = reason::withdrawn;
        if (why == reason::none && !self->m_reachable)
            why = reason::connect_failed;
        if (why == reason::none)
            why = self->m_gate.enqueue(item, now).value_or(reason::none);
        if (why != reason::none)
            self->finishJob(token, notRunResult(why));
        else
            self->startQueuedJobs();
    });
}

void searcher_runtime::cancel(gate_token token)
{
    asio::post(m_executor, [self = shared_from_this(), token] {
        const auto found = self->m_jobs.find(token);
        if (found == self->m_jobs.end() || std::exchange(found->second.cancelRequested, true))
            return;
        if (self->m_gate.removeQueued(token)) {
            self->finishJob(token, notRunResult(reason::cancelled));
            return;
        }
        asio::co_spawn(self->m_executor, self->sendCancel(found->second.job.request.requestId, self), asio::detached);
    });
}

void searcher_runtime::refuseQueuedIfBlocked()
{
    asio::post(m_executor, [self = shared_from_this()] {
        const auto why = self->m_refusalReason();
        if (why != reason::none)
            self->refuseQueued(why);
    });
}

void searcher_runtime::changeLimits(const front_spec& front)
{
    asio::post(m_executor, [self = shared_from_this(), slots = front.slots, coldAllowance = front.coldAllowance, connections = front.connections] {
        self->m_gate.changeLimits(slots, coldAllowance);
        self->m_connections.setLimit(connections);
        self->startQueuedJobs();
    });
}

void searcher_runtime::handleReturnToService()
{
    asio::post(m_executor, [self = shared_from_this()] {
        self->m_gate.observe(searcher_event::returned);
        self->updateReport();
    });
}

searcher_report searcher_runtime::report() const
{
    const std::lock_guard lock(m_reportMutex);
    return m_report;
}

ramp_state searcher_runtime::rampState() const
{
    const std::lock_guard lock(m_reportMutex);
    return m_reportedState;
}

std::size_t searcher_runtime::openJobCount() const
{
    const std::lock_guard lock(m_reportMutex);
    return m_openJobCount;
}

// Starts queued jobs up to the concurrency limit of the gate, and ends those whose deadline has passed.
void searcher_runtime::startQueuedJobs()
{
    const auto now = monotonic_clock::now();
    for (const auto token : m_gate.takeExpired(now))
        finishJob(token, notRunResult(reason::deadline_passed));
    while (const auto item = m_gate.startNext(now)) {
        asio::co_spawn(m_executor, runJob(*item, shared_from_this()), asio::detached);
    }
    updateReport();
}

awaitable<void> searcher_runtime::runJob(gated_request item, std::shared_ptr<searcher_runtime> self)
{
    auto connection = co_await m_connections.acquire();
    auto& entry = m_jobs.at(item.token);
    const auto startedAt = monotonic_clock::now();
    const auto finish = [&](slot_outcome slot, const job_result& result) {
        m_gate.finish(item.token, slot, result.serviceTime, m_frontLatency->medianServiceTime(), monotonic_clock::now());
        finishJob(item.token, result);
        startQueuedJobs();
    };
    if (!connection) {
        markUnreachable();
        finish(slot_outcome::refused, notRunResult(reason::connect_failed));
        co_return;
    }
    // Last check of the dispatch right, the deadline and a cancellation before the request is written.
    auto why = m_refusalReason();
    if (why == reason::none && entry.cancelRequested)
        why = reason::cancelled;
    if (why == reason::none && startedAt >= item.deadline)
        why = reason::deadline_passed;
    if (why != reason::none) {
        m_connections.release(std::move(connection));
        finish(slot_outcome::cancelled, notRunResult(why));
        co_return;
    }
    auto request = entry.job.request;
    const auto remaining = std::chrono::duration_cast<microseconds>(item.deadline - startedAt);
    request.deadline = std::chrono::ceil<milliseconds>(remaining);
    entry.connection = connection;
    if (entry.job.slowAfter.count() > 0 && entry.job.slowAfter < remaining)
        asio::co_spawn(m_executor, notifyIfSlow(item.token, entry.job.slowAfter, self), asio::detached);

    asio::co_spawn(m_executor, checkForStall(item.token, self), asio::detached);

    const auto exchanged = co_await exchangeWithResend(item.token, connection, request, item.deadline);
    const auto serviceTime = std::chrono::duration_cast<microseconds>(monotonic_clock::now() - startedAt);
    slot_outcome slot = slot_outcome::disconnected;
    auto result = evaluateExchange(request, exchanged, slot);
    result.serviceTime = serviceTime;
    if (slot == slot_outcome::served)
        m_frontLatency->recordServiceTime(serviceTime);
    if (result.why == reason::bad_reply)
        connection->close(); // the next reply on it might be the one to this request
    if (exchanged.stage != exchange_stage::replied && monotonic_clock::now() >= item.deadline) {
        // No reply until the deadline: this connection may have gone silent, and so may the idle ones, which have been
        // unused for longer.
        logEvent(event::connection_silent, "searcher=" + m_spec.id.value());
        m_connections.closeIdle();
    }
    m_connections.release(std::move(connection));
    finish(slot, result);
}

// Sends a request and waits for the reply. A search whose connection has gone silent is sent again on a new connection,
// after replaceSilentConnections() has cancelled it at the target. Updates connection and the request id accordingly.
awaitable<exchange_result> searcher_runtime::exchangeWithResend(gate_token token, std::shared_ptr<http_connection>& connection, target_request& request, monotonic_time deadline)
{
    const auto remainingTime = [deadline] { return std::chrono::duration_cast<microseconds>(deadline - monotonic_clock::now()) + replyGracePeriod; };
    auto exchanged = co_await connection->exchange(makeTargetRequest(request), remainingTime());
    auto& entry = m_jobs.at(token);
    const bool sendAgain = exchanged.stage != exchange_stage::replied && entry.mayResend && monotonic_clock::now() < deadline;
    if (!sendAgain)
        co_return exchanged;
    m_connections.release(std::move(connection));
    connection = co_await m_connections.open();
    if (!connection) {
        connection = m_connections.makeClosedConnection();
        co_return exchanged;
    }
    entry.connection = connection;
    // The target may apply the cancellation of the first attempt to any request with the same id.
    request.requestId += resentSuffix;
    entry.job.request.requestId = request.requestId;
    co_return co_await connection->exchange(makeTargetRequest(request), remainingTime());
}

// Converts the result of an exchange to that of the job, and sets slot to how the job releases its slot.
job_result searcher_runtime::evaluateExchange(const target_request& request, const exchange_result& exchanged, slot_outcome& slot)
{
    if (exchanged.stage == exchange_stage::not_written) {
        slot = slot_outcome::refused;
        return notRunResult(reason::connect_failed);
    }
    job_result result;
    if (exchanged.stage == exchange_stage::no_reply) {
        slot = slot_outcome::disconnected;
        result.why = reason::connection_lost;
        return result;
    }
    result.reply = parseTargetReply(exchanged.reply, request.isSearch());
    if (result.reply.status != target_status::failed)
        recordBootId(result.reply.boot);
    slot = slot_outcome::served;
    if (result.reply.requestId != request.requestId) {
        result.why = reason::bad_reply;
        return result;
    }
    switch (result.reply.status) {
    case target_status::answered:
        result.result = outcome::answered;
        break;
    case target_status::shed:
        slot = slot_outcome::refused;
        return notRunResult(reason::target_shed);
    case target_status::version_gone:
        slot = slot_outcome::cancelled;
        removeHeldSnapshot(request.snapshot);
        return notRunResult(reason::version_gone);
    case target_status::cancelled:
        slot = slot_outcome::cancelled;
        result.why = reason::cancelled;
        break;
    case target_status::failed:
        result.why = reason::target_error;
        break;
    }
    return result;
}

// Calls onSlow if the job is still open after a delay.
awaitable<void> searcher_runtime::notifyIfSlow(gate_token token, microseconds delay, std::shared_ptr<searcher_runtime> self)
{
    asio::steady_timer timer(self->m_executor, delay);
    co_await timer.async_wait(asio::use_awaitable);
    const auto found = self->m_jobs.find(token);
    if (found != self->m_jobs.end() && found->second.job.onSlow)
        found->second.job.onSlow();
}

// Checks whether the searcher responds if a job takes much longer than usual: first on an idle connection, then on a new
// one. If it responds only on the new one, the older connections have gone silent.
awaitable<void> searcher_runtime::checkForStall(gate_token token, std::shared_ptr<searcher_runtime> self)
{
    asio::steady_timer timer(self->m_executor, self->stallDelay());
    co_await timer.async_wait(asio::use_awaitable);
    if (!self->m_jobs.contains(token) || self->m_checkingStall || !self->m_reachable)
        co_return;
    self->m_checkingStall = true;
    const bool hasIdle = self->m_connections.idleCount() > 0;
    const bool idleResponds = hasIdle && co_await self->respondsOn(co_await self->m_connections.acquire());
    if (!idleResponds) {
        const auto newConnection = co_await self->m_connections.open();
        const bool newResponds = co_await self->respondsOn(newConnection);
        if (!newResponds)
            self->markUnreachable();
        else if (hasIdle)
            co_await self->replaceSilentConnections(newConnection);
    }
    self->m_checkingStall = false;
}

// Returns true if the searcher replies to a state query on a connection. Releases the connection.
awaitable<bool> searcher_runtime::respondsOn(std::shared_ptr<http_connection> connection)
{
    if (!connection)
        co_return false;
    const auto exchanged = co_await connection->exchange(makeStateRequest(), stallCheckTimeout);
    m_connections.release(std::move(connection));
    co_return exchanged.stage == exchange_stage::replied;
}

// Replaces the connections opened before newConnection, on which the searcher responds. Cancels the running searches at
// the target, which frees their slots, and closes their connections so that exchangeWithResend() sends them again.
awaitable<void> searcher_runtime::replaceSilentConnections(std::shared_ptr<http_connection> newConnection)
{
    logEvent(event::connection_silent, "searcher=" + m_spec.id.value());
    m_connections.removeIdle(newConnection);
    m_connections.closeIdle();
    std::vector<gate_token> stalled;
    for (const auto& [token, entry] : m_jobs) {
        if (entry.connection && entry.job.request.isSearch())
            stalled.push_back(token);
    }
    for (const auto token : stalled) {
        const auto found = m_jobs.find(token);
        if (found == m_jobs.end())
            continue;
        co_await newConnection->exchange(makeCancelRequest(found->second.job.request.requestId), stallCheckTimeout);
        const auto current = m_jobs.find(token);
        if (current == m_jobs.end())
            continue;
        current->second.mayResend = true;
        current->second.connection->close();
    }
    m_connections.release(newConnection);
}

// Returns the run time of a request after which checkForStall() queries the searcher.
milliseconds searcher_runtime::stallDelay() const
{
    const auto medianServiceTime = m_frontLatency->medianServiceTime();
    return medianServiceTime ? std::max(minStallDelay, std::chrono::ceil<milliseconds>(stallFactor * *medianServiceTime)) : defaultStallDelay;
}

// Closes the connections of running searches, so that their fronts try other replicas without delay. Non-idempotent
// requests keep waiting for their reply.
void searcher_runtime::closeRunningSearches()
{
    for (const auto& [token, entry] : m_jobs) {
        if (entry.connection && entry.job.request.isSearch())
            entry.connection->close();
    }
}

awaitable<void> searcher_runtime::sendCancel(std::string requestId, std::shared_ptr<searcher_runtime> self)
{
    auto connection = co_await self->m_connections.acquire();
    if (!connection)
        co_return;
    co_await connection->exchange(makeCancelRequest(requestId), refreshTimeout);
    self->m_connections.release(std::move(connection));
}

void searcher_runtime::finishJob(gate_token token, const job_result& result)
{
    const auto found = m_jobs.find(token);
    if (found == m_jobs.end())
        return;
    const auto onFinished = std::move(found->second.job.onFinished);
    m_jobs.erase(found);
    {
        const std::lock_guard lock(m_reportMutex);
        --m_openJobCount;
    }
    onFinished(result);
}

void searcher_runtime::refuseQueued(reason why)
{
    for (const auto token : m_gate.takeQueued())
        finishJob(token, notRunResult(why));
    updateReport();
}

// Informs the gate of a restart if the boot id has changed.
void searcher_runtime::recordBootId(boot_id boot)
{
    if (m_boot == boot)
        return;
    const bool first = m_boot == boot_id {};
    m_boot = boot;
    if (!first)
        m_gate.observe(searcher_event::restarted);
}

// Marks the searcher unreachable until the next successful state query. Refuses queued jobs and ends running searches.
void searcher_runtime::markUnreachable()
{
    if (!std::exchange(m_reachable, false))
        return;
    m_gate.observe(searcher_event::refused);
    refuseQueued(reason::connect_failed);
    closeRunningSearches();
}

void searcher_runtime::removeHeldSnapshot(snapshot_id snapshot)
{
    std::erase_if(m_heldSnapshots, [&](const held_snapshot& held) { return held.snapshot == snapshot; });
    updateReport();
}

// Updates the values that other threads read.
void searcher_runtime::updateReport()
{
    const auto state = m_gate.state();
    if ((state == ramp_state::warm) != (m_lastLoggedState == ramp_state::warm)) {
        logEvent(state == ramp_state::warm ? event::searcher_warm : event::searcher_cold, "searcher=" + m_spec.id.value());
        m_lastLoggedState = state;
    }
    const bool serving = m_reachable && !m_draining && !m_stopped && m_refusalReason() == reason::none; // locks the agent's mutex
    const std::lock_guard lock(m_reportMutex);
    m_report.serving = serving;
    m_report.held = m_heldSnapshots;
    m_reportedState = state;
}

// Queries the searcher's state at an interval. While sending is forbidden, refuses the queued jobs instead.
awaitable<void> searcher_runtime::maintain(std::shared_ptr<searcher_runtime> self)
{
    asio::steady_timer timer(self->m_executor);
    while (!m_stopped) {
        const auto why = m_refusalReason();
        if (why == reason::none)
            co_await refreshState();
        else
            refuseQueued(why);
        startQueuedJobs();
        timer.expires_after(why == reason::none ? refreshInterval : blockedCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Queries the searcher's state on the least recently used idle connection, so that a connection that has gone silent is
// detected before a request uses it.
awaitable<void> searcher_runtime::refreshState()
{
    auto connection = co_await m_connections.acquireOldest();
    std::optional<target_state> state;
    if (connection) {
        const auto exchanged = co_await connection->exchange(makeStateRequest(), refreshTimeout);
        if (exchanged.stage == exchange_stage::replied)
            state = parseTargetState(exchanged.reply);
        m_connections.release(std::move(connection));
    }
    m_hasQueriedState = true;
    if (!state) {
        if (++m_failedRefreshes >= failedRefreshLimit)
            markUnreachable();
        updateReport();
        co_return;
    }
    m_failedRefreshes = 0;
    m_reachable = true;
    recordBootId(state->boot);
    if (state->draining && !std::exchange(m_draining, true)) {
        logEvent(event::searcher_draining, "searcher=" + m_spec.id.value());
        refuseQueued(reason::withdrawn);
    }
    m_draining = state->draining;
    m_heldSnapshots = std::move(state->held);
    updateReport();
    if (m_connections.idleCount() < minIdleConnections) {
        if (auto spare = co_await m_connections.open())
            m_connections.release(std::move(spare));
    }
}

} // namespace limpetpier
