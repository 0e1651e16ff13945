#include "limpetpier/coordination/idempotency_table.h"

#include <catch2/catch.hpp>
#include <iomanip>
#include <rapidcheck.h>
#include <set>
#include <sstream>

#include "limpetpier/coordination/key_floor_tracker.h"
#include "limpetpier/coordination/ownership.h"

using namespace limpetpier;

namespace {

const wall_time noon { std::chrono::hours { 500'000 } };
const wall_time longAgo {};

idempotency_key keyMadeAt(wall_time when, unsigned tail = 1)
{
    const auto ms = static_cast<std::uint64_t>(when.time_since_epoch().count());
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(8) << (ms >> 16) << "-" << std::setw(4) << (ms & 0xffff) << "-7000-8000-" << std::setw(12) << tail;
    return idempotency_key { text.str() };
}

} // namespace

TEST_CASE("Only UUIDv7 keys carry a time")
{
    REQUIRE(keyCreationTime(keyMadeAt(noon)) == noon);
    REQUIRE_FALSE(keyCreationTime(idempotency_key { "order-1" }).has_value());
    REQUIRE_FALSE(keyCreationTime(idempotency_key { "9c5b94b1-35ad-49bb-b118-8e8fc24abf80" }).has_value());
}

TEST_CASE("A request runs at most once for its key")
{
    idempotency_table table;
    const auto key = keyMadeAt(noon);
    REQUIRE(table.begin(key, 11, longAgo, noon) == idempotency_decision::run);

    SECTION("a retry during the run waits")
    {
        REQUIRE(table.begin(key, 11, longAgo, noon) == idempotency_decision::wait);
    }

    SECTION("a retry after the run gets the remembered end")
    {
        table.finish(key, outcome::answered, reason::none, "cut 2100 mm");
        REQUIRE(table.begin(key, 11, longAgo, noon) == idempotency_decision::replay);
        REQUIRE(table.find(key)->answer == "cut 2100 mm");
    }

    SECTION("an unknown end is remembered, not tried again")
    {
        table.finish(key, outcome::outcome_unknown, reason::connection_lost, {});
        REQUIRE(table.begin(key, 11, longAgo, noon) == idempotency_decision::replay);
    }

    SECTION("a request that was not run may run on a retry")
    {
        table.finish(key, outcome::not_run, reason::target_shed, {});
        REQUIRE(table.begin(key, 11, longAgo, noon) == idempotency_decision::run);
    }

    SECTION("the key cannot be used for another request")
    {
        REQUIRE(table.begin(key, 12, longAgo, noon) == idempotency_decision::mismatch);
    }
}

TEST_CASE("A table vouches only for keys that no earlier holder can have run")
{
    idempotency_table table;
    const auto floor = noon;

    SECTION("a key from before the floor is refused")
    {
        REQUIRE(table.begin(keyMadeAt(floor - milliseconds(1)), 1, floor, noon) == idempotency_decision::too_old);
    }

    SECTION("a key within the clocks' tolerance after the floor is refused too")
    {
        REQUIRE(table.begin(keyMadeAt(floor + 2 * maxClockSkew - milliseconds(1)), 1, floor, noon + maxClockSkew) == idempotency_decision::too_old);
    }

    SECTION("a later key runs")
    {
        REQUIRE(table.begin(keyMadeAt(floor + 2 * maxClockSkew), 1, floor, floor + 2 * maxClockSkew) == idempotency_decision::run);
    }

    SECTION("a key beyond the retention is refused, whether or not its record is gone")
    {
        const auto later = noon + idempotencyRetention + milliseconds(1);
        REQUIRE(table.begin(keyMadeAt(noon), 1, longAgo, later) == idempotency_decision::too_old);
    }

    SECTION("a key from the future is refused")
    {
        REQUIRE(table.begin(keyMadeAt(noon + maxClockSkew + milliseconds(1)), 1, longAgo, noon) == idempotency_decision::from_future);
    }
}

TEST_CASE("Records survive a hand-over")
{
    idempotency_table first;
    idempotency_table second;
    const auto key = keyMadeAt(noon);
    REQUIRE(first.begin(key, 1, longAgo, noon) == idempotency_decision::run);

    SECTION("a finished request is replayed by the next holder")
    {
        first.finish(key, outcome::answered, reason::none, "done");
        second.merge(first.records());
        REQUIRE(second.begin(key, 1, longAgo, noon) == idempotency_decision::replay);
    }

    SECTION("a request whose runner is gone has an unknown outcome")
    {
        second.merge(first.records());
        REQUIRE(second.begin(key, 1, longAgo, noon) == idempotency_decision::replay);
        REQUIRE(second.find(key)->result == outcome::outcome_unknown);
    }
}

TEST_CASE("Holders change by chance and no key runs twice")
{
    // Two holders with clocks of their own take turns; each turn either hands over or loses all records.
    const bool holds = rc::check("one run for each key", [] {
        std::set<idempotency_key> ran;
        idempotency_table table;
        auto now = noon;
        auto floor = longAgo;
        milliseconds skew { 0 };
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 3000), rc::gen::inRange(-500, 501)));
        for (const auto& [action, ahead, drift] : steps) {
            now += milliseconds(ahead / 10);
            if (action == 0) {
                // The holder is lost; its successor, with another clock, starts with a floor.
                table = {};
                skew = milliseconds(drift);
                floor = now + skew;
                continue;
            }
            const auto key = keyMadeAt(now + milliseconds(drift) - milliseconds(action > 6 ? ahead : 0), static_cast<unsigned>(action));
            if (table.begin(key, 1, floor, now + skew) == idempotency_decision::run)
                RC_ASSERT(ran.insert(key).second);
        }
    });
    REQUIRE(holds);
}

TEST_CASE("A holder knows from when it can vouch for a key")
{
    const auto member = [](const std::string& name, std::uint64_t incarnation = 1) {
        return epoch_member { node_id { name }, data_centre_id { "x" }, "127.0.0.1:1", incarnation_number { incarnation } };
    };
    const auto founded = *withMember({}, member("a"));
    const auto both = *withMember(founded, member("b"));
    const auto key = keyMadeAt(noon);

    SECTION("the founder of the first epoch holds every key from the beginning")
    {
        key_floor_tracker holding(node_id { "a" }, incarnation_number { 1 }, noon);
        holding.adopt(founded, noon);
        REQUIRE(holding.floorFor(key) == longAgo);
    }

    SECTION("a node that joined waits for the earlier holder")
    {
        key_floor_tracker holding(node_id { "b" }, incarnation_number { 1 }, noon);
        holding.adopt(both, noon);
        REQUIRE_FALSE(holding.floorFor(key).has_value());

        SECTION("and takes over its floor with its records")
        {
            holding.recordHandover(node_id { "a" }, both.number, noon - milliseconds(77));
            REQUIRE(holding.floorFor(key) == noon - milliseconds(77));
        }

        SECTION("and does not accept a hand-over for an earlier epoch")
        {
            holding.recordHandover(node_id { "a" }, founded.number, longAgo);
            REQUIRE_FALSE(holding.floorFor(key).has_value());
        }
    }

    SECTION("a node that restarted has lost its records")
    {
        const auto restarted = *withMember(founded, member("a", 2));
        key_floor_tracker holding(node_id { "a" }, incarnation_number { 2 }, noon);
        holding.adopt(restarted, noon);
        REQUIRE(holding.floorFor(key) == noon);
    }

    SECTION("a member gains keys only from nodes that leave, and gives keys only to nodes that join")
    {
        key_floor_tracker holding(node_id { "a" }, incarnation_number { 1 }, noon);
        holding.adopt(both, noon);
        REQUIRE(holding.pendingHolders().empty());
        REQUIRE(holding.handoverReceivers(both.number) == std::vector<node_id> { node_id { "b" } });
        const auto alone = *withoutMember(both, node_id { "b" });
        holding.adopt(alone, noon);
        REQUIRE(holding.pendingHolders() == std::set<node_id> { node_id { "b" } });
        REQUIRE(holding.handoverReceivers(alone.number).empty());
    }

    SECTION("a node that leaves gives keys to all that stay")
    {
        key_floor_tracker holding(node_id { "b" }, incarnation_number { 1 }, noon);
        holding.adopt(both, noon);
        const auto alone = *withoutMember(both, node_id { "b" });
        holding.adopt(alone, noon);
        REQUIRE(holding.handoverReceivers(alone.number) == std::vector<node_id> { node_id { "a" } });
    }

    SECTION("a node passes on a floor only when earlier changes are settled")
    {
        key_floor_tracker holding(node_id { "b" }, incarnation_number { 1 }, noon);
        holding.adopt(*withMember(both, member("c")), noon);
        REQUIRE_FALSE(holding.handoverFloor(both.number.next()).has_value());
        holding.recordHandover(node_id { "a" }, both.number, noon);
        REQUIRE(holding.handoverFloor(both.number.next()) == noon);
    }
}
