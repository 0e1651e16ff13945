#pragma once

#include <chrono>

namespace limpetpier {

// Monotonic time of this process. Decision logic takes it as an argument, which makes recorded traces replayable.
using monotonic_clock = std::chrono::steady_clock;
using monotonic_time = monotonic_clock::time_point;
using microseconds = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;

// Wall-clock time since the Unix epoch. Used only for idempotency keys and order deadlines.
using wall_time = std::chrono::sys_time<milliseconds>;

// Upper bound on the deadline of any request. It limits how long work can continue after an owner has lost a searcher,
// and therefore how long its successor has to wait.
constexpr milliseconds maxDeadline { 2000 };

// Returns the current wall-clock time.
inline wall_time wallNow()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

} // namespace limpetpier
