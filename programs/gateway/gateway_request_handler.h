#pragma once

#include "request_handling.h"

namespace limpetpier {

// What single and gathering runs have in common: the client, the final answer, one timer.
class gateway_request_handler {
public:
    gateway_request_handler(request_handler_context& context, accepted_request request);
    virtual ~gateway_request_handler();
    gateway_request_handler(const gateway_request_handler&) = delete;
    gateway_request_handler& operator=(const gateway_request_handler&) = delete;

protected:
    // Ends the run with an answer. Only the first call counts.
    bool finish(http_reply reply, const char* outcome);

    // Answers that a searcher may have run the request, or that none did.
    bool finishPossiblyExecuted(unsigned status, const char* outcome, const std::string& message);
    bool finishNotExecuted(const char* outcome, const std::string& message);

    // Ends the run without an answer: the client has left.
    void finishClientDisconnected();

    // Count and log decisions on one send.
    void recordResend(const service_id& service, const searcher_id& searcher, const char* why, microseconds waited);
    void recordFailedSend(const service_id& service, const searcher_id& searcher, const call_result& result);

    // A send that never reached a searcher is no extra one.
    void refundExtraSend(const service_id& service, const searcher_call& call)
    {
        if (call.isExtraSend)
            m_context.fleet.retryBudget(service).refund();
    }

    [[nodiscard]] bool isFinished() const { return m_finished; }
    [[nodiscard]] milliseconds timeLeft(monotonic_time now) const { return std::chrono::duration_cast<milliseconds>(m_request.deadline - now); }

    request_handler_context& m_context;
    accepted_request m_request;
    request_report m_report;
    asio::steady_timer m_timer;

private:
    void recordEnd(const char* outcome, unsigned status);

    bool m_finished = false;
};

// Calls that lost their race may finish within this time: a new connection costs a searcher more than a short rest of work.
constexpr milliseconds supersededCallGrace { 250 };

// A client that left is no reason to work on for as long.
constexpr milliseconds abandonedCallGrace { 150 };

// When a refused client should come back.
constexpr milliseconds retryAfterRefusal { 5 };

// A request that no searcher could take is refused after this part of its objective.
constexpr int refusalObjectiveDivisor = 5;

// Unsent sends are tried again this often, while no searcher is usable.
constexpr milliseconds unsentRetryInterval { 5 };

} // namespace limpetpier
