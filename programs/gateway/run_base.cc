#include "run_base.h"

#include <algorithm>

#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

// Share of a route's sends that are hedged, by the time they take. The shared allowance pays for more; the rest is for
// retries.
constexpr double hedgeQuantile = 0.92;
constexpr double ordinaryQuantile = 0.5;

// Before there are samples, in parts of the route's latency objective.
constexpr int firstHedgePart = 2;
constexpr int firstOrdinaryPart = 8;

// The latest hedge that can still serve the objective, in parts of it.
constexpr int latestHedgePart = 2;

const char* describe(const call_result& result)
{
    switch (result.stage) {
    case exchange_stage::not_written:
        return "not_sent";
    case exchange_stage::no_reply:
        return "connection_ended";
    case exchange_stage::replied:
        break;
    }
    switch (result.reply.kind) {
    case reply_kind::not_executed:
        return "not_executed";
    case reply_kind::misdirected:
        return "misdirected";
    default:
        return "no_result";
    }
}

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

run_base::run_base(run_context& context, accepted_request request)
    : m_context(context)
    , m_request(std::move(request))
    , m_timer(context.executor)
{
    ++m_context.running;
    m_report.requestId = m_request.client->id;
    m_report.route = m_request.rule->name;
    m_report.table = m_request.table->version();
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

void run_base::noteResent(const service_id& service, const searcher_id& searcher, const char* why, microseconds waited)
{
    ++m_report.extraSends[why];
    if (!isLogged(event::request_resent))
        return;
    logEvent(event::request_resent,
        event_fields().add("request", m_report.requestId).add("service", service.value()).add("searcher", searcher.value()).add("why", why).add("waited_us", waited.count()).add("hedge_after_us", m_request.record->hedgeAfter(*m_request.rule).count()).add("extra_left", static_cast<std::int64_t>(m_context.fleet.allowance(service).remaining(monotonic_clock::now()))));
}

void run_base::noteFailed(const service_id& service, const searcher_id& searcher, const call_result& result)
{
    ++m_report.failedSends[describe(result)];
    if (!isLogged(event::call_failed))
        return;
    event_fields fields;
    fields.add("request", m_report.requestId).add("service", service.value()).add("searcher", searcher.value()).add("how", describe(result));
    if (result.stage == exchange_stage::replied)
        fields.add("status", result.reply.message.status);
    logEvent(event::call_failed, fields.add("elapsed_us", result.elapsed.count()));
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
