#include "limpetpier/coordination/ownership.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace limpetpier;

namespace {

epoch_member member(int number, const std::string& dataCentre)
{
    return { node_id { "dispatch-" + std::to_string(number) }, data_centre_id { dataCentre }, "127.0.0.1:1", incarnation_number { 1 } };
}

std::vector<epoch_member> membersIn(const std::vector<std::string>& dataCentres)
{
    std::vector<epoch_member> members;
    members.reserve(dataCentres.size());
    for (const auto& dataCentre : dataCentres)
        members.push_back(member(static_cast<int>(members.size()), dataCentre));
    return members;
}

front_spec frontWithInstances(std::uint32_t instanceCount)
{
    front_spec front;
    front.id = front_id { "comptoir" };
    for (std::uint32_t instance = 0; instance < instanceCount; ++instance) {
        front.searchers.push_back({ searcher_id { std::to_string(instance) + "a" }, data_centre_id { "qc-laval" }, "127.0.0.1:1", instance, false });
        front.searchers.push_back({ searcher_id { std::to_string(instance) + "b" }, data_centre_id { "qc-quebec" }, "127.0.0.1:1", instance, false });
    }
    return front;
}

} // namespace

TEST_CASE("Searchers are assigned to owners")
{
    const auto front = frontWithInstances(40);

    SECTION("replicas of one instance have different owners when there are two members")
    {
        const auto members = membersIn({ "qc-laval", "qc-laval" });
        for (std::size_t position = 0; position < front.searchers.size(); position += 2)
            REQUIRE(ownerOf(members, front, front.searchers[position]) != ownerOf(members, front, front.searchers[position + 1]));
    }

    SECTION("a member in the searcher's own data centre is preferred")
    {
        const auto members = membersIn({ "qc-montreal", "qc-laval", "qc-quebec" });
        for (const auto& searcher : front.searchers) {
            const auto owner = ownerOf(members, front, searcher);
            REQUIRE(owner == node_id { searcher.dataCentre == data_centre_id { "qc-laval" } ? "dispatch-1" : "dispatch-2" });
        }
    }

    SECTION("losing a member moves only the searchers that it owned")
    {
        const auto members = membersIn({ "x", "x", "x", "x", "x" });
        auto remainingMembers = members;
        remainingMembers.pop_back();
        auto single = front;
        single.kind = front_kind::single;
        for (const auto& searcher : single.searchers) {
            const auto before = ownerOf(members, single, searcher);
            if (before != members.back().id)
                REQUIRE(*ownerOf(remainingMembers, single, searcher) == *before);
        }
    }

    SECTION("losing the owner of one replica does not move the other replica")
    {
        const auto members = membersIn({ "qc-montreal", "qc-laval", "qc-longueuil", "qc-quebec" });
        for (const auto& lost : members) {
            auto remainingMembers = members;
            std::erase(remainingMembers, lost);
            for (const auto& searcher : front.searchers) {
                const auto before = ownerOf(members, front, searcher);
                if (before != lost.id)
                    REQUIRE(*ownerOf(remainingMembers, front, searcher) == *before);
            }
        }
    }

    SECTION("without members a searcher has no owner")
    {
        REQUIRE_FALSE(ownerOf({}, front, front.searchers[0]).has_value());
    }
}

TEST_CASE("A member has a bounded set of witnesses that forms a quorum with it")
{
    std::vector<std::string> dataCentres(30, "x");
    const auto members = membersIn(dataCentres);

    SECTION("the number of witnesses does not grow with the number of members")
    {
        REQUIRE(witnessesOf(members, members[0].id).size() == maxWitnesses);
    }

    SECTION("a member is never its own witness")
    {
        for (const auto& witness : witnessesOf(members, members[3].id))
            REQUIRE(witness != members[3].id);
    }

    SECTION("every renewing set and every fencing set of witnesses overlap")
    {
        for (std::size_t witnessCount = 1; witnessCount <= maxWitnesses; ++witnessCount)
            REQUIRE(requiredAcks(witnessCount) + requiredFencedWitnesses(witnessCount) > witnessCount);
    }
}
