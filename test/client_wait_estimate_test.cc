#include "limpetpier/coordination/client_wait_estimate.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

TEST_CASE("The time that a client has waited follows from the time left of other requests")
{
    constexpr milliseconds limit { 20 };
    client_wait_estimate estimate;
    REQUIRE(estimate.record(milliseconds(400), limit) == milliseconds(0));

    SECTION("a request that arrives with less time was delayed")
    {
        CHECK(estimate.record(milliseconds(393), limit) == milliseconds(7));
        CHECK(estimate.record(milliseconds(380), limit) == milliseconds(20));
        CHECK(estimate.record(milliseconds(400), limit) == milliseconds(0));
    }
    SECTION("a large difference means another budget or a repeated request")
    {
        CHECK(estimate.record(milliseconds(379), limit) == milliseconds(0));
        CHECK(estimate.record(milliseconds(0), limit) == milliseconds(0));
    }
    SECTION("one client with an unusual budget is forgotten")
    {
        estimate.record(milliseconds(60'000), limit);
        CHECK(estimate.record(milliseconds(393), limit) == milliseconds(0));
        for (int request = 0; request < 250; ++request)
            estimate.record(milliseconds(400), limit);
        CHECK(estimate.record(milliseconds(393), limit) == milliseconds(7));
    }
}
