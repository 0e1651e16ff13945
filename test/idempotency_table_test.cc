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

const wall_time referenceTime { std::chrono::hours { 500'000 } };
const wall_time noFloor {};

idempotency_key keyCreatedAt(wall_time createdAt, unsigned suffix = 1)
{
    const auto ms = static_cast<std::uint64_t>(createdAt.time_since_epoch().count());
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(8) << (ms >> 16) << "-" << std::setw(4) << (ms & 0xffff) << "-7000-8000-" << std::setw(12) << suffix;
    return idempotency_key { text.str() };
}

} // namespace

TEST_CASE("Only UUIDv7 keys contain a creation time")
{
    REQUIRE(keyCreationTime(keyCreatedAt(referenceTime)) == referenceTime);
    REQUIRE_FALSE(keyCreationTime(idempotency_key { "order-1" }).has_value());
    REQUIRE_FALSE(keyCreationTime(idempotency_key { "9c5b94b1-35ad-49bb-b118-8e8fc24abf80" }).has_value());
}

TEST_CASE("A request runs at most once for its key")
{
    idempotency_table table;
    const auto key = keyCreatedAt(referenceTime);
    REQUIRE(table.begin(key, 11, noFloor, referenceTime) == idempotency_decision::run);

    SECTION("a retry while the request is running waits")
    {
        REQUIRE(table.begin(key, 11, noFloor, referenceTime) == idempotency_decision::wait);
    }

    SECTION("a retry after the request finished gets the recorded answer")
    {
        table.finish(key, outcome::answered, reason::none, "cut 2100 mm");
        REQUIRE(table.begin(key, 11, noFloor, referenceTime) == idempotency_decision::replay);
        REQUIRE(table.find(key)->answer == "cut 2100 mm");
    }

    SECTION("an unknown outcome is replayed, not run again")
    {
        table.finish(key, outcome::outcome_unknown, reason::connection_lost, {});
        REQUIRE(table.begin(key, 11, noFloor, referenceTime) == idempotency_decision::replay);
    }

    SECTION("a request that was not run may run on a retry")
    {
        table.finish(key, outcome::not_run, reason::target_shed, {});
        REQUIRE(table.begin(key, 11, noFloor, referenceTime) == idempotency_decision::run);
    }

    SECTION("a different request with the same key is a mismatch")
    {
        REQUIRE(table.begin(key, 12, noFloor, referenceTime) == idempotency_decision::mismatch);
    }
}

TEST_CASE("A table runs only keys that no earlier holder can have run")
{
    idempotency_table table;
    const auto floor = referenceTime;

    SECTION("a key created before the floor is refused")
    {
        REQUIRE(table.begin(keyCreatedAt(floor - milliseconds(1)), 1, floor, referenceTime) == idempotency_decision::too_old);
    }

    SECTION("a key created less than twice the clock skew after the floor is refused")
    {
        REQUIRE(table.begin(keyCreatedAt(floor + 2 * maxClockSkew - milliseconds(1)), 1, floor, referenceTime + maxClockSkew) == idempotency_decision::too_old);
    }

    SECTION("a key created twice the clock skew after the floor runs")
    {
        REQUIRE(table.begin(keyCreatedAt(floor + 2 * maxClockSkew), 1, floor, floor + 2 * maxClockSkew) == idempotency_decision::run);
    }

    SECTION("a key older than the retention is refused even without a floor")
    {
        const auto later = referenceTime + idempotencyRetention + milliseconds(1);
        REQUIRE(table.begin(keyCreatedAt(referenceTime), 1, noFloor, later) == idempotency_decision::too_old);
    }

    SECTION("a key created further in the future than the clock skew is refused")
    {
        REQUIRE(table.begin(keyCreatedAt(referenceTime + maxClockSkew + milliseconds(1)), 1, noFloor, referenceTime) == idempotency_decision::from_future);
    }
}

TEST_CASE("Records are handed over to the next holder")
{
    idempotency_table previousHolder;
    idempotency_table nextHolder;
    const auto key = keyCreatedAt(referenceTime);
    REQUIRE(previousHolder.begin(key, 1, noFloor, referenceTime) == idempotency_decision::run);

    SECTION("a finished request is replayed by the next holder")
    {
        previousHolder.finish(key, outcome::answered, reason::none, "done");
        nextHolder.merge(previousHolder.records());
        REQUIRE(nextHolder.begin(key, 1, noFloor, referenceTime) == idempotency_decision::replay);
    }

    SECTION("an unfinished request has an unknown outcome at the next holder")
    {
        nextHolder.merge(previousHolder.records());
        REQUIRE(nextHolder.begin(key, 1, noFloor, referenceTime) == idempotency_decision::replay);
        REQUIRE(nextHolder.find(key)->result == outcome::outcome_unknown);
    }
}

TEST_CASE("No key runs twice while holders change at random")
{
    // Each change of holder loses all records. The new holder has its own clock skew and takes the time of the change as
    // the floor.
    const bool holds = rc::check("each key runs at most once", [] {
        std::set<idempotency_key> startedKeys;
        idempotency_table table;
        auto now = referenceTime;
        auto floor = noFloor;
        milliseconds skew { 0 };
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 3000), rc::gen::inRange(-500, 501)));
        for (const auto& [action, delayMs, skewMs] : steps) {
            now += milliseconds(delayMs / 10);
            if (action == 0) {
                // The holder fails; its successor, with a different clock skew, starts without records.
                table = {};
                skew = milliseconds(skewMs);
                floor = now + skew;
                continue;
            }
            const auto key = keyCreatedAt(now + milliseconds(skewMs) - milliseconds(action > 6 ? delayMs : 0), static_cast<unsigned>(action));
            if (table.begin(key, 1, floor, now + skew) == idempotency_decision::run)
                RC_ASSERT(startedKeys.insert(key).second);
        }
    });
    REQUIRE(holds);
}

TEST_CASE("A holder tracks the floor of its keys")
{
    const auto member = [](const std::string& name, std::uint64_t incarnation = 1) {
        return epoch_member { node_id { name }, data_centre_id { "x" }, "127.0.0.1:1", incarnation_number { incarnation } };
    };
    const auto firstEpoch = *withMember({}, member("a"));
    const auto secondEpoch = *withMember(firstEpoch, member("b"));
    const auto key = keyCreatedAt(referenceTime);

    SECTION("a member of the first epoch has a floor of zero, because no earlier holder exists")
    {
        key_floor_tracker tracker(node_id { "a" }, incarnation_number { 1 }, referenceTime);
        tracker.adopt(firstEpoch, referenceTime);
        REQUIRE(tracker.floorFor(key) == noFloor);
    }

    SECTION("a node that joins does not know its floor until the earlier holder hands over or is fenced")
    {
        key_floor_tracker tracker(node_id { "b" }, incarnation_number { 1 }, referenceTime);
        tracker.adopt(secondEpoch, referenceTime);
        REQUIRE_FALSE(tracker.floorFor(key).has_value());

        SECTION("and takes over the earlier holder's floor with its records")
        {
            tracker.recordHandover(node_id { "a" }, secondEpoch.number, referenceTime - milliseconds(77));
            REQUIRE(tracker.floorFor(key) == referenceTime - milliseconds(77));
        }

        SECTION("and ignores a handover for an earlier epoch")
        {
            tracker.recordHandover(node_id { "a" }, firstEpoch.number, noFloor);
            REQUIRE_FALSE(tracker.floorFor(key).has_value());
        }
    }

    SECTION("a node that restarted has lost its records, so its start time is the floor")
    {
        const auto epochAfterRestart = *withMember(firstEpoch, member("a", 2));
        key_floor_tracker tracker(node_id { "a" }, incarnation_number { 2 }, referenceTime);
        tracker.adopt(epochAfterRestart, referenceTime);
        REQUIRE(tracker.floorFor(key) == referenceTime);
    }

    SECTION("a member that stays receives keys only from nodes that leave and hands over keys only to nodes that join")
    {
        key_floor_tracker tracker(node_id { "a" }, incarnation_number { 1 }, referenceTime);
        tracker.adopt(secondEpoch, referenceTime);
        REQUIRE(tracker.pendingHolders().empty());
        REQUIRE(tracker.handoverReceivers(secondEpoch.number) == std::vector<node_id> { node_id { "b" } });
        const auto thirdEpoch = *withoutMember(secondEpoch, node_id { "b" });
        tracker.adopt(thirdEpoch, referenceTime);
        REQUIRE(tracker.pendingHolders() == std::set<node_id> { node_id { "b" } });
        REQUIRE(tracker.handoverReceivers(thirdEpoch.number).empty());
    }

    SECTION("a node that leaves hands over keys to every member that stays")
    {
        key_floor_tracker tracker(node_id { "b" }, incarnation_number { 1 }, referenceTime);
        tracker.adopt(secondEpoch, referenceTime);
        const auto thirdEpoch = *withoutMember(secondEpoch, node_id { "b" });
        tracker.adopt(thirdEpoch, referenceTime);
        REQUIRE(tracker.handoverReceivers(thirdEpoch.number) == std::vector<node_id> { node_id { "a" } });
    }

    SECTION("a node hands over a floor only after all earlier epoch changes are settled")
    {
        key_floor_tracker tracker(node_id { "b" }, incarnation_number { 1 }, referenceTime);
        tracker.adopt(*withMember(secondEpoch, member("c")), referenceTime);
        REQUIRE_FALSE(tracker.handoverFloor(secondEpoch.number.next()).has_value());
        tracker.recordHandover(node_id { "a" }, secondEpoch.number, referenceTime);
        REQUIRE(tracker.handoverFloor(secondEpoch.number.next()) == referenceTime);
    }
}

TEST_CASE("A merged record expires by the age of its key, also after younger records")
{
    idempotency_table table;
    const auto old = keyCreatedAt(referenceTime - milliseconds(idempotencyRetention) / 2, 1);
    REQUIRE(table.begin(keyCreatedAt(referenceTime, 2), 11, noFloor, referenceTime) == idempotency_decision::run);
    table.merge({ { old, 11, true, outcome::answered, reason::none, {} } });
    REQUIRE(table.records().size() == 2);
    const auto later = referenceTime + 2 * idempotencyRetention - milliseconds(1);
    REQUIRE(table.begin(keyCreatedAt(later, 3), 11, noFloor, later) == idempotency_decision::run); // expires old records
    CHECK(table.find(old) == nullptr);
    CHECK(table.records().size() == 2);
}
