#include "limpetpier/coordination/dispatch_right.h"

#include <catch2/catch.hpp>

#include "limpetpier/coordination/ownership.h"

using namespace limpetpier;

namespace {

constexpr milliseconds ttl { 2000 };
constexpr milliseconds workLimit { 1000 };

node_id node(int number)
{
    return node_id { "n" + std::to_string(number) };
}

assignment_epoch epochWithNodes(int nodeCount, std::uint64_t number)
{
    assignment_epoch epoch;
    epoch.number = epoch_number { number };
    for (int index = 0; index < nodeCount; ++index)
        epoch.members.push_back({ node(index), data_centre_id { "x" }, "127.0.0.1:1", incarnation_number { 1 } });
    return epoch;
}

const monotonic_time start { std::chrono::hours { 1 } };

} // namespace

TEST_CASE("A member's right to dispatch")
{
    const auto epoch = epochWithNodes(5, 3);
    dispatch_right right(node(0), ttl);
    right.adopt(epoch, revision_number { 7 });
    const auto acknowledge = [&](int witness, monotonic_time sentAt, std::uint64_t witnessEpoch = 3, std::uint64_t revision = 7) {
        right.recordAck(node(witness), epoch_number { witnessEpoch }, revision_number { revision }, sentAt);
    };

    SECTION("is stale before any witness has acknowledged a probe")
    {
        REQUIRE_FALSE(right.isFresh(start));
    }

    SECTION("is fresh once a majority of its group, itself included, has acknowledged")
    {
        acknowledge(1, start);
        REQUIRE_FALSE(right.isFresh(start));
        acknowledge(2, start);
        REQUIRE(right.isFresh(start));

        SECTION("and expires one time-to-live after the probes were sent")
        {
            REQUIRE(right.isFresh(start + ttl - milliseconds(1)));
            REQUIRE_FALSE(right.isFresh(start + ttl));
        }

        SECTION("and is stale when a process resumes after a pause longer than the time-to-live")
        {
            REQUIRE_FALSE(right.isFresh(start + std::chrono::minutes(5)));
        }
    }

    SECTION("is not renewed by witnesses that know a later epoch")
    {
        acknowledge(1, start, 4);
        acknowledge(2, start, 4);
        REQUIRE_FALSE(right.isFresh(start));
    }

    SECTION("is not renewed by witnesses that know a later document")
    {
        acknowledge(1, start, 3, 8);
        acknowledge(2, start, 3, 8);
        REQUIRE_FALSE(right.isFresh(start));
    }

    SECTION("is not renewed by nodes that are not its witnesses")
    {
        acknowledge(8, start);
        acknowledge(9, start);
        REQUIRE_FALSE(right.isFresh(start));
    }

    SECTION("ends when the epoch no longer contains the member")
    {
        acknowledge(1, start);
        acknowledge(2, start);
        auto epochWithoutSelf = *withoutMember(epoch, node(0));
        right.adopt(epochWithoutSelf, revision_number { 7 });
        REQUIRE_FALSE(right.isFresh(start));
    }
}

TEST_CASE("A successor waits until earlier owners have stopped")
{
    const auto before = epochWithNodes(5, 3);
    const auto after = *withoutMember(before, node(0));
    owner_fence fence(node(1), ttl);
    fence.adopt(after, revision_number { 1 }, start);
    const std::set<node_id> earlierOwners { node(0) };
    const auto reportState = [&](int peer, bool released, monotonic_time at, std::uint64_t epoch = 4) {
        fence.recordPeerState(node(peer), epoch_number { epoch }, revision_number { 1 }, released, at);
    };

    SECTION("and starts at once when the earlier owner reports that it released its work")
    {
        REQUIRE_FALSE(fence.allStopped(earlierOwners, workLimit, start));
        reportState(0, true, start);
        REQUIRE(fence.allStopped(earlierOwners, workLimit, start));
    }

    SECTION("and ignores a release reported in an earlier epoch")
    {
        reportState(0, true, start, 3);
        REQUIRE_FALSE(fence.allStopped(earlierOwners, workLimit, start));
    }

    SECTION("and starts after the right and the work limit of an unresponsive owner have expired")
    {
        reportState(2, false, start);
        reportState(3, false, start);
        REQUIRE_FALSE(fence.allStopped(earlierOwners, workLimit, start + ttl + workLimit - milliseconds(1)));
        REQUIRE(fence.allStopped(earlierOwners, workLimit, start + ttl + workLimit));
    }

    SECTION("and keeps waiting while enough witnesses may still renew the earlier right")
    {
        reportState(2, false, start);
        REQUIRE_FALSE(fence.allStopped(earlierOwners, workLimit, start + std::chrono::hours(1)));
    }
}
