#pragma once

#include <chrono>

namespace limpetpier {

// Decisions take the monotonic time of their own process as an argument, so that traces replay exactly.
using monotonic_clock = std::chrono::steady_clock;
using monotonic_time = monotonic_clock::time_point;
using microseconds = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;

// Wall-clock time since the Unix epoch; only idempotency keys and order deadlines are compared with it.
using wall_time = std::chrono::sys_time<milliseconds>;

// Longest deadline of any request. It bounds the work that an owner may leave behind, and so how long a successor waits.
constexpr milliseconds maxDeadline { 2000 };

inline wall_time wallNow()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

} // namespace limpetpier
