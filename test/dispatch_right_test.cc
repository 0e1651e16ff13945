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

assignment_epoch epochOf(int nodes, std::uint64_t number)
{
    assignment_epoch epoch;
    epoch.number = epoch_number { number };
    for (int index = 0; index < nodes; ++index)
        epoch.members.push_back({ node(index), data_centre_id { "x" }, "127.0.0.1:1", incarnation_number { 1 } });
    return epoch;
}

const monotonic_time start { std::chrono::hours { 1 } };

} // namespace

TEST_CASE("A member's right to dispatch")
{
    const auto epoch = epochOf(5, 3);
    dispatch_right right(node(0), ttl);
    right.adopt(epoch, revision_number { 7 });
    const auto acknowledge = [&](int witness, monotonic_time sentAt, std::uint64_t witnessEpoch = 3, std::uint64_t revision = 7) {
        right.recordAck(node(witness), epoch_number { witnessEpoch }, revision_number { revision }, sentAt);
    };

    SECTION("is stale before anybody vouched")
    {
        REQUIRE_FALSE(right.isFresh(start));
    }

    SECTION("is fresh with a majority of its group")
    {
        acknowledge(1, start);
        REQUIRE_FALSE(right.isFresh(start));
        acknowledge(2, start);
        REQUIRE(right.isFresh(start));

        SECTION("and lapses by the time at which the probes were sent")
        {
            REQUIRE(right.isFresh(start + ttl - milliseconds(1)));
            REQUIRE_FALSE(right.isFresh(start + ttl));
        }

        SECTION("so a process that was paused finds it stale when it resumes")
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

    SECTION("is not renewed by nodes that are no witnesses")
    {
        acknowledge(8, start);
        acknowledge(9, start);
        REQUIRE_FALSE(right.isFresh(start));
    }

    SECTION("ends when the epoch no longer contains the member")
    {
        acknowledge(1, start);
        acknowledge(2, start);
        auto next = *withoutMember(epoch, node(0));
        right.adopt(next, revision_number { 7 });
        REQUIRE_FALSE(right.isFresh(start));
    }
}

TEST_CASE("A successor waits for earlier owners")
{
    const auto before = epochOf(5, 3);
    const auto after = *withoutMember(before, node(0));
    owner_fence fence(node(1), ttl);
    fence.adopt(after, revision_number { 1 }, start);
    const std::set<node_id> earlier { node(0) };
    const auto hear = [&](int peer, bool released, monotonic_time when, std::uint64_t epoch = 4) {
        fence.recordPeerState(node(peer), epoch_number { epoch }, revision_number { 1 }, released, when);
    };

    SECTION("and starts at once when the earlier owner released its work")
    {
        REQUIRE_FALSE(fence.allStopped(earlier, workLimit, start));
        hear(0, true, start);
        REQUIRE(fence.allStopped(earlier, workLimit, start));
    }

    SECTION("and does not count a release in an earlier epoch")
    {
        hear(0, true, start, 3);
        REQUIRE_FALSE(fence.allStopped(earlier, workLimit, start));
    }

    SECTION("and starts after the right and the work of a silent owner must have ended")
    {
        hear(2, false, start);
        hear(3, false, start);
        REQUIRE_FALSE(fence.allStopped(earlier, workLimit, start + ttl + workLimit - milliseconds(1)));
        REQUIRE(fence.allStopped(earlier, workLimit, start + ttl + workLimit));
    }

    SECTION("and does not start while enough witnesses may still renew the earlier right")
    {
        hear(2, false, start);
        REQUIRE_FALSE(fence.allStopped(earlier, workLimit, start + std::chrono::hours(1)));
    }
}
