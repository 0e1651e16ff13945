#include "limpetpier/coordination/cold_allowance.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

TEST_CASE("A cold searcher gets at most its request limit in any second")
{
    const monotonic_time start { std::chrono::hours { 1 } };
    cold_allowance allowance;
    CHECK_FALSE(allowance.allows(start));
    allowance.changeLimit(1);
    REQUIRE(allowance.allows(start));
    allowance.record(start);
    CHECK_FALSE(allowance.allows(start + milliseconds(1000)));
    CHECK(allowance.allows(start + milliseconds(1300)));
}
