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

TEST_CASE("Snapshot selection prefers coverage, then the newest version")
{
    SECTION("keeps the old version while the new one covers fewer keys")
    {
        const auto selected = selectSnapshot({ report("0", { { oldVersion, lower }, { newVersion, lower } }), report("1", { { oldVersion, upper } }) });
        REQUIRE(selected->snapshot == oldVersion);
        REQUIRE(selected->coveredKeys == keySpaceSize);
    }

    SECTION("selects the new version once it covers as many keys")
    {
        const auto selected = selectSnapshot({ report("0", { { oldVersion, lower }, { newVersion, lower } }), report("1", { { newVersion, upper } }) });
        REQUIRE(selected->snapshot == newVersion);
    }

    SECTION("prefers the version with more keys when none covers all")
    {
        const auto selected = selectSnapshot({ report("0", { { newVersion, { 0, 10 } } }), report("1", { { oldVersion, upper } }) });
        REQUIRE(selected->snapshot == oldVersion);
    }

    SECTION("ignores searchers that are not serving")
    {
        const auto selected = selectSnapshot({ report("0", { { oldVersion, lower } }, false), report("1", { { oldVersion, upper } }) });
        REQUIRE(selected->pieces.size() == 1);
        REQUIRE(selected->coveredKeys == keySpaceSize / 2);
    }

    SECTION("returns nothing without reports")
    {
        REQUIRE_FALSE(selectSnapshot({}).has_value());
    }
}

TEST_CASE("Dividing a snapshot counts every key once")
{
    SECTION("replicas of one range form one piece")
    {
        const auto divided = divideSnapshot({ report("0a", { { oldVersion, lower } }), report("0b", { { oldVersion, lower } }) }, oldVersion);
        REQUIRE(divided.pieces.size() == 1);
        REQUIRE(divided.pieces[0].replicas.size() == 2);
    }

    SECTION("a searcher that reports an overlapping range of the same shard map is ignored")
    {
        const auto divided = divideSnapshot({ report("0", { { oldVersion, lower } }), report("1", { { oldVersion, { 5, keySpaceSize } } }) }, oldVersion);
        REQUIRE(divided.coveredKeys == keySpaceSize / 2);
    }

    SECTION("pieces of another shard map are ignored")
    {
        const auto divided = divideSnapshot({ report("0", { { oldVersion, lower } }), report("1", { { { 1, 2 }, upper } }) }, oldVersion);
        REQUIRE(divided.pieces.size() == 1);
    }
}
