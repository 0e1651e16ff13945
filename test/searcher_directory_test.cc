#include "limpetpier/state/searcher_directory.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };

searcher_entry makeEntry(const std::string& id)
{
    searcher_entry entry;
    entry.id = searcher_id(id);
    entry.service = service_id("s");
    entry.address = "127.0.0.1:1";
    return entry;
}

} // namespace

TEST_CASE("A removal while the store is available takes effect immediately")
{
    searcher_directory directory;
    directory.put(makeEntry("a"), start);
    CHECK_FALSE(directory.remove(searcher_id("a"), start, start));
    CHECK(directory.records().empty());
}

TEST_CASE("An entry that may have expired during an outage is kept until the given time")
{
    const auto keepUntil = start + milliseconds(2200);
    searcher_directory directory;
    directory.put(makeEntry("a"), start);
    directory.replaceAll({}, start, keepUntil);
    REQUIRE(directory.records().size() == 1);

    SECTION("and removed then")
    {
        CHECK(directory.expire(keepUntil - milliseconds(1)).empty());
        CHECK(directory.expire(keepUntil).size() == 1);
        CHECK(directory.records().empty());
    }

    SECTION("also if its removal is read again with a later time")
    {
        CHECK(directory.remove(searcher_id("a"), start + milliseconds(100), keepUntil + milliseconds(1000)));
        CHECK(directory.expire(keepUntil).size() == 1);
    }

    SECTION("and is not removed if it is restored before")
    {
        CHECK(directory.put(makeEntry("a"), start + milliseconds(1000)));
        CHECK(directory.expire(keepUntil).empty());
        CHECK(directory.records().size() == 1);
    }
}

TEST_CASE("A restarted searcher is cold for the time stated in its entry")
{
    searcher_directory directory;
    auto entry = makeEntry("a");
    entry.startTimeMs = 1;
    directory.put(entry, start);
    entry.startTimeMs = 2;
    entry.coldTimeLeft = milliseconds(3000);
    CHECK(directory.put(entry, start + milliseconds(10)));
    CHECK(directory.records().begin()->second.coldUntil == start + milliseconds(3010));
}

TEST_CASE("Adding an identical entry reports no change")
{
    searcher_directory directory;
    CHECK(directory.put(makeEntry("a"), start));
    CHECK_FALSE(directory.put(makeEntry("a"), start));
}

TEST_CASE("Delayed entries of the same cold phase do not prolong it")
{
    searcher_directory directory;
    auto entry = makeEntry("a");
    entry.coldTimeLeft = milliseconds(3000);
    directory.put(entry, start);
    entry.coldTimeLeft = milliseconds(1800);
    directory.put(entry, start + milliseconds(1900)); // written 700 ms earlier
    CHECK(directory.records().begin()->second.coldUntil == start + milliseconds(3000));

    SECTION("an end later by more than the maximum delay starts a new cold phase")
    {
        entry.coldTimeLeft = milliseconds(3000);
        directory.put(entry, start + milliseconds(4000));
        CHECK(directory.records().begin()->second.coldUntil == start + milliseconds(7000));
    }
}
