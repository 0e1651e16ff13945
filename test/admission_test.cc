#include "limpetpier/coordination/admission.h"

#include <catch2/catch.hpp>

#include "limpetpier/coordination/budgets.h"

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };

} // namespace

TEST_CASE("A front sheds whole queries beyond what it can run")
{
    concurrency_limit limit;
    const auto before = limit.limit();

    SECTION("up to its limit it takes them")
    {
        for (std::uint32_t taken = 0; taken < static_cast<std::uint32_t>(before); ++taken)
            REQUIRE(limit.acquire(0));
        REQUIRE_FALSE(limit.acquire(0));
    }

    SECTION("a class with a larger priority number is shed earlier")
    {
        while (limit.acquire(5)) { }
        REQUIRE(limit.acquire(0));
    }

    SECTION("an overload lowers the limit, once for all queries that met it")
    {
        REQUIRE(limit.acquire(0));
        REQUIRE(limit.acquire(0));
        limit.release(true, start);
        const auto lowered = limit.limit();
        REQUIRE(lowered < before);
        limit.release(true, start + milliseconds(1));
        REQUIRE(limit.limit() == lowered);
    }

    SECTION("success while the limit is used raises it")
    {
        while (limit.acquire(0)) { }
        limit.release(false, start);
        REQUIRE(limit.limit() > before);
    }
}

TEST_CASE("The hedging threshold follows the budget")
{
    SECTION("without a budget nothing is hedged")
    {
        REQUIRE(hedge_policy(0).threshold() == hedge_policy::noHedging());
    }

    SECTION("before enough replies were seen nothing is hedged")
    {
        REQUIRE(hedge_policy(0.05).threshold() == hedge_policy::noHedging());
    }

    SECTION("ordinary replies lie below it and stragglers above it")
    {
        hedge_policy hedges(0.05);
        for (int reply = 0; reply < 1000; ++reply)
            hedges.recordServiceTime(microseconds(reply % 100 == 0 ? 40'000 : 4000));
        REQUIRE(hedges.threshold() > microseconds(4000));
        REQUIRE(hedges.threshold() < microseconds(40'000));
    }

    SECTION("the budget is the last guard")
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
