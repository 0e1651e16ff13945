#include "limpetpier/coordination/suspicion_table.h"

#include <catch2/catch.hpp>

#include "limpetpier/coordination/ownership.h"

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };

node_id node(int number)
{
    return node_id { "n" + std::to_string(number) };
}

assignment_epoch epochWithEightNodes()
{
    assignment_epoch epoch;
    epoch.number = epoch_number { 1 };
    for (int number = 0; number < 8; ++number)
        epoch.members.push_back({ node(number), data_centre_id { "x" }, "127.0.0.1:1", incarnation_number { 1 } });
    return epoch;
}

// Simulates a running process that receives messages from every node but one.
void runWithSilentNode(suspicion_table& table, int silentNode, milliseconds duration)
{
    for (auto elapsed = milliseconds(0); elapsed <= duration; elapsed += milliseconds(300)) {
        for (int number = 0; number < 8; ++number) {
            if (number != silentNode)
                table.recordContact(node(number), start + elapsed);
        }
        table.tick(start + elapsed);
    }
}

} // namespace

TEST_CASE("A silent member")
{
    suspicion_table table(node(0));
    table.adopt(epochWithEightNodes(), start);
    runWithSilentNode(table, 5, milliseconds(2100));
    const auto now = start + milliseconds(2100);

    SECTION("is suspected by a witness")
    {
        REQUIRE(table.suspicionsToSend(now).size() == 1);
        REQUIRE(table.suspicionsToSend(now)[0].subject == node(5));
    }

    SECTION("is not removable while only one witness suspects it, because only the link between the two may be broken")
    {
        REQUIRE(table.removableMembers(now).empty());
    }

    SECTION("is removable when so many witnesses suspect it that it cannot renew its right")
    {
        table.mergeSuspicions({ { node(5), incarnation_number { 1 }, node(1), 0 }, { node(5), incarnation_number { 1 }, node(2), 0 } }, now);
        REQUIRE(table.removableMembers(now).empty());
        table.mergeSuspicions({ { node(5), incarnation_number { 1 }, node(3), 0 } }, now);
        REQUIRE(table.removableMembers(now) == std::vector<node_id> { node(5) });

        SECTION("until the suspicions expire")
        {
            REQUIRE(table.removableMembers(now + suspicionLifetime).empty());
        }
    }

    SECTION("is not removable because of suspicions of an earlier incarnation")
    {
        for (int witness = 1; witness < 5; ++witness)
            table.mergeSuspicions({ { node(5), incarnation_number { 0 }, node(witness), 0 } }, now);
        REQUIRE(table.removableMembers(now).empty());
    }
}

TEST_CASE("A process that was paused suspects no member when it resumes")
{
    suspicion_table table(node(0));
    table.adopt(epochWithEightNodes(), start);
    table.tick(start);
    table.tick(start + std::chrono::minutes(1));
    REQUIRE(table.suspicionsToSend(start + std::chrono::minutes(1)).empty());
}
