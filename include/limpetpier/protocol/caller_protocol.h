#pragma once

#include <optional>
#include <string>

#include "limpetpier/coordination/fan_out_plan.h"
#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/state/outcome.h"

namespace limpetpier {

// What callers send and get; docs/CALLERS.md describes it. All parse functions throw request_error.

enum class caller_operation : std::uint8_t {
    search,
    order,
};

// "POST /v1/fronts/NAME/search" or ".../order".
struct caller_route {
    front_id front;
    caller_operation operation = caller_operation::search;
};

// Nothing if the target is not below /v1/.
std::optional<caller_route> parseRoute(const http_request& request);

struct search_request {
    std::string query;
    std::uint32_t limit = 10;
    std::optional<milliseconds> deadline;
};

// A caller may shorten the front's deadline, not lengthen it.
search_request parseSearch(const http_request& request, milliseconds longest);

struct order_call {
    idempotency_key key;
    std::string text; // passed on to the target as it is
    std::optional<milliseconds> deadline;
    std::uint32_t attempt = 1; // above 1: an earlier call with the same key may have run
};

order_call parseOrder(const http_request& request, milliseconds longest);

// Everything that a search answers with.
struct search_answer {
    outcome result = outcome::not_run;
    reason why = reason::none;
    snapshot_id snapshot;
    coverage_report coverage;
    std::vector<search_hit> hits;
    microseconds elapsed { 0 };
    std::size_t subRequests = 0;
    std::size_t hedges = 0;
};

http_reply formatSearch(const search_answer& answer);

// answerText is the target's own JSON, empty unless answered.
http_reply formatOrder(outcome result, reason why, const idempotency_key& key, const std::string& answerText, microseconds elapsed);

http_reply formatError(unsigned status, const std::string& message);

} // namespace limpetpier
