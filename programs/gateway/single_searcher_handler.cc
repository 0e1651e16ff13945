#include <algorithm>

#include "gateway_request_handler.h"

namespace limpetpier {

namespace {

constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusGatewayTimeout = 504;

// Handles one request to one searcher of a service. Hedges or retries it where the route permits.
class single_searcher_handler final : public gateway_request_handler, public std::enable_shared_from_this<single_searcher_handler> {
public:
    single_searcher_handler(request_handler_context& context, accepted_request request, service_id service)
        : gateway_request_handler(context, std::move(request))
        , m_service(std::move(service))
    {
    }

    void start()
    {
        m_context.fleet.retryBudget(m_service).recordRequest(m_request.arrivedAt);
        m_request.clientCall.onDisconnect([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->handleClientDisconnect();
        });
        m_self = shared_from_this();
        sendOrWait();
    }

    void endForExit() override
    {
        if (!isFinished())
            endUnanswered("stopped", "before this process had to stop");
    }

private:
    [[nodiscard]] bool isSafeToRepeat() const { return m_request.matchedRoute->retryPolicy == retry_policy::safe; }

    // Returns true if any searcher may have executed the request or may still be executing it.
    [[nodiscard]] bool mayHaveBeenExecuted() const { return m_possibleExecutions > 0; }

    void sendOrWait()
    {
        const auto now = monotonic_clock::now();
        if (now >= m_request.deadline) {
            endUnanswered("timeout", "before the deadline");
            return;
        }
        const bool sent = trySend(now, "refused_or_broken");
        if (!sent && m_runningCalls.empty() && (now >= refusalDeadline() || m_context.fleet.sendableFrom(m_service, m_triedSearchers, now) > refusalDeadline()))
            finishWithoutResult();
        else
            scheduleTimer(now);
    }

    // A client that is rejected by then can still be served by another gateway within the latency objective.
    [[nodiscard]] monotonic_time refusalDeadline() const { return m_request.arrivedAt + m_request.matchedRoute->latencyObjective / refusalObjectiveDivisor; }

    bool trySend(monotonic_time now, const char* why)
    {
        auto* pool = m_context.fleet.chooseSearcher(m_service, m_triedSearchers, now);
        if (pool == nullptr)
            return false;
        const bool isFirst = m_possibleArrivals == 0;
        if (!isFirst && !m_context.fleet.retryBudget(m_service).tryWithdraw(now)) {
            m_triedSearchers.push_back(pool->entry().id); // no retry budget left for another send
            return false;
        }
        auto call = std::make_shared<searcher_call>();
        call->request = m_request.clientRequest;
        call->isExtraSend = !isFirst;
        call->deadline = m_request.deadline;
        call->stalledAt = now + 2 * m_request.statistics->hedgeDelay(*m_request.matchedRoute);
        const auto searcher = pool->entry().id;
        if (m_report.sends > 0)
            recordResend(m_service, searcher, why, std::chrono::duration_cast<microseconds>(now - m_lastSentAt));
        call->onResult = [self = shared_from_this(), call = std::weak_ptr(call), searcher](call_result result) { self->handleResult(call.lock(), searcher, std::move(result)); };
        m_triedSearchers.push_back(searcher);
        m_runningCalls.emplace_back(searcher, call);
        ++m_report.sends;
        ++m_possibleExecutions;
        ++m_possibleArrivals;
        m_lastSentAt = now;
        m_context.fleet.recordSend(*pool);
        pool->send(call);
        return true;
    }

    void scheduleTimer(monotonic_time now)
    {
        if (isFinished())
            return;
        auto next = m_request.deadline;
        if (m_runningCalls.empty())
            next = std::min<monotonic_time>(next, now + unsentRetryInterval);
        else if (canHedge())
            next = std::min<monotonic_time>(next, m_lastSentAt + m_request.statistics->hedgeDelay(*m_request.matchedRoute));
        m_timer.expires_at(next);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
            if (!cancelled && !self->isFinished())
                self->handleTimer();
        });
    }

    [[nodiscard]] bool canHedge() const { return isSafeToRepeat() && m_runningCalls.size() == 1 && m_possibleExecutions < m_request.matchedRoute->maxAttempts && !m_hedgeDenied; }

    void handleTimer()
    {
        const auto now = monotonic_clock::now();
        if (now >= m_request.deadline) {
            endUnanswered("timeout", "before the deadline");
        } else if (m_runningCalls.empty()) {
            sendOrWait();
        } else {
            if (canHedge() && trySend(now, "late"))
                ++m_report.hedges;
            else
                m_hedgeDenied = true;
            scheduleTimer(now);
        }
    }

    void handleResult(const call_handle& call, const searcher_id& searcher, call_result result)
    {
        if (result.stage == exchange_stage::not_written) {
            --m_possibleArrivals;
            refundExtraSend(m_service, *call);
        }
        m_context.fleet.recordResult(m_service, searcher, m_request.matchedRoute->name, result);
        std::erase_if(m_runningCalls, [&](const auto& item) { return item.second == call; });
        if (isFinished())
            return;
        if (result.stage != exchange_stage::replied || result.reply.kind != reply_kind::success)
            recordFailedSend(m_service, searcher, result);
        if (result.isKnownNotExecuted()) {
            --m_possibleExecutions;
            ++m_report.notExecutedSends;
        } else if (result.stage == exchange_stage::replied) {
            m_request.statistics->replyTimes.record(result.elapsed);
            if (auto* pool = m_context.fleet.find(searcher))
                pool->recordRelativeLatency(static_cast<double>(result.elapsed.count()) / static_cast<double>(m_request.statistics->medianReplyTime(*m_request.matchedRoute).count()), monotonic_clock::now());
            if (result.reply.kind == reply_kind::success) {
                succeed(result.reply);
                return;
            }
            if (!result.reply.signature.empty() && !promisesNotExecuted(result.reply.message.status))
                m_failureReply = std::move(result.reply);
        }
        if (!m_runningCalls.empty())
            return; // the other call may still succeed
        if (mayHaveBeenExecuted() && (!isSafeToRepeat() || m_possibleExecutions >= m_request.matchedRoute->maxAttempts))
            finishWithoutResult();
        else
            sendOrWait();
    }

    // Returns true for statuses that tell clients that the request was not executed. A searcher's reply with such a
    // status but without its own statement of non-execution must not be forwarded.
    static bool promisesNotExecuted(unsigned status)
    {
        constexpr std::array promisedStatuses { 408U, 421U, 429U, 503U };
        return std::find(promisedStatuses.begin(), promisedStatuses.end(), status) != promisedStatuses.end();
    }

    void succeed(const searcher_reply& reply)
    {
        finish(m_context.protocol.encodeAnswer(*m_request.clientRequest, reply), "answered");
        cancelRunningCalls(supersededCallGrace);
    }

    void finishWithoutResult()
    {
        if (m_failureReply)
            finish(m_context.protocol.encodeAnswer(*m_request.clientRequest, *m_failureReply), "searcher_failed");
        else if (mayHaveBeenExecuted())
            finishPossiblyExecuted(statusBadGateway, "unknown", "no searcher sent a complete reply; the request may have been executed");
        else {
            m_report.lackedSearchers = true;
            finishNotExecuted("no_searcher", "no searcher accepted the request, so it was not executed; retry it", expectedReturn());
        }
        cancelRunningCalls(supersededCallGrace);
    }

    // Ends the request while no result is there; limit: the time limit that was reached, for the client.
    void endUnanswered(const std::string& outcome, const std::string& limit)
    {
        // A call that is still queued for a connection will not be sent any more.
        const bool written = std::any_of(m_runningCalls.begin(), m_runningCalls.end(), [](const auto& item) { return item.second->written; });
        if (m_failureReply || (mayHaveBeenExecuted() && (written || m_runningCalls.empty())))
            m_failureReply ? finishWithoutResult() : static_cast<void>(finishPossiblyExecuted(statusGatewayTimeout, outcome.c_str(), "no searcher replied " + limit + "; the request may have been executed"));
        else
            finishNotExecuted((outcome + "_unsent").c_str(), "no searcher accepted the request " + limit + ", so it was not executed", expectedReturn());
        cancelRunningCalls(supersededCallGrace);
    }

    // Returns when a searcher of the service is expected to accept requests again.
    [[nodiscard]] monotonic_time expectedReturn() const { return m_context.fleet.sendableFrom(m_service, {}, monotonic_clock::now()); }

    void handleClientDisconnect()
    {
        finishClientDisconnected();
        cancelRunningCalls(abandonedCallGrace);
    }

    void cancelRunningCalls(milliseconds gracePeriod)
    {
        for (const auto& [searcher, call] : std::exchange(m_runningCalls, {})) {
            m_context.fleet.recordAbandoned(m_service, searcher, m_request.matchedRoute->name, call);
            if (auto* pool = m_context.fleet.find(searcher))
                pool->cancel(call, gracePeriod);
            call->finished = true;
            if (!call->written)
                refundExtraSend(m_service, *call);
        }
        m_self.reset();
    }

    service_id m_service;
    std::vector<searcher_id> m_triedSearchers;
    std::vector<std::pair<searcher_id, call_handle>> m_runningCalls;
    std::uint32_t m_possibleExecutions = 0;
    std::uint32_t m_possibleArrivals = 0; // sends that reached a searcher or still may
    bool m_hedgeDenied = false;
    monotonic_time m_lastSentAt {};
    std::optional<searcher_reply> m_failureReply;
    std::shared_ptr<single_searcher_handler> m_self; // keeps the handler alive until the request has ended
};

} // namespace

void startSingleSearcherRequest(request_handler_context& context, accepted_request request, const service_id& service)
{
    std::make_shared<single_searcher_handler>(context, std::move(request), service)->start();
}

} // namespace limpetpier
