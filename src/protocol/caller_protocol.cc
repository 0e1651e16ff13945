#include "limpetpier/protocol/caller_protocol.h"

#include <boost/json.hpp>

#include "limpetpier/coordination/idempotency_table.h"
#include "limpetpier/state/errors.h"

namespace limpetpier {

namespace json = boost::json;

namespace {

constexpr std::string_view routePrefix = "/v1/fronts/";
// Bounds of the values that a caller may send.
constexpr std::size_t maxQueryBytes = 4096;
constexpr std::uint32_t maxLimit = 1000;
constexpr std::uint32_t maxAttempt = 1000;

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;
constexpr unsigned statusUnprocessable = 422;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTimeout = 504;

std::int64_t parseInteger(const json::value& value, const std::string& name, std::int64_t min, std::int64_t max)
{
    const bool isInRange = value.is_int64() && value.get_int64() >= min && value.get_int64() <= max;
    if (!isInRange)
        throw request_error(statusBadRequest, name + ": found " + json::serialize(value) + ", expected an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return value.get_int64();
}

std::int64_t parseInteger(const std::string& text, const std::string& name, std::int64_t min, std::int64_t max)
{
    const bool isInteger = !text.empty() && text.size() < 10 && text.find_first_not_of("0123456789") == std::string::npos;
    if (!isInteger)
        throw request_error(statusBadRequest, name + ": found '" + text + "', expected an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return parseInteger(json::value(std::stoll(text)), name, min, max);
}

unsigned statusOf(outcome result, reason why)
{
    switch (result) {
    case outcome::answered:
        return statusOk;
    case outcome::not_run:
        if (why == reason::key_reused || why == reason::key_from_future)
            return statusUnprocessable;
        return why == reason::overloaded || why == reason::queue_full ? statusTooManyRequests : statusUnavailable;
    case outcome::outcome_unknown:
        return why == reason::coverage_short ? statusUnavailable : statusTimeout;
    }
    return statusTimeout;
}

double toMilliseconds(microseconds duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

http_reply jsonReply(unsigned status, const json::object& body)
{
    http_reply reply;
    reply.status = status;
    reply.body = json::serialize(body) + "\n";
    return reply;
}

} // namespace

std::optional<caller_route> parseRoute(const http_request& request)
{
    if (!request.target.starts_with("/v1/"))
        return std::nullopt;
    const auto slash = request.target.rfind('/');
    if (!request.target.starts_with(routePrefix) || slash <= routePrefix.size())
        throw request_error(statusNotFound, "unknown path '" + request.target + "'; use /v1/fronts/NAME/search or /v1/fronts/NAME/order");
    caller_route route { front_id { request.target.substr(routePrefix.size(), slash - routePrefix.size()) }, caller_operation::search };
    const auto operation = request.target.substr(slash + 1);
    if (operation == "order")
        route.operation = caller_operation::order;
    else if (operation != "search")
        throw request_error(statusNotFound, "unknown operation '" + operation + "'; use search or order");
    if (request.method != "POST")
        throw request_error(statusMethodNotAllowed, "method " + request.method + " is not allowed; use POST");
    return route;
}

search_request parseSearch(const http_request& request, milliseconds frontDeadline)
{
    boost::system::error_code error;
    const auto value = json::parse(request.body, error);
    if (error || !value.is_object())
        throw request_error(statusBadRequest, "body is not a JSON object" + (error ? ": " + error.message() : std::string()) + "; send an object such as {\"query\": \"...\"}");
    search_request result;
    bool hasQuery = false;
    for (const auto& member : value.get_object()) {
        if (member.key() == "query" && member.value().is_string()) {
            result.query = std::string(member.value().get_string());
            hasQuery = true;
        } else if (member.key() == "limit") {
            result.limit = static_cast<std::uint32_t>(parseInteger(member.value(), "limit", 1, maxLimit));
        } else if (member.key() == "deadline_ms") {
            result.deadline = milliseconds { parseInteger(member.value(), "deadline_ms", 1, frontDeadline.count()) };
        } else {
            throw request_error(statusBadRequest, "member '" + std::string(member.key()) + "' is unknown or of the wrong type; allowed are query (text), limit, deadline_ms");
        }
    }
    if (!hasQuery || result.query.empty() || result.query.size() > maxQueryBytes)
        throw request_error(statusBadRequest, "query: expected 1 to " + std::to_string(maxQueryBytes) + " bytes of text; send a query of this length");
    return result;
}

order_call parseOrder(const http_request& request, milliseconds frontDeadline)
{
    order_call result;
    result.key = idempotency_key { request.field("Idempotency-Key") };
    if (result.key.empty())
        throw request_error(statusBadRequest, "Idempotency-Key is missing; send a new UUIDv7 for each order and repeat it in retries of the order");
    if (!keyCreationTime(result.key))
        throw request_error(statusBadRequest, "Idempotency-Key is not a UUIDv7; send a key with a timestamp, such as 01890a5d-ac96-774b-bcce-b302099a8057");
    if (request.body.empty())
        throw request_error(statusBadRequest, "the body of the order is empty; send the request for the target as the body");
    result.text = request.body;
    if (const auto deadline = request.field("X-Deadline-Ms"); !deadline.empty())
        result.deadline = milliseconds { parseInteger(deadline, "X-Deadline-Ms", 1, frontDeadline.count()) };
    if (const auto attempt = request.field("X-Attempt"); !attempt.empty())
        result.attempt = static_cast<std::uint32_t>(parseInteger(attempt, "X-Attempt", 1, maxAttempt));
    return result;
}

http_reply formatSearch(const search_answer& answer)
{
    json::array missing;
    for (const auto& gap : answer.coverage.missing)
        missing.push_back(json::object { { "first", gap.range.first }, { "last", gap.range.last }, { "reason", toText(gap.why) } });
    json::array hits;
    for (const auto& hit : answer.hits)
        hits.push_back(json::object { { "score", hit.score }, { "key", hit.key }, { "text", hit.text } });
    return jsonReply(statusOf(answer.result, answer.why),
        json::object {
            { "outcome", toText(answer.result) },
            { "reason", toText(answer.why) },
            { "snapshot", json::object { { "index_version", answer.snapshot.indexVersion }, { "shard_map", answer.snapshot.shardMap } } },
            { "coverage", json::object { { "fraction", answer.coverage.fraction }, { "missing", std::move(missing) } } },
            { "results", std::move(hits) },
            { "timing", json::object { { "total_ms", toMilliseconds(answer.elapsed) }, { "sub_requests", answer.subRequests }, { "hedges", answer.hedges } } },
        });
}

http_reply formatOrder(outcome result, reason why, const idempotency_key& key, const std::string& answerText, microseconds elapsed)
{
    boost::system::error_code error;
    auto answer = answerText.empty() ? json::value(nullptr) : json::parse(answerText, error);
    return jsonReply(statusOf(result, why),
        json::object {
            { "outcome", toText(result) },
            { "reason", toText(why) },
            { "key", key.value() },
            { "answer", error ? json::value(answerText) : std::move(answer) },
            { "timing", json::object { { "total_ms", toMilliseconds(elapsed) } } },
        });
}

http_reply formatError(unsigned status, const std::string& message)
{
    return jsonReply(status, json::object { { "outcome", toText(outcome::not_run) }, { "error", message } });
}

} // namespace limpetpier
