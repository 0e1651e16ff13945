#pragma once

#include <cstdint>
#include <string_view>

namespace limpetpier {

// The result of a request. Every caller gets exactly one of these values.
enum class outcome : std::uint8_t {
    answered, // a target ran the request and its answer is available
    not_run, // no target has run the request or will run it
    outcome_unknown, // a target may have run the request
};

// Why a request, or a part of a request, has no answer.
enum class reason : std::uint8_t {
    none,
    queue_full, // the expected queueing time exceeds the remaining time
    overloaded, // shed early to protect other requests
    deadline_passed,
    not_owner, // the node does not own the searcher in its current epoch
    right_stale, // the node cannot confirm that it still owns the searcher
    withdrawn, // the searcher or its data centre accepts no new requests
    target_shed, // the target refused the request without running it
    target_cold, // the searcher is cold and at its limit for cold searchers
    version_gone, // the searcher no longer holds the pinned snapshot
    connect_failed,
    connection_lost, // bytes were sent but no complete reply was received
    bad_reply, // the reply was for another request or snapshot
    target_error, // the target answered with an error
    no_owner, // no live node owns a replica
    link_lost, // the link to the owning node broke
    key_reused, // the key was used for a different request
    key_from_future, // the key's timestamp is further in the future than clock skew allows
    key_too_old, // the key may have been used before this node took over the idempotency table
    in_progress, // a request with the same key is running
    coverage_short, // the front's minimum coverage was not reached
    cancelled,
};

// Returns the enumerator's name, as used in responses and logs.
std::string_view toText(outcome value);
std::string_view toText(reason value);

} // namespace limpetpier
