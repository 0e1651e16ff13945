#pragma once

#include <optional>
#include <string>

#include "limpetpier/coordination/fan_out_plan.h"
#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/state/outcome.h"

namespace limpetpier {

// The HTTP protocol between callers and fronts, described in docs/CALLERS.md. All parse functions throw request_error.

// Operations that a front offers.
enum class caller_operation : std::uint8_t {
    search,
    order,
};

// The front and operation of a path "/v1/fronts/NAME/search" or "/v1/fronts/NAME/order".
struct caller_route {
    front_id front;
    caller_operation operation = caller_operation::search;
};

// Parses the method and path. Returns nullopt if the path does not start with /v1/.
std::optional<caller_route> parseRoute(const http_request& request);

// A search, decoded from the JSON body.
struct search_request {
    std::string query;
    std::uint32_t limit = 10; // maximum number of hits
    std::optional<milliseconds> deadline;
};

// Parses a search. The caller's deadline must not exceed the front's deadline.
search_request parseSearch(const http_request& request, milliseconds frontDeadline);

// A non-idempotent request, decoded from the header fields and the body.
struct order_call {
    idempotency_key key;
    std::string text; // passed to the target unchanged
    std::optional<milliseconds> deadline;
    std::uint32_t attempt = 1; // above 1 for a retry: an earlier call with the same key may have run
};

// Parses an order. The caller's deadline must not exceed the front's deadline.
order_call parseOrder(const http_request& request, milliseconds frontDeadline);

// The result of a search, as reported to the caller.
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

// Formats the response to a search.
http_reply formatSearch(const search_answer& answer);

// Formats the response to an order. answerText is the target's JSON; it is empty unless the outcome is answered.
http_reply formatOrder(outcome result, reason why, const idempotency_key& key, const std::string& answerText, microseconds elapsed);

// Formats the response to a request that was rejected without running.
http_reply formatError(unsigned status, const std::string& message);

} // namespace limpetpier
