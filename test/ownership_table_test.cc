#include "limpetpier/coordination/ownership_table.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };

epoch_member member(const std::string& name)
{
    return { node_id { name }, data_centre_id { name }, "127.0.0.1:1", incarnation_number { 1 } };
}

// One searcher in each data centre, so each member owns the one in its own.
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

TEST_CASE("A node uses a searcher only when no earlier owner can")
{
    const auto document = documentWith({ "a", "b" }, 1);
    const auto alone = *withMember({}, member("a"));
    const auto both = *withMember(alone, member("b"));
    const searcher_id own { "in-b" };
    ownership_table table(node_id { "b" });
    owner_fence fence(node_id { "b" });
    fence.adopt(both, document.revision, start);
    table.adopt(document, both);
    table.activateUnblocked(fence, start);

    SECTION("after joining it waits for the node that owned the searcher before")
    {
        REQUIRE(table.owns(own));
        REQUIRE_FALSE(table.isActive(own));
        REQUIRE(table.blockingOwners() == std::set<node_id> { node_id { "a" } });
    }

    SECTION("it starts when that node released it")
    {
        fence.recordPeerState(node_id { "a" }, both.number, document.revision, true, start);
        table.activateUnblocked(fence, start);
        REQUIRE(table.isActive(own));

        SECTION("and keeps it through a change that leaves it the owner")
        {
            const auto three = *withMember(both, member("c"));
            fence.adopt(three, document.revision, start);
            table.adopt(document, three);
            table.activateUnblocked(fence, start);
            REQUIRE(table.isActive(own));
        }

        SECTION("and gives it up when it is the owner no longer")
        {
            table.adopt(document, *withoutMember(both, node_id { "b" }));
            REQUIRE_FALSE(table.owns(own));
        }
    }

    SECTION("a release under an earlier document does not count")
    {
        fence.recordPeerState(node_id { "a" }, both.number, revision_number { 0 }, true, start);
        table.activateUnblocked(fence, start);
        REQUIRE_FALSE(table.isActive(own));
    }
}

TEST_CASE("A searcher that is new in the document waits for nobody in the first epoch")
{
    const auto alone = *withMember({}, member("a"));
    ownership_table table(node_id { "a" });
    owner_fence fence(node_id { "a" });
    fence.adopt(alone, revision_number { 1 }, start);
    table.adopt(documentWith({ "a" }, 1), alone);
    table.activateUnblocked(fence, start);
    REQUIRE(table.isActive(searcher_id { "in-a" }));
}
