#pragma once

#include <cstdint>
#include <string_view>

namespace limpetpier {

// How a request ended. The set is closed; every caller gets exactly one of them.
enum class outcome : std::uint8_t {
    answered, // a target ran it and its answer is here
    not_run, // no target ran it, and none will
    outcome_unknown, // a target may have run it
};

// Why a request, or a part of one, has no answer.
enum class reason : std::uint8_t {
    none,
    queue_full, // the expected wait is longer than the time left
    overloaded, // shed early to protect others
    deadline_passed,
    not_owner, // the node does not own the searcher in its epoch
    right_stale, // the node cannot show that it still owns the searcher
    withdrawn, // the searcher or its data centre takes no new work
    target_shed, // the target refused the request without running it
    target_cold, // the searcher bears no more while it is cold
    version_gone, // the searcher no longer holds the pinned snapshot
    connect_failed,
    connection_lost, // bytes were sent and no whole reply came back
    bad_reply, // the reply was for another request or snapshot
    target_error, // the target answered with an error of its own
    no_owner, // no live node owns any replica
    link_lost, // the link to the owning node broke
    key_reused, // the key was used for a different request
    key_from_future, // the key was made later than the clocks allow
    key_too_old, // the key may have been used before this node held its table
    in_progress, // the same key is being run right now
    coverage_short, // less than the front's least coverage was reached
    cancelled,
};

std::string_view toText(outcome value);
std::string_view toText(reason value);

} // namespace limpetpier
