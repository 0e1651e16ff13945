#include "limpetpier/coordination/fan_out_plan.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const snapshot_id pinnedId { 3, 1 };
const key_range lower { 0, keySpaceSize / 2 };
const key_range upper { keySpaceSize / 2, keySpaceSize };

pinned_snapshot twoShards()
{
    const auto searcher = [](const char* id) { return searcher_id { id }; };
    return { pinnedId, { { lower, { searcher("0a"), searcher("0b") } }, { upper, { searcher("1a"), searcher("1b") } } }, keySpaceSize };
}

sub_request_result replyFor(attempt_ref ref, key_range range, snapshot_id snapshot = pinnedId)
{
    return { ref, outcome::answered, reason::none, { snapshot, range }, { { 1.0, range.first, "hit" } } };
}

sub_request_result refusalFor(attempt_ref ref, reason why)
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

    SECTION("is complete with full coverage when both shards answered")
    {
        plan.onReply(replyFor(first[0].ref, lower));
        plan.onReply(replyFor(first[1].ref, upper));
        REQUIRE(plan.complete());
        REQUIRE(plan.coverage().fraction == 1);
        REQUIRE(plan.coverage().missing.empty());
        REQUIRE(plan.bestHits(10).size() == 2);
    }

    SECTION("retries at the other replica after a failure")
    {
        const auto next = plan.onReply(refusalFor(first[0].ref, reason::target_shed));
        REQUIRE(next.size() == 1);
        REQUIRE(next[0].searcher == searcher_id { "0b" });
    }

    SECTION("does not charge the retry budget for attempts that reached no target")
    {
        plan.onReply(refusalFor(first[0].ref, reason::link_lost));
        plan.onReply(refusalFor(first[1].ref, reason::link_lost));
        REQUIRE(retries.tryWithdraw());
        REQUIRE(retries.tryWithdraw());
    }

    SECTION("reports a shard as missing when the retry budget is used up")
    {
        REQUIRE(retries.tryWithdraw());
        REQUIRE(retries.tryWithdraw());
        REQUIRE(plan.onReply(refusalFor(first[0].ref, reason::target_shed)).empty());
        plan.onReply(replyFor(first[1].ref, upper));
        REQUIRE(plan.complete());
        REQUIRE(plan.coverage().fraction == 0.5);
        REQUIRE(plan.coverage().missing.size() == 1);
        REQUIRE(plan.coverage().missing[0].why == reason::target_shed);
    }

    SECTION("does not merge a reply from another snapshot")
    {
        const auto next = plan.onReply(replyFor(first[0].ref, lower, { 4, 1 }));
        REQUIRE(next.size() == 1);
        REQUIRE(plan.bestHits(10).empty());
    }

    SECTION("does not merge a reply for another key range")
    {
        plan.onReply(replyFor(first[0].ref, upper));
        REQUIRE(plan.coverage().fraction == 0);
    }

    SECTION("merges a shard once when a hedge and the first attempt both answer")
    {
        const auto hedge = plan.onSlowAttempt(first[0].ref);
        REQUIRE(hedge.size() == 1);
        REQUIRE(hedge[0].hedge);
        plan.onReply(replyFor(hedge[0].ref, lower));
        const auto cancels = plan.takeCancellations();
        REQUIRE(cancels.size() == 1);
        REQUIRE(cancels[0].ref == first[0].ref);
        plan.onReply(replyFor(first[0].ref, lower));
        REQUIRE(plan.bestHits(10).size() == 1);
        REQUIRE(plan.coverage().fraction == 0.5);
    }

    SECTION("hedges a shard only while a replica without an attempt is left")
    {
        REQUIRE(plan.onSlowAttempt(first[0].ref).size() == 1);
        REQUIRE(plan.onSlowAttempt(first[0].ref).empty());
    }

    SECTION("asks the other replica when an owner doesn't respond, within the retry budget")
    {
        REQUIRE(plan.onUnresponsiveOwner(first[0].ref).size() == 1);
        REQUIRE(plan.onUnresponsiveOwner(first[0].ref).empty());
        REQUIRE(retries.tryWithdraw());
        REQUIRE(plan.onUnresponsiveOwner(first[1].ref).empty());
    }

    SECTION("reports a lost snapshot once all replicas of a shard have dropped it")
    {
        const auto next = plan.onReply(refusalFor(first[0].ref, reason::version_gone));
        REQUIRE_FALSE(plan.snapshotLost());
        plan.onReply(refusalFor(next[0].ref, reason::version_gone));
        REQUIRE(plan.snapshotLost());
    }

    SECTION("reports open shards as missing when it is ended at the deadline")
    {
        plan.onReply(replyFor(first[0].ref, lower));
        REQUIRE(plan.abandon().size() == 1);
        REQUIRE(plan.coverage().missing[0].why == reason::deadline_passed);
    }
}

TEST_CASE("Coverage is not rounded up to one when a single key is missing")
{
    hedge_policy hedges(0);
    ratio_budget retries(0, 0);
    const key_range allButLastKey { 0, keySpaceSize - 1 };
    fan_out_plan plan({ pinnedId, { { allButLastKey, { searcher_id { "0a" } } } }, keySpaceSize - 1 }, hedges, retries);
    plan.onReply(replyFor(plan.start()[0].ref, allButLastKey));
    REQUIRE(plan.coverage().fraction < 1);
    REQUIRE(plan.coverage().missing.size() == 1);
}
