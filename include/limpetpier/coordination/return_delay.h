#pragma once

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Shortest and longest delay after which a client is asked to repeat a request that was not executed.
constexpr milliseconds minReturnDelay { 5 };
constexpr milliseconds maxReturnDelay { 10'000 };

// Returns the delay after which a client should repeat a request that was not executed. expectedReturn is when searchers
// are expected to accept requests again; the maximum if that is unknown, so that another process is tried at once.
[[nodiscard]] milliseconds returnDelay(monotonic_time expectedReturn, monotonic_time now);

} // namespace limpetpier
