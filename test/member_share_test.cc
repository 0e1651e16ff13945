#include "limpetpier/coordination/member_share.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

// Members node-0, node-1 and so on, in as many zones by turns.
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

// For each searcher how many members keep a connection ready to it; checks that each member keeps just as many as given.
std::vector<std::uint32_t> countReady(const std::vector<listed_member>& members, const std::vector<data_centre_id>& searchers, std::uint32_t bound, std::ptrdiff_t each)
{
    std::vector<std::uint32_t> counts(searchers.size());
    for (const auto& member : members) {
        const auto kept = member_share(member, members).selectReadySearchers(service_id("s"), searchers, bound);
        CHECK(std::count(kept.begin(), kept.end(), true) == each);
        for (std::size_t index = 0; index < kept.size(); ++index)
            counts[index] += kept[index] ? 1 : 0;
    }
    return counts;
}

} // namespace

TEST_CASE("The ready connections of all members fit twice into a searcher's bound, and every member keeps one")
{
    const auto members = makeMembers(79);
    const auto searchers = GENERATE(values<std::vector<int>>({ { 0, 1, 2 }, { 0, 0, 1 }, { 0, 0, 0 }, { 7, 8, 9 }, { 3, 2, 1, 0 }, { 0, 1, 7, 7 } }));
    for (const auto count : countReady(members, makeZones(searchers), 62, 1))
        CHECK(2 * count <= 62);
}

TEST_CASE("Where a bound has room for some of a service's searchers, every member keeps as many, evenly")
{
    for (const auto count : countReady(makeMembers(40), makeZones({ 0, 1, 2 }), 62, 2))
        CHECK(2 * count <= 62);
}

TEST_CASE("A member's only ready connection is to a searcher of its own zone if there is room")
{
    const auto members = makeMembers(79);
    const auto searchers = makeZones({ 2, 1, 3 });
    for (const auto& member : members) {
        const auto kept = member_share(member, members).selectReadySearchers(service_id("s"), searchers, 62);
        const auto index = static_cast<std::size_t>(std::find(kept.begin(), kept.end(), true) - kept.begin());
        if (member.zone != data_centre_id("zone-0"))
            CHECK(searchers.at(index) == member.zone);
    }
}

TEST_CASE("Where there is room for all, each member holds an equal part and keeps one ready everywhere")
{
    const auto members = makeMembers(9);
    CHECK(member_share(members.front(), members).connectionLimit(26) == 2);
    countReady(members, makeZones({ 0, 1 }), 26, 2);
}

TEST_CASE("The requests of all members to one cold searcher stay within its bound")
{
    for (const double bound : { 1.0, 5.0, 8.0, 40.0 }) {
        const auto members = makeMembers(13);
        std::uint32_t sum = 0;
        for (const auto& member : members)
            sum += member_share(member, members).coldRequestLimit(searcher_id("i-1"), bound);
        CHECK(sum <= bound);
    }
}

TEST_CASE("Ranks differ between members and between subjects")
{
    const auto members = makeMembers(5);
    std::vector<bool> seen(5);
    for (const auto& member : members)
        seen[member_share(member, members).rank("subject")] = true;
    CHECK(std::count(seen.begin(), seen.end(), true) == 5);
}

TEST_CASE("A member that is not yet on the list counts itself")
{
    CHECK(member_share({ node_id("new"), data_centre_id("zone-0") }, makeMembers(3)).memberCount() == 4);
}
