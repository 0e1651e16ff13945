#include "run_base.h"

#include <algorithm>

namespace limpetpier {

namespace {

// Share of a route's sends that are hedged, by the time they take. The shared allowance pays for more; the rest is for
// retries.
constexpr double hedgeQuantile = 0.92;
constexpr double ordinaryQuantile = 0.5;

// Before there are samples, in parts of the route's latency objective.
constexpr int firstHedgePart = 4;
constexpr int firstOrdinaryPart = 8;

// The latest hedge that can still serve the objective, in parts of it.
constexpr int latestHedgePart = 2;

} // namespace

microseconds route_record::hedgeAfter(const route& route) const
{
    const microseconds objective = route.objective;
    return std::min(replies.quantile(hedgeQuantile).value_or(objective / firstHedgePart), objective / latestHedgePart);
}

microseconds route_record::ordinary(const route& route) const
{
    return replies.quantile(ordinaryQuantile).value_or(microseconds(route.objective) / firstOrdinaryPart);
}

run_base::run_base(run_context& context, run_request request)
    : m_context(context)
    , m_request(std::move(request))
    , m_timer(context.executor)
{
    ++m_context.running;
    m_report.requestId = m_request.client->id;
    m_report.route = m_request.rule->name;
}

run_base::~run_base() { --m_context.running; }

bool run_base::finish(http_reply reply, const char* outcome)
{
    if (m_finished)
        return false;
    close(outcome, reply.status);
    m_request.call.answer(std::move(reply));
    return true;
}

bool run_base::finishUnknown(unsigned status, const char* outcome, const std::string& message)
{
    return finish(m_context.protocol.encodeFailure(status, message, {}), outcome);
}

bool run_base::finishNotRun(const char* outcome, const std::string& message)
{
    constexpr unsigned statusUnavailable = 503;
    return finish(m_context.protocol.encodeFailure(statusUnavailable, message, retryAfterRefusal), outcome);
}

void run_base::finishGone()
{
    if (!m_finished)
        close("client_left", 0);
}

void run_base::close(const char* outcome, unsigned status)
{
    m_finished = true;
    m_timer.cancel();
    m_report.outcome = outcome;
    m_report.status = status;
    m_report.elapsed = std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - m_request.arrived);
    m_context.report(m_report);
}

} // namespace limpetpier
