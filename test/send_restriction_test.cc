#include "limpetpier/coordination/send_restriction.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

searcher_notice pushback(milliseconds time)
{
    return { false, time, {} };
}

} // namespace

TEST_CASE("A searcher's notices restrict the sends to it")
{
    const monotonic_time now { std::chrono::hours(1) };
    send_restriction restriction;
    REQUIRE(restriction.allowsSend(now));

    SECTION("a reply without a notice changes nothing")
    {
        CHECK_FALSE(restriction.apply({}, now));
        CHECK(restriction.allowsSend(now));
    }
    SECTION("nothing is sent to a leaving searcher")
    {
        CHECK(restriction.apply({ true, {}, {} }, now));
        CHECK_FALSE(restriction.allowsSend(now + std::chrono::hours(1)));
        CHECK(restriction.sendableFrom() == monotonic_time::max());

        SECTION("even if a later reply lacks the notice")
        {
            CHECK_FALSE(restriction.apply({}, now));
            CHECK(restriction.isLeaving());
        }
        SECTION("until it restarts")
        {
            restriction.reset();
            CHECK(restriction.allowsSend(now));
        }
    }
    SECTION("nothing is sent before the end of a pushback")
    {
        CHECK(restriction.apply(pushback(milliseconds(1500)), now));
        CHECK_FALSE(restriction.allowsSend(now + milliseconds(1499)));
        CHECK(restriction.allowsSend(now + milliseconds(1500)));
        CHECK(restriction.sendableFrom() == now + milliseconds(1500));

        SECTION("a later one that ends earlier does not shorten it")
        {
            CHECK_FALSE(restriction.apply(pushback(milliseconds(200)), now + milliseconds(100)));
            CHECK_FALSE(restriction.apply(pushback(milliseconds(0)), now + milliseconds(100)));
            CHECK(restriction.sendableFrom() == now + milliseconds(1500));
        }
        SECTION("a later one that ends later extends it")
        {
            CHECK(restriction.apply(pushback(milliseconds(3000)), now + milliseconds(100)));
            CHECK(restriction.sendableFrom() == now + milliseconds(3100));
        }
        SECTION("a restart ends it")
        {
            restriction.reset();
            CHECK(restriction.allowsSend(now));
        }
    }
    SECTION("a pushback of zero has no effect")
    {
        CHECK_FALSE(restriction.apply(pushback(milliseconds(0)), now));
        CHECK(restriction.allowsSend(now));
    }
    SECTION("an absurdly long pushback is shortened")
    {
        CHECK(restriction.apply(pushback(milliseconds::max()), now));
        CHECK(restriction.sendableFrom() == now + send_restriction::maxPushback);
    }
    SECTION("a negative pushback has no effect")
    {
        CHECK_FALSE(restriction.apply(pushback(milliseconds::min()), now));
        CHECK(restriction.allowsSend(now));
    }
}
