#include "limpetpier/coordination/admission.h"

#include <catch2/catch.hpp>

#include "limpetpier/coordination/budgets.h"

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };

} // namespace

TEST_CASE("The concurrency limit sheds whole queries and adapts to overload")
{
    concurrency_limit limit;
    const auto initial = limit.limit();

    SECTION("admits queries up to the limit")
    {
        for (std::uint32_t admitted = 0; admitted < static_cast<std::uint32_t>(initial); ++admitted)
            REQUIRE(limit.acquire(0));
        REQUIRE_FALSE(limit.acquire(0));
    }

    SECTION("sheds a class with a larger priority number earlier")
    {
        while (limit.acquire(5)) { }
        REQUIRE(limit.acquire(0));
    }

    SECTION("decreases only once when several queries meet the same overload")
    {
        REQUIRE(limit.acquire(0));
        REQUIRE(limit.acquire(0));
        limit.release(true, start);
        const auto decreased = limit.limit();
        REQUIRE(decreased < initial);
        limit.release(true, start + milliseconds(1));
        REQUIRE(limit.limit() == decreased);
    }

    SECTION("increases after a success while the limit is in use")
    {
        while (limit.acquire(0)) { }
        limit.release(false, start);
        REQUIRE(limit.limit() > initial);
    }
}

TEST_CASE("The hedging policy keeps to its budget")
{
    SECTION("has no threshold without a budget")
    {
        REQUIRE(hedge_policy(0).threshold() == hedge_policy::noHedging());
    }

    SECTION("has no threshold before enough replies were recorded")
    {
        REQUIRE(hedge_policy(0.05).threshold() == hedge_policy::noHedging());
    }

    SECTION("sets the threshold between normal and slow replies")
    {
        hedge_policy hedges(0.05);
        for (int reply = 0; reply < 1000; ++reply)
            hedges.recordServiceTime(microseconds(reply % 100 == 0 ? 40'000 : 4000));
        REQUIRE(hedges.threshold() > microseconds(4000));
        REQUIRE(hedges.threshold() < microseconds(40'000));
    }

    SECTION("refuses hedges when the budget is used up")
    {
        hedge_policy hedges(0.05);
        int allowed = 0;
        while (allowed < 1000 && hedges.tryWithdrawHedge())
            ++allowed;
        REQUIRE(allowed < 1000);
        for (int reply = 0; reply < 20; ++reply)
            hedges.recordServiceTime(microseconds(4000));
        REQUIRE(hedges.tryWithdrawHedge());
        REQUIRE_FALSE(hedges.tryWithdrawHedge());
    }
}
