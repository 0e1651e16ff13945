#include "limpetpier/coordination/stop_schedule.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };

route makeRoute(retry_policy policy)
{
    route result;
    result.retryPolicy = policy;
    result.latencyObjective = milliseconds(250);
    return result;
}

} // namespace

TEST_CASE("A planned stop leaves time to write the last answers before the forced exit")
{
    const stop_schedule stop(start, milliseconds(6000));
    CHECK(stop.answersDue() == start + milliseconds(5000));
    CHECK(stop.exitDue() > stop.answersDue());
    CHECK(stop.exitDue() < start + milliseconds(6000));

    SECTION("also if the grace period is short")
    {
        const stop_schedule shortStop(start, milliseconds(600));
        CHECK(shortStop.answersDue() == start + milliseconds(500));
        CHECK(shortStop.exitDue() < start + milliseconds(600));
    }
    SECTION("A request that may not be repeated is accepted only if its deadline is before that")
    {
        const auto rule = makeRoute(retry_policy::at_most_once);
        CHECK(stop.admits(rule, start + milliseconds(5000), start + milliseconds(3500)));
        CHECK_FALSE(stop.admits(rule, start + milliseconds(5001), start + milliseconds(3501)));
    }
    SECTION("A request that may be repeated is accepted while its latency objective is before that")
    {
        const auto rule = makeRoute(retry_policy::safe);
        CHECK(stop.admits(rule, start + milliseconds(9000), start + milliseconds(4750)));
        CHECK_FALSE(stop.admits(rule, start + milliseconds(9000), start + milliseconds(4751)));
        CHECK(stop.admits(rule, start + milliseconds(4900), start + milliseconds(4800)));
    }
}
