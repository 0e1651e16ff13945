#include "limpetpier/state/store_history.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

#include "limpetpier/coordination/outage_record.h"

using namespace limpetpier;

namespace {

constexpr int histories = 2000;
constexpr int eventsPerHistory = 60;

// Store that can be restored from an older copy, as one client sees it through calls that do not overlap.
class model_store {
public:
    explicit model_store(std::uint32_t seed)
        : m_random(seed)
    {
    }

    // Lets the store change: a write, a new copy, or its restoration.
    void step()
    {
        const auto choice = pick(6);
        if (choice == 0)
            m_copy = m_revision;
        else if (choice == 1 && m_copy < m_revision)
            restore();
        else
            m_revision += 1 + pick(3);
    }

    std::uint64_t pick(std::uint64_t count) { return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(m_random); }
    [[nodiscard]] store_revision revision() const { return store_revision(m_revision); }
    [[nodiscard]] store_era era() const { return store_era(m_era); }

private:
    void restore()
    {
        m_revision = m_copy;
        ++m_era;
    }

    std::mt19937 m_random;
    std::uint64_t m_revision = 1;
    std::uint64_t m_copy = 1;
    std::uint64_t m_era = 1;
};

} // namespace

TEST_CASE("Each restoration of the store is noticed once, at the first answer after it")
{
    for (int seed = 0; seed < histories; ++seed) {
        model_store store(static_cast<std::uint32_t>(seed));
        store_history history;
        history.recordEra(store.era());
        auto seen = store.era();
        auto position = history.latest();
        for (int event = 0; event < eventsPerHistory; ++event) {
            store.step();
            if (store.pick(2) == 0)
                continue; // no answer reaches the client
            INFO("seed " << seed << ", event " << event);
            REQUIRE(history.recordEra(store.era()) == (store.era() != seen));
            REQUIRE_FALSE(history.recordRead(store.revision())); // the era has told it
            seen = store.era();
            REQUIRE(history.latest() >= position); // positions never go back
            REQUIRE(history.latest() == store_position { store.era(), store.revision() });
            position = history.latest();
        }
    }
}

TEST_CASE("A store that states no era is known to be restored when a read shows a lower revision")
{
    for (int seed = 0; seed < histories; ++seed) {
        model_store store(static_cast<std::uint32_t>(seed));
        store_history history;
        auto seen = store_revision {};
        for (int event = 0; event < eventsPerHistory; ++event) {
            store.step();
            if (store.pick(2) == 0)
                continue;
            INFO("seed " << seed << ", event " << event);
            REQUIRE(history.recordRead(store.revision()) == (store.revision() < seen));
            seen = store.revision();
            REQUIRE(history.latest().revision == seen);
        }
    }
}

TEST_CASE("Answers that say nothing of a restoration are not taken for one")
{
    store_history history;

    SECTION("the first era, whatever its number")
    {
        CHECK_FALSE(history.recordEra(store_era(7)));
        CHECK(history.era() == store_era(7));
    }

    SECTION("a late answer of an earlier era")
    {
        history.recordEra(store_era(1));
        CHECK(history.recordEra(store_era(2)));
        CHECK_FALSE(history.recordEra(store_era(1)));
        CHECK_FALSE(history.recordEra(store_era(2)));
        CHECK(history.era() == store_era(2));
    }

    SECTION("a watch that returns only some of the changes")
    {
        history.recordRead(store_revision(100));
        CHECK_FALSE(history.recordChanges(store_revision(40), store_revision(60)));
        CHECK_FALSE(history.recordRead(store_revision(100)));
    }
}

TEST_CASE("A watch that ends before its beginning shows a restored store")
{
    store_history history;
    history.recordRead(store_revision(100));
    CHECK(history.recordChanges(store_revision(100), store_revision(90)));
    CHECK_FALSE(history.recordRead(store_revision(91)));
}

TEST_CASE("Revisions of different eras are not compared")
{
    CHECK(store_position { store_era(2), store_revision(50) } > store_position { store_era(1), store_revision(100) });
    CHECK(store_position { store_era(2), store_revision(50) } < store_position { store_era(2), store_revision(51) });
}

TEST_CASE("A key that a restored store lacks is carried until its writer wrote it again or the time for that has passed")
{
    const auto start = monotonic_time {} + milliseconds(1000);
    const auto until = start + milliseconds(2200);
    carried_keys keys;
    keys.carry({ "a", "b", "c" }, until);
    CHECK(keys.contains("a"));
    CHECK(keys.takeExpired(until - milliseconds(1)).empty());

    SECTION("a key that is listed or removed again is no longer carried")
    {
        keys.confirm("a");
        CHECK_FALSE(keys.contains("a"));
        CHECK(keys.takeExpired(until) == std::set<std::string> { "b", "c" });
        CHECK(keys.takeExpired(until).empty());
    }

    SECTION("a second restoration prolongs the time")
    {
        keys.carry({ "d" }, until + milliseconds(500));
        CHECK(keys.takeExpired(until).empty());
        CHECK(keys.takeExpired(until + milliseconds(500)).size() == 4);
    }
}

TEST_CASE("Over random orders of events a carried key is expired only if it was not confirmed, and never early")
{
    const std::vector<std::string> names { "a", "b", "c", "d" };
    for (std::uint32_t seed = 0; seed < histories; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
        carried_keys keys;
        std::map<std::string, monotonic_time> expected; // end of the time for each key
        monotonic_time now {};
        for (int event = 0; event < eventsPerHistory; ++event) {
            now += milliseconds(pick(600));
            const auto& name = names[pick(names.size())];
            switch (pick(3)) {
            case 0: // the store is restored without the key
                keys.carry({ name }, now + milliseconds(2200));
                expected[name] = now + milliseconds(2200);
                for (auto& [key, until] : expected)
                    until = now + milliseconds(2200);
                break;
            case 1:
                keys.confirm(name);
                expected.erase(name);
                break;
            default:
                for (const auto& key : keys.takeExpired(now)) {
                    INFO("seed " << seed << ", event " << event << ", key " << key);
                    REQUIRE(expected.contains(key));
                    REQUIRE(expected[key] <= now);
                    expected.erase(key);
                }
                for (const auto& [key, until] : expected)
                    REQUIRE(until > now);
            }
            for (const auto& key : names)
                REQUIRE(keys.contains(key) == expected.contains(key));
        }
    }
}

TEST_CASE("After a restoration of the store the entries that it lacks are kept, as after an outage")
{
    const auto now = monotonic_time {} + milliseconds(10'000);
    outage_record outages { milliseconds(1000) };
    CHECK(outages.keepRemovedUntil() <= now);
    outages.recordRestoredStore(now);
    CHECK(outages.isAvailable());
    CHECK(outages.keepRemovedUntil() == now + outage_record::restorationTime + outage_record::restorationMargin);

    SECTION("also if the outage around it was too short for an entry to expire")
    {
        CHECK(outages.recordFailure(now + milliseconds(10)));
        CHECK(outages.recordAnswer(now + milliseconds(20)));
        CHECK(outages.keepRemovedUntil() > now + milliseconds(20));
    }
}
