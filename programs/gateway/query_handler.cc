#include <algorithm>
#include <set>

#include "gateway_request_handler.h"
#include "limpetpier/coordination/part_merge.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr unsigned statusGatewayTimeout = 504;

// Handles one query over many shards. Sends all parts at once, hedges those without a reply after the hedge delay, and
// answers when all parts are complete or when answering in time is worth more than the missing parts.
class query_handler final : public gateway_request_handler, public std::enable_shared_from_this<query_handler> {
public:
    query_handler(request_handler_context& context, accepted_request request)
        : gateway_request_handler(context, std::move(request))
        , m_policy(m_request.matchedRoute->shards.size(), m_request.matchedRoute->minCoverage, m_request.arrivedAt, m_request.matchedRoute->latencyObjective, m_request.clientWaited, m_request.statistics->answerDelay.expected())
    {
        for (const auto& service : m_request.matchedRoute->shards)
            m_parts.push_back({ service, &m_context.fleet.retryBudget(service), part_state::waiting, {}, {}, 0, 0, {}, {} });
        m_progress.unsent = m_parts.size();
        m_report.parts = m_parts.size();
    }

    void start()
    {
        m_request.clientCall.onDisconnect([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->handleClientDisconnect();
        });
        m_self = shared_from_this();
        const auto coverageFrom = coverageSendableFrom();
        if (coverageFrom > m_policy.unsentDeadline()) {
            refuse(coverageFrom);
            return;
        }
        for (std::size_t index = 0; index < m_parts.size() && !isFinished(); ++index) {
            const auto now = monotonic_clock::now(); // read for each part: on a slow machine the last one is sent much later than the first
            m_parts[index].retryBudget->recordRequest(now);
            if (!sendPart(index, now, "first") && !canStillBeSent(m_parts[index], now))
                changeState(m_parts[index], part_state::failed);
        }
        answerOrWait();
    }

    void endForExit() override
    {
        if (isFinished())
            return;
        const auto now = monotonic_clock::now();
        if (m_progress.done >= m_policy.minimumParts())
            answer(now);
        else
            fail(now);
    }

private:
    enum class part_state : std::uint8_t {
        waiting, // no call is running; a searcher may become usable
        running,
        done,
        failed,
    };

    struct part {
        service_id service;
        retry_allowance* retryBudget;
        part_state state;
        std::vector<searcher_id> triedSearchers;
        std::vector<std::pair<searcher_id, call_handle>> runningCalls;
        std::uint32_t possibleExecutions;
        std::uint32_t possibleArrivals; // sends that reached a searcher or still may
        monotonic_time firstSentAt;
        searcher_reply reply;
    };

    void changeState(part& part, part_state state)
    {
        if (auto* count = countOf(part.state))
            --*count;
        part.state = state;
        if (auto* count = countOf(state))
            ++*count;
        m_timerOutdated = m_timerOutdated || state == part_state::waiting || state == part_state::running;
    }

    // Returns the counter of the parts in a state; null for running ones, which are not counted.
    std::size_t* countOf(part_state state)
    {
        switch (state) {
        case part_state::waiting:
            return &m_progress.unsent;
        case part_state::done:
            return &m_progress.done;
        case part_state::failed:
            return &m_progress.failed;
        case part_state::running:
            break;
        }
        return nullptr;
    }

    // Returns whether a searcher that was not tried may accept the part before a partial answer is due.
    [[nodiscard]] bool canStillBeSent(const part& part, monotonic_time now) const { return m_context.fleet.sendableFrom(part.service, part.triedSearchers, now) <= std::max(now, m_policy.partialAnswerTime()); }

    // Returns when enough shards are expected to accept the query for its minimum coverage.
    [[nodiscard]] monotonic_time coverageSendableFrom() const
    {
        const auto now = monotonic_clock::now();
        std::vector<monotonic_time> sendableFrom;
        for (const auto& part : m_parts)
            sendableFrom.push_back(m_context.fleet.sendableFrom(part.service, {}, now));
        return m_policy.coverageSendableFrom(std::move(sendableFrom));
    }

    // Ends the query before anything was sent.
    void refuse(monotonic_time expectedReturn)
    {
        m_report.missingParts = m_parts.size();
        m_report.lackedSearchers = true;
        logMissingParts(event::part_failed);
        finishNotExecuted("too_few_shards", "too few shards accept requests at present, so the query was not executed; retry it", expectedReturn);
        m_self.reset();
    }

    bool sendPart(std::size_t index, monotonic_time now, const char* why)
    {
        auto& part = m_parts[index];
        auto* pool = m_context.fleet.chooseSearcher(part.service, part.triedSearchers, now);
        if (pool == nullptr)
            return false;
        const bool isFirst = part.possibleArrivals == 0;
        if (!isFirst && !part.retryBudget->tryWithdraw(now))
            return false;
        const auto searcher = pool->entry().id;
        auto call = std::make_shared<searcher_call>();
        call->request = m_request.clientRequest;
        call->isExtraSend = !isFirst;
        call->deadline = m_request.deadline;
        call->stalledAt = now + 2 * m_hedgeDelay;
        call->onResult = [self = shared_from_this(), index, call = std::weak_ptr(call), searcher](call_result result) { self->handleResult(index, call.lock(), searcher, std::move(result)); };
        if (isFirst)
            part.firstSentAt = now;
        else
            recordResend(part.service, searcher, why, std::chrono::duration_cast<microseconds>(now - part.firstSentAt));
        part.triedSearchers.push_back(searcher);
        part.runningCalls.emplace_back(searcher, call);
        changeState(part, part_state::running);
        ++part.possibleExecutions;
        ++part.possibleArrivals;
        ++m_report.sends;
        m_context.fleet.recordSend(*pool);
        pool->send(call);
        return true;
    }

    void handleResult(std::size_t index, const call_handle& call, const searcher_id& searcher, call_result result)
    {
        auto& part = m_parts[index];
        if (result.stage == exchange_stage::not_written) {
            --part.possibleArrivals;
            refundExtraSend(part.service, *call);
        }
        m_context.fleet.recordResult(part.service, searcher, m_request.matchedRoute->name, result);
        std::erase_if(part.runningCalls, [&](const auto& item) { return item.second == call; });
        if (isFinished() || part.state == part_state::done)
            return;
        if (result.stage != exchange_stage::replied || result.reply.kind != reply_kind::success)
            recordFailedSend(part.service, searcher, result);
        if (result.isKnownNotExecuted()) {
            --part.possibleExecutions;
            ++m_report.notExecutedSends;
        } else if (result.stage == exchange_stage::replied) {
            recordReplyTime(searcher, result.elapsed);
            if (result.reply.kind == reply_kind::success) {
                acceptReply(part, std::move(result.reply));
                answerOrWait();
                return;
            }
        }
        if (part.runningCalls.empty() && !retryPart(index))
            answerOrWait();
    }

    void recordReplyTime(const searcher_id& searcher, microseconds elapsed)
    {
        m_request.statistics->replyTimes.record(elapsed);
        if (auto* pool = m_context.fleet.find(searcher))
            pool->recordRelativeLatency(static_cast<double>(elapsed.count()) / static_cast<double>(m_medianReplyTime.count()), monotonic_clock::now());
    }

    void acceptReply(part& part, searcher_reply reply)
    {
        changeState(part, m_signatures.insert(reply.signature).second ? part_state::done : part_state::failed);
        part.reply = std::move(reply);
        cancelRunningCalls(part, supersededCallGrace);
    }

    // Sends a part again after its last running call failed. Returns false if it could not be sent: the part then
    // waits, or has failed if it has no attempts or searchers left.
    bool retryPart(std::size_t index)
    {
        auto& part = m_parts[index];
        changeState(part, part_state::waiting);
        const auto now = monotonic_clock::now();
        if (part.possibleExecutions >= m_request.matchedRoute->maxAttempts || !canStillBeSent(part, now)) {
            changeState(part, part_state::failed);
            return false;
        }
        return sendPart(index, now, "refused_or_broken");
    }

    // Ends the query if the policy says so; otherwise schedules the timer for the next moment at which that can change.
    void answerOrWait()
    {
        if (isFinished())
            return;
        const auto now = monotonic_clock::now();
        if (m_progress.done >= m_policy.minimumParts())
            m_coverageReachedAt = std::min(m_coverageReachedAt, now);
        if (m_policy.shouldAnswer(m_progress, now))
            answer(now);
        else if (m_policy.cannotSucceed(m_progress, now) || now >= m_request.deadline)
            fail(now);
        else
            scheduleTimer(now);
    }

    void scheduleTimer(monotonic_time now)
    {
        if (m_timerArmed && !m_timerOutdated && m_timerExpiry > now)
            return; // a reply does not bring the next decision forward
        m_timerOutdated = false;
        auto next = std::min(m_request.deadline, m_policy.nextDecisionTime(now));
        for (const auto& part : m_parts) {
            if (part.state == part_state::waiting)
                next = std::min<monotonic_time>(next, now + unsentRetryInterval);
            else if (canHedge(part))
                next = std::min<monotonic_time>(next, std::max<monotonic_time>(part.firstSentAt + m_hedgeDelay, now + hedgeRetryDelay(part, now)));
        }
        if (m_timerArmed && m_timerExpiry <= next && m_timerExpiry > now)
            return;
        m_timerArmed = true;
        m_timerExpiry = next;
        m_timer.expires_at(next);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
            if (!cancelled && !self->isFinished())
                self->handleTimer();
        });
    }

    [[nodiscard]] bool canHedge(const part& part) const { return part.state == part_state::running && part.runningCalls.size() == 1 && part.possibleExecutions < m_request.matchedRoute->maxAttempts; }

    // Returns the delay before a due hedge that could not be sent is tried again; zero if the hedge is not due yet.
    [[nodiscard]] milliseconds hedgeRetryDelay(const part& part, monotonic_time now) const
    {
        return part.firstSentAt + m_hedgeDelay <= now ? unsentRetryInterval : milliseconds(0);
    }

    void handleTimer()
    {
        m_timerArmed = false;
        const auto now = monotonic_clock::now();
        for (std::size_t index = 0; index < m_parts.size() && !isFinished(); ++index) {
            auto& part = m_parts[index];
            if (part.state == part_state::waiting && !sendPart(index, now, "searcher_back") && !canStillBeSent(part, now))
                changeState(part, part_state::failed);
            else if (canHedge(part) && now >= part.firstSentAt + m_hedgeDelay && sendPart(index, now, "late"))
                ++m_report.hedges;
        }
        answerOrWait();
    }

    void answer(monotonic_time now)
    {
        const auto dueAt = std::min(now, std::max(m_policy.partialAnswerTime(), m_coverageReachedAt));
        merged_answer merged;
        std::vector<std::string> bodies;
        for (auto& part : m_parts) {
            if (part.state == part_state::done) {
                merged.signatures.push_back(std::move(part.reply.signature));
                bodies.push_back(std::move(part.reply.message.body));
            } else {
                ++merged.missingParts;
            }
        }
        merged.records = mergeParts(bodies, m_request.matchedRoute->topRecords);
        m_report.missingParts = merged.missingParts;
        logMissingParts(event::part_missing);
        finish(m_context.protocol.encodeMerged(merged), merged.missingParts == 0 ? "answered" : "answered_incomplete");
        m_request.statistics->answerDelay.record(std::chrono::duration_cast<microseconds>(monotonic_clock::now() - dueAt));
        cancelAllRunningCalls(supersededCallGrace);
    }

    void fail(monotonic_time now)
    {
        m_report.missingParts = m_parts.size() - m_progress.done;
        m_report.lackedSearchers = true;
        logMissingParts(event::part_failed);
        const bool mayHaveBeenExecuted = std::any_of(m_parts.begin(), m_parts.end(), [](const auto& part) { return part.possibleExecutions > 0; });
        if (!mayHaveBeenExecuted)
            finishNotExecuted("no_searcher", "no searcher accepted the query, so it was not executed; retry it", coverageSendableFrom());
        else if (now >= m_request.deadline)
            finishPossiblyExecuted(statusGatewayTimeout, "short_of_coverage", "too few shards replied before the deadline; the query may be retried");
        else
            finishPossiblyExecuted(statusGatewayTimeout, "short_of_coverage", "too few shards can reply at present; the query may be retried");
        cancelAllRunningCalls(supersededCallGrace);
    }

    // Logs a line for each missing part with its state and the searchers that were asked.
    void logMissingParts(event id) const
    {
        for (const auto& part : m_parts) {
            if (part.state == part_state::done || !isLogged(id))
                continue;
            std::string searchers;
            for (const auto& searcher : part.triedSearchers)
                searchers.append(searchers.empty() ? "" : ",").append(searcher.value());
            logEvent(id, event_fields().add("request", m_report.requestId).add("service", part.service.value()).add("state", describe(part.state)).add("asked", searchers).add("listed", m_context.fleet.searcherCount(part.service)));
        }
    }

    static const char* describe(part_state state)
    {
        switch (state) {
        case part_state::waiting:
            return "no_searcher_usable";
        case part_state::running:
            return "no_reply_yet";
        case part_state::done:
            return "in";
        case part_state::failed:
            return "failed";
        }
        return "unknown";
    }

    void handleClientDisconnect()
    {
        finishClientDisconnected();
        cancelAllRunningCalls(abandonedCallGrace);
    }

    void cancelRunningCalls(part& part, milliseconds gracePeriod)
    {
        for (const auto& [searcher, call] : std::exchange(part.runningCalls, {})) {
            m_context.fleet.recordAbandoned(part.service, searcher, m_request.matchedRoute->name, call);
            if (auto* pool = m_context.fleet.find(searcher))
                pool->cancel(call, gracePeriod);
            call->finished = true;
            if (!call->written)
                refundExtraSend(part.service, *call);
        }
    }

    void cancelAllRunningCalls(milliseconds gracePeriod)
    {
        for (auto& part : m_parts)
            cancelRunningCalls(part, gracePeriod);
        m_self.reset();
    }

    gather_policy m_policy;
    const microseconds m_hedgeDelay = m_request.statistics->hedgeDelay(*m_request.matchedRoute);
    const microseconds m_medianReplyTime = m_request.statistics->medianReplyTime(*m_request.matchedRoute);
    std::vector<part> m_parts;
    gather_progress m_progress;
    std::set<std::string> m_signatures; // of the completed parts; a reply with a known signature is rejected as a duplicate
    monotonic_time m_coverageReachedAt = monotonic_time::max(); // when the minimum coverage was reached
    bool m_timerArmed = false;
    bool m_timerOutdated = false; // a part was sent or began to wait since the timer was set
    monotonic_time m_timerExpiry {};
    std::shared_ptr<query_handler> m_self; // keeps the handler alive until the query has ended
};

} // namespace

void startQuery(request_handler_context& context, accepted_request request)
{
    std::make_shared<query_handler>(context, std::move(request))->start();
}

} // namespace limpetpier
