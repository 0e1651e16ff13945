#include "limpetpier/protocol/target_protocol.h"

#include <boost/json.hpp>

namespace limpetpier {

namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusVersionGone = 409;
constexpr unsigned statusCancelled = 499;
constexpr unsigned statusShed = 503;

std::uint64_t integerAt(const json::value& value, const char* name)
{
    return value.at(name).to_number<std::uint64_t>();
}

held_snapshot parseHeldSnapshot(const json::value& value)
{
    return { { integerAt(value, "index_version"), integerAt(value, "shard_map") }, { integerAt(value, "first"), integerAt(value, "last") } };
}

std::vector<search_hit> parseHits(const json::value& value)
{
    std::vector<search_hit> hits;
    for (const auto& item : value.at("hits").as_array())
        hits.push_back({ item.at("score").to_number<double>(), integerAt(item, "key"), json::value_to<std::string>(item.at("text")) });
    return hits;
}

target_status statusOf(unsigned status)
{
    switch (status) {
    case statusOk:
        return target_status::answered;
    case statusVersionGone:
        return target_status::version_gone;
    case statusCancelled:
        return target_status::cancelled;
    case statusShed:
        return target_status::shed;
    default:
        return target_status::failed;
    }
}

} // namespace

http_request makeTargetRequest(const target_request& request)
{
    http_request message;
    message.method = "POST";
    message.target = request.isSearch() ? "/search" : "/run";
    message.fields.push_back({ "X-Request-Id", request.requestId });
    message.fields.push_back({ "X-Deadline-Ms", std::to_string(request.deadline.count()) });
    if (request.isSearch()) {
        message.fields.push_back({ "X-Index-Version", std::to_string(request.snapshot.indexVersion) });
        message.fields.push_back({ "X-Shard-Map", std::to_string(request.snapshot.shardMap) });
        message.body = json::serialize(json::object { { "query", request.text }, { "limit", request.limit } });
    } else {
        message.fields.push_back({ "Idempotency-Key", request.key.value() });
        message.body = request.text;
    }
    return message;
}

http_request makeCancelRequest(const std::string& requestId)
{
    return { "POST", "/cancel", { { "X-Request-Id", requestId } }, {} };
}

http_request makeStateRequest()
{
    return { "GET", "/snapshot", {}, {} };
}

target_reply parseTargetReply(const http_reply& reply, bool isSearch)
{
    target_reply result;
    try {
        const auto value = json::parse(reply.body);
        result.requestId = json::value_to<std::string>(value.at("request_id"));
        result.boot = boot_id { integerAt(value, "boot") };
        const auto status = statusOf(reply.status);
        if (status == target_status::answered && isSearch) {
            result.from = parseHeldSnapshot(value);
            result.hits = parseHits(value);
        } else if (status == target_status::answered) {
            result.answer = json::serialize(value.at("answer"));
        }
        result.status = status;
    } catch (const std::exception&) {
        result.status = target_status::failed;
    }
    return result;
}

std::optional<target_state> parseTargetState(const http_reply& reply)
{
    if (reply.status != statusOk)
        return std::nullopt;
    try {
        const auto value = json::parse(reply.body);
        target_state state;
        state.boot = boot_id { integerAt(value, "boot") };
        state.draining = value.at("draining").as_bool();
        for (const auto& item : value.at("held").as_array())
            state.held.push_back(parseHeldSnapshot(item));
        return state;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace limpetpier
