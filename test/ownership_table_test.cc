#include "limpetpier/coordination/ownership_table.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };

epoch_member member(const std::string& name)
{
    return { node_id { name }, data_centre_id { name }, "127.0.0.1:1", incarnation_number { 1 } };
}

// Creates one searcher in each data centre, so that each member owns the searcher in its own.
operator_document documentWith(const std::vector<std::string>& dataCentres, std::uint64_t revision)
{
    operator_document document;
    document.revision = revision_number { revision };
    front_spec front;
    front.id = front_id { "commandes" };
    front.kind = front_kind::single;
    front.deadline = milliseconds { 300 };
    for (const auto& name : dataCentres)
        front.searchers.push_back({ searcher_id { "in-" + name }, data_centre_id { name }, "127.0.0.1:1", 0, false });
    document.fronts[front.id] = front;
    return document;
}

} // namespace

TEST_CASE("A node activates a searcher only when no earlier owner can still send to it")
{
    const auto document = documentWith({ "a", "b" }, 1);
    const auto firstEpoch = *withMember({}, member("a"));
    const auto secondEpoch = *withMember(firstEpoch, member("b"));
    const searcher_id ownSearcher { "in-b" };
    ownership_table table(node_id { "b" });
    owner_fence fence(node_id { "b" });
    fence.adopt(secondEpoch, document.revision, start);
    table.adopt(document, secondEpoch);
    table.activateUnblocked(fence, start);

    SECTION("after the node joins, the searcher is pending until its earlier owner has stopped")
    {
        REQUIRE(table.owns(ownSearcher));
        REQUIRE_FALSE(table.isActive(ownSearcher));
        REQUIRE(table.blockingOwners() == std::set<node_id> { node_id { "a" } });
    }

    SECTION("the searcher becomes active when its earlier owner releases it")
    {
        fence.recordPeerState(node_id { "a" }, secondEpoch.number, document.revision, true, start);
        table.activateUnblocked(fence, start);
        REQUIRE(table.isActive(ownSearcher));

        SECTION("and stays active through an epoch change that does not change its owner")
        {
            const auto withThirdMember = *withMember(secondEpoch, member("c"));
            fence.adopt(withThirdMember, document.revision, start);
            table.adopt(document, withThirdMember);
            table.activateUnblocked(fence, start);
            REQUIRE(table.isActive(ownSearcher));
        }

        SECTION("and is dropped when the node no longer owns it")
        {
            table.adopt(document, *withoutMember(secondEpoch, node_id { "b" }));
            REQUIRE_FALSE(table.owns(ownSearcher));
        }
    }

    SECTION("a release reported for an earlier document revision is ignored")
    {
        fence.recordPeerState(node_id { "a" }, secondEpoch.number, revision_number { 0 }, true, start);
        table.activateUnblocked(fence, start);
        REQUIRE_FALSE(table.isActive(ownSearcher));
    }
}

TEST_CASE("A new searcher becomes active at once in the first epoch, because it has no earlier owner")
{
    const auto firstEpoch = *withMember({}, member("a"));
    ownership_table table(node_id { "a" });
    owner_fence fence(node_id { "a" });
    fence.adopt(firstEpoch, revision_number { 1 }, start);
    table.adopt(documentWith({ "a" }, 1), firstEpoch);
    table.activateUnblocked(fence, start);
    REQUIRE(table.isActive(searcher_id { "in-a" }));
}
