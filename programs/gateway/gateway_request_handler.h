#pragma once

#include "request_handling.h"

namespace limpetpier {

// Base class of the handlers of single-searcher requests and of queries. Holds the request, its report and one timer,
// and sends the client at most one answer.
class gateway_request_handler {
public:
    gateway_request_handler(request_handler_context& context, accepted_request request);
    virtual ~gateway_request_handler();
    gateway_request_handler(const gateway_request_handler&) = delete;
    gateway_request_handler& operator=(const gateway_request_handler&) = delete;

    // Ends the request with what is known of its outcome because the process is about to exit. No effect if the request
    // has ended already. May destroy this object.
    virtual void endForExit() = 0;

protected:
    // Ends the request with an answer and reports it. Returns false, without effect, if the request has ended already.
    bool finish(http_reply reply, const char* outcome);

    // Ends the request with an error after which a searcher may have executed it. Returns like finish().
    bool finishPossiblyExecuted(unsigned status, const char* outcome, const std::string& message);

    // Ends the request with status 503 and a Retry-After time: no searcher has executed it. expectedReturn is when
    // searchers are expected to accept the request; the maximum if unknown. Returns like finish().
    bool finishNotExecuted(const char* outcome, const std::string& message, monotonic_time expectedReturn);

    // Ends the request without an answer because the client disconnected. No effect if the request has ended already.
    void finishClientDisconnected();

    // Counts and logs an extra send to a searcher. waited is the time since the preceding or, for a query, the first
    // send.
    void recordResend(const service_id& service, const searcher_id& searcher, const char* why, microseconds waited);

    // Counts and logs a send that did not succeed.
    void recordFailedSend(const service_id& service, const searcher_id& searcher, const call_result& result);

    // Returns an extra send to the retry budget, because the call never reached a searcher.
    void refundExtraSend(const service_id& service, const searcher_call& call)
    {
        if (call.isExtraSend)
            m_context.fleet.retryBudget(service).refund();
    }

    // Returns true once the request has ended and was reported.
    [[nodiscard]] bool isFinished() const { return m_finished; }

    // Returns the time until the request's deadline; negative after it.
    [[nodiscard]] milliseconds timeLeft(monotonic_time now) const { return std::chrono::duration_cast<milliseconds>(m_request.deadline - now); }

    request_handler_context& m_context;
    accepted_request m_request;
    request_report m_report;
    asio::steady_timer m_timer;

private:
    void recordEnd(const char* outcome, unsigned status);

    bool m_finished = false;
};

// Grace period for running calls whose result is no longer needed, before their connections are closed. A searcher
// spends more on accepting a new connection than on finishing a short remainder of work.
constexpr milliseconds supersededCallGrace { 250 };

// The same after the client disconnected. Shorter, because nobody receives the answer.
constexpr milliseconds abandonedCallGrace { 150 };

// A request that no searcher could accept is rejected after this fraction (1/n) of its latency objective.
constexpr int refusalObjectiveDivisor = 5;

// Interval at which a request is offered to the searchers again while none is usable.
constexpr milliseconds unsentRetryInterval { 5 };

} // namespace limpetpier
