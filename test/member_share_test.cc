#include "limpetpier/coordination/member_share.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

// Members node-0, node-1 and so on, assigned to the zones in turn.
std::vector<listed_member> makeMembers(std::size_t count, std::size_t zones = 4)
{
    std::vector<listed_member> members;
    for (std::size_t index = 0; index < count; ++index)
        members.push_back({ node_id("node-" + std::to_string(index)), data_centre_id("zone-" + std::to_string(index % zones)) });
    return members;
}

std::vector<data_centre_id> makeZones(const std::vector<int>& numbers)
{
    std::vector<data_centre_id> zones;
    zones.reserve(numbers.size());
    for (const int number : numbers)
        zones.emplace_back("zone-" + std::to_string(number));
    return zones;
}

// Counts for each searcher the members that keep an idle connection to it. Checks that each member selects
// searchersPerMember searchers.
std::vector<std::uint32_t> countIdleConnections(const std::vector<listed_member>& members, const std::vector<data_centre_id>& searcherZones, std::uint32_t limit, std::ptrdiff_t searchersPerMember)
{
    std::vector<std::uint32_t> counts(searcherZones.size());
    for (const auto& member : members) {
        const auto selected = member_share(member, members).selectReadySearchers(service_id("s"), searcherZones, limit);
        CHECK(std::count(selected.begin(), selected.end(), true) == searchersPerMember);
        for (std::size_t index = 0; index < selected.size(); ++index)
            counts[index] += selected[index] ? 1 : 0;
    }
    return counts;
}

} // namespace

TEST_CASE("Idle connections use at most half of a searcher's limit when every member keeps one")
{
    const auto members = makeMembers(79);
    const auto searchers = GENERATE(values<std::vector<int>>({ { 0, 1, 2 }, { 0, 0, 1 }, { 0, 0, 0 }, { 7, 8, 9 }, { 3, 2, 1, 0 }, { 0, 1, 7, 7 } }));
    for (const auto count : countIdleConnections(members, makeZones(searchers), 62, 1))
        CHECK(2 * count <= 62);
}

TEST_CASE("Idle connections are spread evenly when the limit allows each member some of the searchers")
{
    for (const auto count : countIdleConnections(makeMembers(40), makeZones({ 0, 1, 2 }), 62, 2))
        CHECK(2 * count <= 62);
}

TEST_CASE("A single idle connection goes to a searcher in the member's own zone if capacity allows")
{
    const auto members = makeMembers(79);
    const auto searchers = makeZones({ 2, 1, 3 });
    for (const auto& member : members) {
        const auto selected = member_share(member, members).selectReadySearchers(service_id("s"), searchers, 62);
        const auto index = static_cast<std::size_t>(std::find(selected.begin(), selected.end(), true) - selected.begin());
        if (member.zone != data_centre_id("zone-0"))
            CHECK(searchers.at(index) == member.zone);
    }
}

TEST_CASE("Each member gets an equal share of connections and keeps an idle one to every searcher when the limit allows")
{
    const auto members = makeMembers(9);
    CHECK(member_share(members.front(), members).connectionLimit(26) == 2);
    countIdleConnections(members, makeZones({ 0, 1 }), 26, 2);
}

TEST_CASE("The requests of all members to one cold searcher stay within its limit")
{
    for (const double limit : { 1.0, 5.0, 8.0, 40.0 }) {
        const auto members = makeMembers(13);
        std::uint32_t sum = 0;
        for (const auto& member : members)
            sum += member_share(member, members).coldRequestLimit(searcher_id("i-1"), limit);
        CHECK(sum <= limit);
    }
}

TEST_CASE("Ranks for a subject differ between all members")
{
    const auto members = makeMembers(5);
    std::vector<bool> rankSeen(5);
    for (const auto& member : members)
        rankSeen[member_share(member, members).rank("subject")] = true;
    CHECK(std::count(rankSeen.begin(), rankSeen.end(), true) == 5);
}

TEST_CASE("A member that is not yet listed counts itself")
{
    CHECK(member_share({ node_id("new"), data_centre_id("zone-0") }, makeMembers(3)).memberCount() == 4);
}
