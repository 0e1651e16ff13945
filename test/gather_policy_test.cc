#include "limpetpier/coordination/gather_policy.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };
constexpr milliseconds objective { 80 };
constexpr microseconds noDelay { 0 };
const gather_policy policy(20, 0.89, start, objective, noDelay);

} // namespace

TEST_CASE("The least coverage is a whole number of parts, rounded up")
{
    CHECK(policy.minimumParts() == 18);
    CHECK(gather_policy(20, 0.85, start, objective, noDelay).minimumParts() == 17);
    CHECK(gather_policy(3, 0, start, objective, noDelay).minimumParts() == 1);
}

TEST_CASE("While there is time all parts are waited for")
{
    CHECK_FALSE(policy.shouldAnswer({ 19, 0, 0 }, start + milliseconds(20)));
    CHECK(policy.shouldAnswer({ 20, 0, 0 }, start + milliseconds(20)));
}

TEST_CASE("Parts that cannot come are not waited for")
{
    CHECK(policy.shouldAnswer({ 19, 1, 0 }, start + milliseconds(20)));
}

TEST_CASE("When the objective is nearly over the least coverage is enough")
{
    const auto late = start + objective - gather_policy::answerMargin;
    CHECK(policy.shouldAnswer({ 18, 0, 0 }, late));
    CHECK_FALSE(policy.shouldAnswer({ 17, 0, 0 }, late));
    CHECK(policy.nextDecisionTime(start + milliseconds(20)) == late);
}

TEST_CASE("A process whose answers leave late decides earlier")
{
    answer_delay delay;
    CHECK(delay.expected() == noDelay);

    SECTION("by what the delay is expected to be")
    {
        for (int answer = 0; answer < 20; ++answer)
            delay.record(milliseconds(4));
        const gather_policy slow(20, 0.89, start, objective, delay.expected());
        CHECK(slow.partialAnswerTime() <= policy.partialAnswerTime() - milliseconds(3));
        CHECK(slow.partialAnswerTime() >= policy.partialAnswerTime() - milliseconds(4));
    }

    SECTION("but keeps most of the objective for the parts")
    {
        delay.record(milliseconds(500));
        CHECK(gather_policy(20, 0.89, start, objective, delay.expected()).partialAnswerTime() == policy.partialAnswerTime() - objective / 8);
    }

    SECTION("and forgets a long delay slowly")
    {
        delay.record(milliseconds(8));
        const auto raised = delay.expected();
        delay.record(milliseconds(0));
        CHECK(delay.expected() < raised);
        CHECK(delay.expected() > raised / 2);
    }
}

TEST_CASE("A query that can no longer reach its coverage has failed")
{
    CHECK_FALSE(policy.cannotSucceed({ 0, 2, 0 }, start));
    CHECK(policy.cannotSucceed({ 17, 3, 0 }, start));
}

TEST_CASE("Parts that find no searcher for a fifth of the objective count as failed")
{
    CHECK_FALSE(policy.cannotSucceed({ 0, 0, 20 }, start + milliseconds(15)));
    CHECK(policy.cannotSucceed({ 10, 0, 3 }, start + milliseconds(16)));
    CHECK_FALSE(policy.cannotSucceed({ 10, 0, 2 }, start + milliseconds(16)));
}
