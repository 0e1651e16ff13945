#pragma once

#include <optional>
#include <string>
#include <vector>

#include "limpetpier/coordination/fan_out_plan.h"
#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/state/snapshot.h"

namespace limpetpier {

// A request to one searcher.
struct target_request {
    std::string requestId;
    std::string text;
    milliseconds deadline { 0 };
    std::uint32_t limit = 0; // maximum number of hits; searches only
    snapshot_id snapshot; // searches only
    idempotency_key key; // non-idempotent requests only; empty marks a search

    [[nodiscard]] bool isSearch() const { return key.empty(); }
};

// The result of a request as reported by a searcher.
enum class target_status : std::uint8_t {
    answered,
    shed, // rejected without running the request
    version_gone, // the requested snapshot is not available; not run
    cancelled, // stopped by a cancel request
    failed, // any other reply; a non-idempotent request may have run
};

// A decoded reply of a searcher.
struct target_reply {
    target_status status = target_status::failed;
    std::string requestId;
    boot_id boot;
    held_snapshot from;
    std::vector<search_hit> hits;
    std::string answer;
};

// The state that a searcher reports: its process, whether it is draining and the snapshots that it holds.
struct target_state {
    boot_id boot;
    bool draining = false;
    std::vector<held_snapshot> held;
};

// The protocol between dispatchers and searchers: HTTP/1.1 with JSON bodies, described in docs/TARGETS.md.
//
// Support for another kind of target requires replacing the functions below.

// Encodes a search (POST /search) or a non-idempotent request (POST /run).
http_request makeTargetRequest(const target_request& request);

// Encodes the cancellation of a request.
http_request makeCancelRequest(const std::string& requestId);

// Encodes a request for the searcher's state.
http_request makeStateRequest();

// Decodes the reply to a target_request. A malformed reply yields target_status::failed.
target_reply parseTargetReply(const http_reply& reply, bool isSearch);

// Decodes the reply to a state request. Returns nullopt if it is malformed or its status is not 200.
std::optional<target_state> parseTargetState(const http_reply& reply);

} // namespace limpetpier
