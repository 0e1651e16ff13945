#include "limpetpier/coordination/fan_out_plan.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const snapshot_id pinned { 3, 1 };
const key_range lower { 0, keySpaceSize / 2 };
const key_range upper { keySpaceSize / 2, keySpaceSize };

pinned_snapshot twoShards()
{
    const auto name = [](const char* text) { return searcher_id { text }; };
    return { pinned, { { lower, { name("0a"), name("0b") } }, { upper, { name("1a"), name("1b") } } }, keySpaceSize };
}

sub_request_result answerFor(attempt_ref ref, key_range range, snapshot_id snapshot = pinned)
{
    return { ref, outcome::answered, reason::none, { snapshot, range }, { { 1.0, range.first, "hit" } } };
}

sub_request_result refusal(attempt_ref ref, reason why)
{
    return { ref, outcome::not_run, why, {}, {} };
}

} // namespace

TEST_CASE("A query over two shards")
{
    hedge_policy hedges(0.05);
    ratio_budget retries(0.1, 2);
    fan_out_plan plan(twoShards(), hedges, retries);
    const auto first = plan.start();
    REQUIRE(first.size() == 2);

    SECTION("is whole when both shards answered")
    {
        plan.onReply(answerFor(first[0].ref, lower));
        plan.onReply(answerFor(first[1].ref, upper));
        REQUIRE(plan.complete());
        REQUIRE(plan.coverage().fraction == 1);
        REQUIRE(plan.coverage().missing.empty());
        REQUIRE(plan.bestHits(10).size() == 2);
    }

    SECTION("asks the other replica after a failure")
    {
        const auto next = plan.onReply(refusal(first[0].ref, reason::target_shed));
        REQUIRE(next.size() == 1);
        REQUIRE(next[0].searcher == searcher_id { "0b" });
    }

    SECTION("does not use up the retry budget for tries that reached no target")
    {
        plan.onReply(refusal(first[0].ref, reason::link_lost));
        plan.onReply(refusal(first[1].ref, reason::link_lost));
        REQUIRE(retries.tryWithdraw());
        REQUIRE(retries.tryWithdraw());
    }

    SECTION("gives a shard up when the retry budget is used up, and says so")
    {
        REQUIRE(retries.tryWithdraw());
        REQUIRE(retries.tryWithdraw());
        REQUIRE(plan.onReply(refusal(first[0].ref, reason::target_shed)).empty());
        plan.onReply(answerFor(first[1].ref, upper));
        REQUIRE(plan.complete());
        REQUIRE(plan.coverage().fraction == 0.5);
        REQUIRE(plan.coverage().missing.size() == 1);
        REQUIRE(plan.coverage().missing[0].why == reason::target_shed);
    }

    SECTION("never merges a reply of another snapshot")
    {
        const auto next = plan.onReply(answerFor(first[0].ref, lower, { 4, 1 }));
        REQUIRE(next.size() == 1);
        REQUIRE(plan.bestHits(10).empty());
    }

    SECTION("never merges a reply for another range")
    {
        plan.onReply(answerFor(first[0].ref, upper));
        REQUIRE(plan.coverage().fraction == 0);
    }

    SECTION("counts a shard once when a hedge and the first try both answer")
    {
        const auto hedge = plan.onSlowAttempt(first[0].ref);
        REQUIRE(hedge.size() == 1);
        REQUIRE(hedge[0].hedge);
        plan.onReply(answerFor(hedge[0].ref, lower));
        const auto cancels = plan.takeCancellations();
        REQUIRE(cancels.size() == 1);
        REQUIRE(cancels[0].ref == first[0].ref);
        plan.onReply(answerFor(first[0].ref, lower));
        REQUIRE(plan.bestHits(10).size() == 1);
        REQUIRE(plan.coverage().fraction == 0.5);
    }

    SECTION("hedges a shard only while a replica is left")
    {
        REQUIRE(plan.onSlowAttempt(first[0].ref).size() == 1);
        REQUIRE(plan.onSlowAttempt(first[0].ref).empty());
    }

    SECTION("asks the other replica when an owner gives no sign of life, from the retry budget")
    {
        REQUIRE(plan.onUnresponsiveOwner(first[0].ref).size() == 1);
        REQUIRE(plan.onUnresponsiveOwner(first[0].ref).empty());
        REQUIRE(retries.tryWithdraw());
        REQUIRE(plan.onUnresponsiveOwner(first[1].ref).empty());
    }

    SECTION("knows when its snapshot has vanished")
    {
        const auto next = plan.onReply(refusal(first[0].ref, reason::version_gone));
        REQUIRE_FALSE(plan.snapshotLost());
        plan.onReply(refusal(next[0].ref, reason::version_gone));
        REQUIRE(plan.snapshotLost());
    }

    SECTION("labels open shards at the deadline")
    {
        plan.onReply(answerFor(first[0].ref, lower));
        REQUIRE(plan.abandon().size() == 1);
        REQUIRE(plan.coverage().missing[0].why == reason::deadline_passed);
    }
}

TEST_CASE("Coverage is never rounded up to one")
{
    hedge_policy hedges(0);
    ratio_budget retries(0, 0);
    const key_range almost { 0, keySpaceSize - 1 };
    fan_out_plan plan({ pinned, { { almost, { searcher_id { "0a" } } } }, keySpaceSize - 1 }, hedges, retries);
    plan.onReply(answerFor(plan.start()[0].ref, almost));
    REQUIRE(plan.coverage().fraction < 1);
    REQUIRE(plan.coverage().missing.size() == 1);
}
