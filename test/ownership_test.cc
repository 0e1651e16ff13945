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

front_spec comptoir(std::uint32_t instances)
{
    front_spec front;
    front.id = front_id { "comptoir" };
    for (std::uint32_t instance = 0; instance < instances; ++instance) {
        front.searchers.push_back({ searcher_id { std::to_string(instance) + "a" }, data_centre_id { "qc-laval" }, "127.0.0.1:1", instance, false });
        front.searchers.push_back({ searcher_id { std::to_string(instance) + "b" }, data_centre_id { "qc-quebec" }, "127.0.0.1:1", instance, false });
    }
    return front;
}

} // namespace

TEST_CASE("Owners are computed alike everywhere")
{
    const auto front = comptoir(40);

    SECTION("replicas of one instance have different owners while two members live")
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
        auto fewer = members;
        fewer.pop_back();
        auto single = front;
        single.kind = front_kind::single;
        for (const auto& searcher : single.searchers) {
            const auto before = ownerOf(members, single, searcher);
            if (before != members.back().id)
                REQUIRE(*ownerOf(fewer, single, searcher) == *before);
        }
    }

    SECTION("losing the owner of one replica leaves the other replica where it is")
    {
        const auto members = membersIn({ "qc-montreal", "qc-laval", "qc-longueuil", "qc-quebec" });
        for (const auto& lost : members) {
            auto fewer = members;
            std::erase(fewer, lost);
            for (const auto& searcher : front.searchers) {
                const auto before = ownerOf(members, front, searcher);
                if (before != lost.id)
                    REQUIRE(*ownerOf(fewer, front, searcher) == *before);
            }
        }
    }

    SECTION("without members nobody owns anything")
    {
        REQUIRE_FALSE(ownerOf({}, front, front.searchers[0]).has_value());
    }
}

TEST_CASE("Witnesses are few and form a majority with the member")
{
    std::vector<std::string> dataCentres(30, "x");
    const auto members = membersIn(dataCentres);

    SECTION("their number does not grow with the fleet")
    {
        REQUIRE(witnessesOf(members, members[0].id).size() == maxWitnesses);
    }

    SECTION("a member never witnesses itself")
    {
        for (const auto& witness : witnessesOf(members, members[3].id))
            REQUIRE(witness != members[3].id);
    }

    SECTION("what renews a right and what fences it always overlap")
    {
        for (std::size_t witnesses = 1; witnesses <= maxWitnesses; ++witnesses)
            REQUIRE(requiredAcks(witnesses) + requiredFencedWitnesses(witnesses) > witnesses);
    }
}
