#include "limpetpier/coordination/gather_policy.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };
constexpr milliseconds objective { 80 };
constexpr microseconds noDelay { 0 };
const gather_policy policy(20, 0.89, start, objective, milliseconds(0), noDelay);

} // namespace

TEST_CASE("The minimum coverage is rounded up to a whole number of parts")
{
    CHECK(policy.minimumParts() == 18);
    CHECK(gather_policy(20, 0.85, start, objective, milliseconds(0), noDelay).minimumParts() == 17);
    CHECK(gather_policy(3, 0, start, objective, milliseconds(0), noDelay).minimumParts() == 1);
}

TEST_CASE("All parts are waited for before the objective is nearly over")
{
    CHECK_FALSE(policy.shouldAnswer({ 19, 0, 0 }, start + milliseconds(20)));
    CHECK(policy.shouldAnswer({ 20, 0, 0 }, start + milliseconds(20)));
}

TEST_CASE("Failed parts are not waited for")
{
    CHECK(policy.shouldAnswer({ 19, 1, 0 }, start + milliseconds(20)));
}

TEST_CASE("The minimum coverage is sufficient when the objective is nearly over")
{
    const auto nearlyOver = start + objective - gather_policy::answerMargin;
    CHECK(policy.shouldAnswer({ 18, 0, 0 }, nearlyOver));
    CHECK_FALSE(policy.shouldAnswer({ 17, 0, 0 }, nearlyOver));
    CHECK(policy.nextDecisionTime(start + milliseconds(20)) == nearlyOver);
}

TEST_CASE("The decision is earlier by the expected answer delay")
{
    answer_delay delay;
    CHECK(delay.expected() == noDelay);

    SECTION("which approaches a constant delay")
    {
        for (int answer = 0; answer < 20; ++answer)
            delay.record(milliseconds(4));
        const gather_policy delayed(20, 0.89, start, objective, milliseconds(0), delay.expected());
        CHECK(delayed.partialAnswerTime() <= policy.partialAnswerTime() - milliseconds(3));
        CHECK(delayed.partialAnswerTime() >= policy.partialAnswerTime() - milliseconds(4));
    }

    SECTION("which is compensated only up to an eighth of the objective")
    {
        delay.record(milliseconds(500));
        CHECK(gather_policy(20, 0.89, start, objective, milliseconds(0), delay.expected()).partialAnswerTime() == policy.partialAnswerTime() - objective / 8);
    }

    SECTION("which decreases slowly after a long delay")
    {
        delay.record(milliseconds(8));
        const auto increased = delay.expected();
        delay.record(milliseconds(0));
        CHECK(delay.expected() < increased);
        CHECK(delay.expected() > increased / 2);
    }
}

TEST_CASE("A query fails when it can no longer reach the minimum coverage")
{
    CHECK_FALSE(policy.cannotSucceed({ 0, 2, 0 }, start));
    CHECK(policy.cannotSucceed({ 17, 3, 0 }, start));
}

TEST_CASE("Parts that no searcher accepts within a fifth of the objective count as failed")
{
    CHECK_FALSE(policy.cannotSucceed({ 0, 0, 20 }, start + milliseconds(15)));
    CHECK(policy.cannotSucceed({ 10, 0, 3 }, start + milliseconds(16)));
    CHECK_FALSE(policy.cannotSucceed({ 10, 0, 2 }, start + milliseconds(16)));
}

TEST_CASE("A query can be sent once enough of its parts can")
{
    const monotonic_time now { std::chrono::hours(1) };
    const gather_policy policy(4, 0.75, now, milliseconds(100), milliseconds(0), {});
    const auto never = monotonic_time::max();
    CHECK(policy.coverageSendableFrom({ now, now, now, never }) == now);
    CHECK(policy.coverageSendableFrom({ never, now + milliseconds(20), now, now + milliseconds(10) }) == now + milliseconds(20));
    CHECK(policy.coverageSendableFrom({ now, never, now, never }) == never);
    CHECK(policy.coverageSendableFrom({}) == never);
}

TEST_CASE("The time that a client waited before its request arrived counts towards the objective")
{
    CHECK(gather_policy(20, 0.89, start, objective, milliseconds(7), noDelay).partialAnswerTime() == policy.partialAnswerTime() - milliseconds(7));
    CHECK(gather_policy(20, 0.89, start, objective, milliseconds(70), noDelay).partialAnswerTime() == policy.partialAnswerTime() - objective / gather_policy::maxWaitDivisor);
    CHECK(gather_policy(20, 0.89, start, objective, milliseconds(7), noDelay).unsentDeadline() == policy.unsentDeadline());
}
