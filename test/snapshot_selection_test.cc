#include "limpetpier/coordination/snapshot_selection.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const key_range lower { 0, keySpaceSize / 2 };
const key_range upper { keySpaceSize / 2, keySpaceSize };
const snapshot_id oldVersion { 1, 1 };
const snapshot_id newVersion { 2, 1 };

searcher_report report(const std::string& name, const std::vector<held_snapshot>& held, bool serving = true)
{
    return { searcher_id { name }, serving, held };
}

} // namespace

TEST_CASE("A query is pinned to one snapshot")
{
    SECTION("which stays the old one while the new one has not reached every shard")
    {
        const auto chosen = selectSnapshot({ report("0", { { oldVersion, lower }, { newVersion, lower } }), report("1", { { oldVersion, upper } }) });
        REQUIRE(chosen->snapshot == oldVersion);
        REQUIRE(chosen->coveredKeys == keySpaceSize);
    }

    SECTION("which becomes the new one once it covers as much")
    {
        const auto chosen = selectSnapshot({ report("0", { { oldVersion, lower }, { newVersion, lower } }), report("1", { { newVersion, upper } }) });
        REQUIRE(chosen->snapshot == newVersion);
    }

    SECTION("which prefers coverage when no version is everywhere")
    {
        const auto chosen = selectSnapshot({ report("0", { { newVersion, { 0, 10 } } }), report("1", { { oldVersion, upper } }) });
        REQUIRE(chosen->snapshot == oldVersion);
    }

    SECTION("from the searchers that serve")
    {
        const auto chosen = selectSnapshot({ report("0", { { oldVersion, lower } }, false), report("1", { { oldVersion, upper } }) });
        REQUIRE(chosen->pieces.size() == 1);
        REQUIRE(chosen->coveredKeys == keySpaceSize / 2);
    }

    SECTION("and is absent when nobody reports anything")
    {
        REQUIRE_FALSE(selectSnapshot({}).has_value());
    }
}

TEST_CASE("A divided snapshot counts every key once")
{
    SECTION("replicas share a piece")
    {
        const auto divided = divideSnapshot({ report("0a", { { oldVersion, lower } }), report("0b", { { oldVersion, lower } }) }, oldVersion);
        REQUIRE(divided.pieces.size() == 1);
        REQUIRE(divided.pieces[0].replicas.size() == 2);
    }

    SECTION("a searcher that reports an overlapping range of the same map is left out")
    {
        const auto divided = divideSnapshot({ report("0", { { oldVersion, lower } }), report("1", { { oldVersion, { 5, keySpaceSize } } }) }, oldVersion);
        REQUIRE(divided.coveredKeys == keySpaceSize / 2);
    }

    SECTION("pieces of another shard map are not mixed in")
    {
        const auto divided = divideSnapshot({ report("0", { { oldVersion, lower } }), report("1", { { { 1, 2 }, upper } }) }, oldVersion);
        REQUIRE(divided.pieces.size() == 1);
    }
}
