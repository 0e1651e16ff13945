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
    std::uint32_t limit = 0; // searches only
    snapshot_id snapshot; // searches only
    idempotency_key key; // non-idempotent requests only; empty marks a search

    [[nodiscard]] bool isSearch() const { return key.empty(); }
};

// How a searcher answered.
enum class target_status : std::uint8_t {
    answered,
    shed, // refused without running it
    version_gone, // does not hold the asked snapshot (any more); not run
    cancelled, // stopped on request
    failed, // any other answer: for a non-idempotent request nobody knows
};

struct target_reply {
    target_status status = target_status::failed;
    std::string requestId;
    boot_id boot;
    held_snapshot from;
    std::vector<search_hit> hits;
    std::string answer;
};

// What a searcher says it holds.
struct target_state {
    boot_id boot;
    bool draining = false;
    std::vector<held_snapshot> held;
};

// The protocol that searchers speak: HTTP/1.1 with JSON bodies, described in docs/TARGETS.md.
//
// An adapter to another kind of target replaces these functions.
http_request makeTargetRequest(const target_request& request);
http_request makeCancelRequest(const std::string& requestId);
http_request makeStateRequest();

// Reads a reply; anything malformed reads as failed.
target_reply parseTargetReply(const http_reply& reply, bool isSearch);
std::optional<target_state> parseTargetState(const http_reply& reply);

} // namespace limpetpier
