#include "limpetpier/coordination/return_delay.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

TEST_CASE("The return delay lasts until searchers are expected to accept requests, within bounds")
{
    const monotonic_time now { std::chrono::hours(1) };
    CHECK(returnDelay(now + milliseconds(300), now) == milliseconds(300));
    CHECK(returnDelay(now + microseconds(300'001), now) == milliseconds(301));
    CHECK(returnDelay(now, now) == minReturnDelay);
    CHECK(returnDelay(now - milliseconds(300), now) == minReturnDelay);
    CHECK(returnDelay(now + std::chrono::hours(1), now) == maxReturnDelay);
    CHECK(returnDelay(monotonic_time::max(), now) == minReturnDelay);
}
