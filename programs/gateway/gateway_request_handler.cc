#include "gateway_request_handler.h"

#include <algorithm>

#include "limpetpier/coordination/return_delay.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

// Quantile of the route's reply times after which a send is hedged. The retry budget would permit more hedges; the rest
// of it is left for retries.
constexpr double hedgeQuantile = 0.92;
constexpr double medianQuantile = 0.5;

// Values used before there are samples, as fractions (1/n) of the route's latency objective.
constexpr int initialHedgeDivisor = 2;
constexpr int initialMedianDivisor = 8;

// A hedge later than this fraction (1/n) of the latency objective is unlikely to be answered within it.
constexpr int latestHedgeDivisor = 2;

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

microseconds route_statistics::hedgeDelay(const route& route) const
{
    const microseconds objective = route.latencyObjective;
    return std::min(replyTimes.quantile(hedgeQuantile).value_or(objective / initialHedgeDivisor), objective / latestHedgeDivisor);
}

microseconds route_statistics::medianReplyTime(const route& route) const
{
    return replyTimes.quantile(medianQuantile).value_or(microseconds(route.latencyObjective) / initialMedianDivisor);
}

gateway_request_handler::gateway_request_handler(request_handler_context& context, accepted_request request)
    : m_context(context)
    , m_request(std::move(request))
    , m_timer(context.executor)
{
    m_context.handlers.insert(this);
    m_report.requestId = m_request.clientRequest->id;
    m_report.route = m_request.matchedRoute->name;
    m_report.tableVersion = m_request.routingTable->version();
    m_report.admittedTo = m_request.admittedTo;
    m_report.admittedAt = m_request.admittedAt;
}

gateway_request_handler::~gateway_request_handler() { m_context.handlers.erase(this); }

bool gateway_request_handler::finish(http_reply reply, const char* outcome)
{
    if (m_finished)
        return false;
    recordEnd(outcome, reply.status);
    m_request.clientCall.answer(std::move(reply));
    return true;
}

bool gateway_request_handler::finishPossiblyExecuted(unsigned status, const char* outcome, const std::string& message)
{
    return finish(m_context.protocol.encodeFailure(status, message, {}), outcome);
}

bool gateway_request_handler::finishNotExecuted(const char* outcome, const std::string& message, monotonic_time expectedReturn)
{
    constexpr unsigned statusUnavailable = 503;
    return finish(m_context.protocol.encodeFailure(statusUnavailable, message, returnDelay(expectedReturn, monotonic_clock::now())), outcome);
}

void gateway_request_handler::recordResend(const service_id& service, const searcher_id& searcher, const char* why, microseconds waited)
{
    ++m_report.extraSends[why];
    if (!isLogged(event::request_resent))
        return;
    logEvent(event::request_resent,
        event_fields().add("request", m_report.requestId).add("service", service.value()).add("searcher", searcher.value()).add("why", why).add("waited_us", waited.count()).add("hedge_after_us", m_request.statistics->hedgeDelay(*m_request.matchedRoute).count()).add("extra_left", static_cast<std::int64_t>(m_context.fleet.retryBudget(service).remaining(monotonic_clock::now()))));
}

void gateway_request_handler::recordFailedSend(const service_id& service, const searcher_id& searcher, const call_result& result)
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

void gateway_request_handler::finishClientDisconnected()
{
    if (!m_finished)
        recordEnd("client_left", 0);
}

void gateway_request_handler::recordEnd(const char* outcome, unsigned status)
{
    m_finished = true;
    m_timer.cancel();
    m_report.outcome = outcome;
    m_report.status = status;
    m_report.elapsed = std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - m_request.arrivedAt);
    m_context.report(m_report);
}

} // namespace limpetpier
