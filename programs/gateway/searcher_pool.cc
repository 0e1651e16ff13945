#include "searcher_pool.h"

#include <algorithm>
#include <cmath>

#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr milliseconds connectTimeout { 400 };
constexpr milliseconds healthTimeout { 1000 };
constexpr milliseconds firstRetryDelay { 100 };
constexpr milliseconds longestRetryDelay { 1000 };

// Calls that wait for a connection, for each connection allowed.
constexpr std::size_t queueFactor = 4;

// Health checks in a row that may say a listed searcher is ill before it is tried nevertheless.
constexpr std::uint32_t mostIllAnswers = 4;

// A connection is kept ready while requests were sent within this time: less than searchers' idle limits, so that one
// they closed for lack of use is not opened again for nothing.
constexpr milliseconds readyFor { 6000 };

// A connection closed this soon after it was opened, unused, was one too many: a searcher resets it within a round trip, the
// rest is for a slow machine. Later, the searcher may have started anew.
constexpr milliseconds crowdedWithin { 150 };

// Idle limit of a searcher that has not stated one yet.
constexpr milliseconds assumedIdleLimit { 5000 };

// Searchers close idle connections about at the limit they state.
constexpr milliseconds idleTolerance { 700 };

// Connections beyond the first are closed after this time without use: a searcher must have room for those of processes
// that restart before it notices that the old ones are gone.
constexpr milliseconds spareLife { 1000 };

// A searcher's slowness is forgotten with this time constant, so that it is tried again.
constexpr milliseconds slownessMemory { 2000 };
constexpr double slownessGain = 0.3; // weight of the newest reply
constexpr double largestMultiple = 20;

// Shares of failed sends at which a searcher is said to fail, and to be well again.
constexpr double failingShare = 0.5;
constexpr double wellShare = 0.25;

// Costs, in multiples of an ordinary reply's time.
constexpr double connectCost = 1;
constexpr double stalledCost = 8;
constexpr double failureCost = 6; // a failed send costs another one, and a part of what is left for extra sends
constexpr double runningCost = 0.5; // each call of this process that is running there, a slot

} // namespace

searcher_pool::searcher_pool(asio::any_io_executor executor, const gateway_protocol& protocol, searcher_entry entry)
    : m_executor(std::move(executor))
    , m_protocol(protocol)
    , m_entry(std::move(entry))
    , m_retryDelay(firstRetryDelay)
    , m_lastUse(monotonic_clock::now())
{
}

searcher_pool::~searcher_pool()
{
    *m_alive = false;
    closeAll();
}

void searcher_pool::update(const searcher_entry& entry, monotonic_time coldUntil)
{
    const bool restarted = entry.address != m_entry.address || (entry.born != 0 && m_entry.born != 0 && entry.born != m_entry.born);
    m_entry = entry;
    m_coldUntil = coldUntil;
    if (restarted) {
        closeIdle();
        m_verified = true; // the new entry says how cold it is
        m_retryAt = {};
    }
    if (m_entry.draining)
        closeIdle();
}

void searcher_pool::changeLimits(const pool_limits& limits)
{
    m_limits = limits;
    m_cold.changeLimit(limits.coldRequestsPerSecond);
}

void searcher_pool::setEvacuated(bool evacuated)
{
    if (m_evacuated && !evacuated)
        doubt("evacuation_over"); // it may have become cold meanwhile
    m_evacuated = evacuated;
}

bool searcher_pool::isUsable(monotonic_time now)
{
    if (!takesRequests() || !m_verified || m_limits.connections == 0)
        return false;
    if (now < m_coldUntil && !m_cold.allows(now))
        return false;
    if (idleSlot(now))
        return true;
    return now >= m_retryAt && m_queue.size() < m_limits.connections * queueFactor && (m_slots.size() < m_limits.connections || connecting() > m_queue.size());
}

double searcher_pool::cost(monotonic_time now) const
{
    const double age = std::chrono::duration<double>(now - m_slownessAt) / std::chrono::duration<double>(slownessMemory);
    double result = 1 + (m_slowness - 1) * std::exp(-age) + failureCost * m_failures.failureRate(now);
    bool idle = false;
    for (const auto& slot : m_slots) {
        idle = idle || slot->channel->isIdle();
        if (!slot->call)
            continue;
        result += runningCost / m_entry.slots;
        if (now > slot->call->lateAt)
            result += stalledCost;
    }
    return result + (idle ? 0 : connectCost) + static_cast<double>(m_queue.size()) * runningCost;
}

std::size_t searcher_pool::runningCalls() const
{
    return static_cast<std::size_t>(std::count_if(m_slots.begin(), m_slots.end(), [](const slot_handle& slot) { return slot->call != nullptr; }));
}

std::size_t searcher_pool::connecting() const
{
    return static_cast<std::size_t>(std::count_if(m_slots.begin(), m_slots.end(), [](const slot_handle& slot) { return slot->channel->isConnecting(); }));
}

searcher_pool::slot_handle searcher_pool::idleSlot(monotonic_time now)
{
    // The most recently used first: the others may then be closed by their idle limit.
    for (auto slot = m_slots.rbegin(); slot != m_slots.rend(); ++slot) {
        if ((*slot)->channel->isIdle() && (*slot)->channel->usableUntil() > now && !(*slot)->verifying)
            return *slot;
    }
    return nullptr;
}

void searcher_pool::send(const call_handle& call)
{
    m_queue.push_back(call);
    pump();
    if (!call->written && connecting() < m_queue.size() && m_slots.size() < m_limits.connections)
        openSlot();
}

void searcher_pool::pump()
{
    const auto now = monotonic_clock::now();
    while (!m_queue.empty()) {
        if (m_queue.front()->finished) {
            m_queue.pop_front();
            continue;
        }
        // Checked again right before the write: the searcher may have begun to drain while the call waited.
        if (!takesRequests() || !m_verified) {
            failQueue();
            return;
        }
        const auto idle = idleSlot(now);
        if (!idle)
            return;
        auto call = std::move(m_queue.front());
        m_queue.pop_front();
        write(idle, call);
    }
}

void searcher_pool::write(const slot_handle& idle, const call_handle& call)
{
    const auto now = monotonic_clock::now();
    if (now < m_coldUntil) {
        if (!m_cold.allows(now)) {
            call->finished = true;
            call->onResult({});
            return;
        }
        m_cold.record(now);
    }
    call->written = true;
    call->writtenAt = now;
    idle->used = true;
    m_lastUse = now;
    idle->call = call;
    const auto left = std::chrono::duration_cast<milliseconds>(call->answerBy - now);
    const auto request = call->request;
    idle->channel->exchange(
        m_protocol.encodeCall(*request, m_entry.id, left), request->message.method == "HEAD",
        [this, alive = m_alive, request](const http_reply& reply) { return !*alive || m_protocol.isReplyTo(*request, reply); },
        [this, alive = m_alive, idle, call](exchange_result result) {
            if (*alive)
                handleReply(idle, call, std::move(result));
        });
}

void searcher_pool::handleReply(const slot_handle& used, const call_handle& call, exchange_result result)
{
    used->call.reset();
    used->closeAt.reset();
    used->idleSince = monotonic_clock::now();
    if (const auto limit = used->channel->idleLimit())
        m_idleLimit = limit;
    if (!used->channel->isOpen() && result.stage == exchange_stage::replied)
        std::erase(m_slots, used); // closed in order, after a whole reply
    else if (!used->channel->isOpen())
        drop(used);
    else if (used != m_slots.back()) // most recently used last
        std::rotate(std::find(m_slots.begin(), m_slots.end(), used), std::find(m_slots.begin(), m_slots.end(), used) + 1, m_slots.end());
    if (result.stage != exchange_stage::replied)
        handleBreak();
    const bool wanted = !std::exchange(call->finished, true);
    call_result outcome;
    outcome.stage = result.stage;
    outcome.elapsed = std::chrono::duration_cast<microseconds>(monotonic_clock::now() - call->writtenAt);
    if (result.stage == exchange_stage::replied)
        outcome.reply = m_protocol.decodeReply(std::move(result.reply));
    if (wanted)
        judge(outcome.stage != exchange_stage::replied || outcome.reply.kind != reply_kind::success, call->writtenAt + outcome.elapsed);
    if (outcome.stage == exchange_stage::replied && outcome.reply.kind == reply_kind::misdirected) {
        doubt("misdirected");
        failQueue();
    } else if (outcome.stage == exchange_stage::replied) {
        m_retryDelay = firstRetryDelay;
    }
    pump();
    if (wanted)
        call->onResult(std::move(outcome));
}

void searcher_pool::judge(bool failed, monotonic_time now)
{
    m_failures.record(failed, now);
    const double share = m_failures.failureRate(now);
    const bool failing = share >= (m_saidFailing ? wellShare : failingShare);
    if (failing == m_saidFailing)
        return;
    m_saidFailing = failing;
    logEvent(event::searcher_failing, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("failing", failing ? "yes" : "no").add("percent", static_cast<int>(100 * share)));
}

void searcher_pool::cancel(const call_handle& call, milliseconds linger)
{
    if (std::exchange(call->finished, true))
        return;
    std::erase(m_queue, call);
    const auto now = monotonic_clock::now();
    if (call->written && now > call->lateAt)
        judge(true, now); // another searcher was faster, though asked later
    for (const auto& slot : m_slots) {
        if (slot->call == call)
            slot->closeAt = now + linger;
    }
}

void searcher_pool::openSlot()
{
    auto opened = std::make_shared<slot>();
    opened->channel = http_channel::create(m_executor, parseTcpEndpoint(m_entry.address));
    opened->verifying = !m_verified;
    m_slots.insert(m_slots.begin(), opened);
    opened->channel->onClosed([this, alive = m_alive, weak = std::weak_ptr(opened)] {
        const auto closed = weak.lock();
        if (*alive && closed)
            drop(closed);
    });
    opened->channel->open(connectTimeout, [this, alive = m_alive, opened](bool success) {
        if (*alive)
            handleOpened(opened, success);
    });
}

void searcher_pool::handleOpened(const slot_handle& opened, bool success)
{
    if (!success) {
        drop(opened);
        handleBreak();
        return;
    }
    opened->idleSince = monotonic_clock::now();
    if (!m_verified)
        verify(opened);
    else
        pump();
}

void searcher_pool::verify(const slot_handle& opened)
{
    opened->verifying = true;
    opened->closeAt = monotonic_clock::now() + healthTimeout;
    opened->channel->exchange(m_protocol.encodeHealthCheck(m_limits.healthPath), false, {}, [this, alive = m_alive, opened](const exchange_result& result) {
        if (*alive)
            handleHealth(opened, result);
    });
}

void searcher_pool::handleHealth(const slot_handle& opened, const exchange_result& result)
{
    opened->verifying = false;
    opened->closeAt.reset();
    if (!opened->channel->isOpen())
        drop(opened);
    if (result.stage != exchange_stage::replied) {
        handleBreak();
        return;
    }
    opened->used = true;
    const auto report = m_protocol.decodeHealth(result.reply);
    // One that says it is ill is asked again; it may be leaving, or wrong about itself.
    const bool ill = !report.healthy && ++m_illAnswers < mostIllAnswers;
    if (report.searcher != m_entry.id || ill) {
        logEvent(event::searcher_ill, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("answered", report.searcher.value()).add("healthy", report.healthy ? "yes" : "no"));
        m_retryAt = monotonic_clock::now() + longestRetryDelay;
        closeIdle();
        return;
    }
    logEvent(event::searcher_verified, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("cold_ms", report.coldLeft).add("healthy", report.healthy ? "yes" : "no"));
    m_verified = true;
    m_illAnswers = 0;
    m_retryDelay = firstRetryDelay;
    m_retryAt = {};
    opened->idleSince = monotonic_clock::now();
    m_coldUntil = std::max(m_coldUntil, monotonic_clock::now() + report.coldLeft);
    pump();
}

// A connection failed. While others work, the searcher is well and only has no room for more; without any it may have
// been restarted, and is asked before it is used again.
void searcher_pool::handleBreak()
{
    backOff(monotonic_clock::now());
    if (std::any_of(m_slots.begin(), m_slots.end(), [](const slot_handle& slot) { return slot->channel->isOpen(); }))
        return;
    doubt("connection_failed");
    failQueue();
}

void searcher_pool::doubt(const char* why)
{
    if (m_verified)
        logEvent(event::searcher_doubted, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("why", why));
    m_verified = false;
    closeIdle();
}

void searcher_pool::failQueue()
{
    for (const auto& call : std::exchange(m_queue, {})) {
        if (!std::exchange(call->finished, true))
            call->onResult({});
    }
}

void searcher_pool::closeIdle()
{
    std::erase_if(m_slots, [](const slot_handle& slot) {
        if (!slot->channel->isIdle())
            return false;
        slot->channel->close();
        return true;
    });
}

void searcher_pool::closeAll()
{
    for (const auto& slot : std::exchange(m_slots, {}))
        slot->channel->close();
}

// Ends a connection that the searcher or the network closed, and judges what that says about the searcher.
void searcher_pool::drop(const slot_handle& gone)
{
    gone->channel->close();
    std::erase(m_slots, gone);
    const auto now = monotonic_clock::now();
    if (!gone->used && now - gone->idleSince < crowdedWithin) {
        backOff(now); // closed as soon as it was open: the searcher has no room for another
        if (isLogged(event::searcher_crowded))
            logEvent(event::searcher_crowded, event_fields().add("searcher", m_entry.id.value()).add("service", m_entry.service.value()).add("limit", m_limits.connections).add("retry_ms", m_retryDelay));
        if (m_slots.empty())
            failQueue(); // nothing would send them before the next try
        return;
    }
    const bool isIdleLimit = now - gone->idleSince >= m_idleLimit.value_or(assumedIdleLimit) - idleTolerance;
    const bool noneOpen = std::none_of(m_slots.begin(), m_slots.end(), [](const slot_handle& slot) { return slot->channel->isOpen(); });
    // With no connection left it may have been restarted: asked before it is used again.
    if (noneOpen && m_verified && !m_entry.draining && !isIdleLimit) {
        doubt("connection_closed");
        m_retryAt = std::max(m_retryAt, now + firstRetryDelay);
    }
}

void searcher_pool::backOff(monotonic_time now)
{
    m_retryAt = now + m_retryDelay;
    m_retryDelay = std::min(longestRetryDelay, m_retryDelay * 2);
}

void searcher_pool::recordSlowness(double multiple, monotonic_time now)
{
    const double age = std::chrono::duration<double>(now - m_slownessAt) / std::chrono::duration<double>(slownessMemory);
    const double known = 1 + (m_slowness - 1) * std::exp(-age);
    m_slowness = known + slownessGain * (std::min(multiple, largestMultiple) - known);
    m_slownessAt = now;
}

bool searcher_pool::isDue(const slot& slot, monotonic_time now) const
{
    if (slot.closeAt)
        return now >= *slot.closeAt;
    if (!slot.channel->isIdle())
        return false;
    const bool isSpare = m_slots.size() > 1 || !m_limits.keepReady;
    const bool spare = m_slots.size() > m_limits.connections || (isSpare && now - slot.idleSince > spareLife);
    return spare || slot.channel->usableUntil() <= now;
}

bool searcher_pool::maintain(monotonic_time now)
{
    for (auto due = std::find_if(m_slots.begin(), m_slots.end(), [&](const slot_handle& slot) { return isDue(*slot, now); }); due != m_slots.end();
         due = std::find_if(m_slots.begin(), m_slots.end(), [&](const slot_handle& slot) { return isDue(*slot, now); })) {
        const auto gone = *due;
        gone->channel->close();
        m_slots.erase(due);
        if (gone->verifying)
            handleBreak();
    }
    const bool wanted = !m_verified || (m_limits.keepReady && now - m_lastUse < readyFor);
    if (!m_slots.empty() || !takesRequests() || m_limits.connections == 0 || now < m_retryAt || !wanted)
        return false;
    openSlot();
    return true;
}

} // namespace limpetpier
