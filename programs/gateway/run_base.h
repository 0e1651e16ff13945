#pragma once

#include "request_run.h"

namespace limpetpier {

// What single and gathering runs have in common: the client, the final answer, one timer.
class run_base {
public:
    run_base(run_context& context, accepted_request request);
    virtual ~run_base();
    run_base(const run_base&) = delete;
    run_base& operator=(const run_base&) = delete;

protected:
    // Ends the run with an answer. Only the first call counts.
    bool finish(http_reply reply, const char* outcome);

    // Answers that a searcher may have run the request, or that none did.
    bool finishUnknown(unsigned status, const char* outcome, const std::string& message);
    bool finishNotRun(const char* outcome, const std::string& message);

    // Ends the run without an answer: the client has left.
    void finishGone();

    // Count and log decisions on one send.
    void noteResent(const service_id& service, const searcher_id& searcher, const char* why, microseconds waited);
    void noteFailed(const service_id& service, const searcher_id& searcher, const call_result& result);

    // A send that never reached a searcher is no extra one.
    void takeBack(const service_id& service, const searcher_call& call)
    {
        if (call.paid)
            m_context.fleet.allowance(service).refund();
    }

    [[nodiscard]] bool isFinished() const { return m_finished; }
    [[nodiscard]] milliseconds timeLeft(monotonic_time now) const { return std::chrono::duration_cast<milliseconds>(m_request.answerBy - now); }

    run_context& m_context;
    accepted_request m_request;
    run_report m_report;
    asio::steady_timer m_timer;

private:
    void close(const char* outcome, unsigned status);

    bool m_finished = false;
};

// Calls that lost their race may finish within this time: a new connection costs a searcher more than a short rest of work.
constexpr milliseconds loserLinger { 250 };

// A client that left is no reason to work on for as long.
constexpr milliseconds goneLinger { 150 };

// When a refused client should come back.
constexpr milliseconds retryAfterRefusal { 5 };

// A request that no searcher could take is refused after this part of its objective.
constexpr int refusalPart = 5;

// Unsent sends are tried again this often, while no searcher is usable.
constexpr milliseconds resendInterval { 5 };

} // namespace limpetpier
