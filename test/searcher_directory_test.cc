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

TEST_CASE("An entry that is removed while the store is well is gone at once")
{
    searcher_directory directory;
    directory.put(makeEntry("a"), start);
    directory.remove(searcher_id("a"), start, false);
    CHECK(directory.records().empty());
}

TEST_CASE("An entry that lapsed in an outage is kept for the grace")
{
    searcher_directory directory;
    directory.put(makeEntry("a"), start);
    directory.replaceAll({}, start, true);
    REQUIRE(directory.records().size() == 1);

    SECTION("and dropped after it")
    {
        CHECK(directory.expire(start + searcher_directory::expiryGracePeriod - milliseconds(1)).empty());
        CHECK(directory.expire(start + searcher_directory::expiryGracePeriod).size() == 1);
        CHECK(directory.records().empty());
    }

    SECTION("and stays if it is back in time")
    {
        CHECK(directory.put(makeEntry("a"), start + milliseconds(1000)));
        CHECK(directory.expire(start + searcher_directory::expiryGracePeriod).empty());
        CHECK(directory.records().size() == 1);
    }
}

TEST_CASE("A searcher that starts again is cold for as long as its entry says")
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

TEST_CASE("Repeating an entry changes nothing")
{
    searcher_directory directory;
    CHECK(directory.put(makeEntry("a"), start));
    CHECK_FALSE(directory.put(makeEntry("a"), start));
}

TEST_CASE("Reports of the same cold start that arrive late do not prolong it")
{
    searcher_directory directory;
    auto entry = makeEntry("a");
    entry.coldTimeLeft = milliseconds(3000);
    directory.put(entry, start);
    entry.coldTimeLeft = milliseconds(1800);
    directory.put(entry, start + milliseconds(1900)); // written 700 ms before
    CHECK(directory.records().begin()->second.coldUntil == start + milliseconds(3000));

    SECTION("one that is far off means a new cold start")
    {
        entry.coldTimeLeft = milliseconds(3000);
        directory.put(entry, start + milliseconds(4000));
        CHECK(directory.records().begin()->second.coldUntil == start + milliseconds(7000));
    }
}
