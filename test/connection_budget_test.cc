#include "limpetpier/coordination/connection_budget.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

TEST_CASE("When the limit is exceeded, the connection that holds most gives up its reply")
{
    const auto budget = std::make_shared<connection_budget>(connection_budget::limits { 100 });
    int largeRevoked = 0;
    int smallRevoked = 0;
    connection_budget::account small(budget, [&] { ++smallRevoked; });
    auto large = std::make_unique<connection_budget::account>(budget, [&] { ++largeRevoked; });
    small.add(20);
    large->add(80);
    CHECK(budget->used() == 100);
    CHECK(largeRevoked == 0);

    SECTION("whichever connection received the bytes that exceed it")
    {
        small.add(10);
        CHECK(largeRevoked == 1);
        CHECK(smallRevoked == 0);
        CHECK(budget->used() == 30);

        SECTION("and bytes that it still receives are not counted until its exchange has ended")
        {
            large->add(1000);
            CHECK(budget->used() == 30);
            CHECK(largeRevoked == 1);
            large->clear();
            large->add(5);
            CHECK(budget->used() == 35);
        }
    }
    SECTION("also if that is the one that received them")
    {
        large->add(1);
        CHECK(largeRevoked == 1);
        CHECK(budget->used() == 20);
    }
    SECTION("A connection that ends releases its bytes")
    {
        large.reset();
        CHECK(budget->used() == 20);
        small.add(80);
        CHECK(smallRevoked == 0);
    }
    SECTION("One connection alone can exceed it")
    {
        large->clear();
        small.add(81);
        CHECK(smallRevoked == 1);
        CHECK(budget->used() == 0);
    }
}

TEST_CASE("Memory for client connections")
{
    using activity = connection_activity;
    const monotonic_time now { std::chrono::hours(1) };
    const auto longAgo = now - 5 * connection_budget::patience;
    const auto budget = std::make_shared<connection_budget>(connection_budget::limits { 100 });
    std::string revoked;
    const auto makeAccount = [&](char name) { return std::make_unique<connection_budget::account>(budget, [&revoked, name] { revoked += name; }); };
    const auto a = makeAccount('a');
    const auto b = makeAccount('b');
    const auto c = makeAccount('c');

    SECTION("is taken from the largest incomplete request")
    {
        a->update(30, activity::receiving, now, now);
        b->update(40, activity::receiving, now, now);
        c->update(31, activity::receiving, now, now);
        CHECK(revoked == "b");
        CHECK(budget->used() == 61);
    }
    SECTION("but first from one that has been incomplete for long")
    {
        a->update(30, activity::receiving, longAgo, now);
        b->update(60, activity::receiving, now, now);
        c->update(31, activity::receiving, now, now);
        CHECK(revoked == "a");
    }
    SECTION("or whose client has not read its reply for long")
    {
        a->update(30, activity::sending, longAgo, now);
        b->update(60, activity::receiving, now, now);
        c->update(31, activity::receiving, now, now);
        CHECK(revoked == "a");
    }
    SECTION("from a reply that is being written only if there is no incomplete request")
    {
        a->update(90, activity::sending, now, now);
        b->update(11, activity::receiving, now, now);
        CHECK(revoked == "b");
        c->update(11, activity::sending, now, now);
        CHECK(revoked == "ba");
    }
    SECTION("and never from a request that is being executed")
    {
        CHECK(budget->hasRoomToRun(1000));
        a->update(90, activity::running, longAgo, now);
        CHECK_FALSE(budget->hasRoomToRun(0));
        b->update(20, activity::running, now, now);
        CHECK(revoked.empty());
        CHECK(budget->used() == 110);
        c->update(1, activity::receiving, now, now);
        CHECK(revoked == "c");
    }
    SECTION("is free again once a request is complete")
    {
        a->update(90, activity::running, now, now);
        a->clear();
        CHECK(budget->used() == 0);
        CHECK(budget->hasRoomToRun(100));
    }
    SECTION("is held by executed requests up to its half, so that they don't push out the other messages")
    {
        a->update(40, activity::running, now, now);
        CHECK(budget->hasRoomToRun(10));
        CHECK_FALSE(budget->hasRoomToRun(11));
        b->update(30, activity::sending, now, now);
        c->update(30, activity::receiving, now, now);
        CHECK(revoked.empty());
        a->update(20, activity::sending, now, now);
        CHECK(budget->hasRoomToRun(1000));
        c->update(50, activity::running, now, now);
        CHECK_FALSE(budget->hasRoomToRun(1));
        CHECK(revoked.empty());
    }
}

TEST_CASE("Room for a new connection")
{
    using activity = connection_activity;
    const monotonic_time now { std::chrono::hours(1) };
    const auto longAgo = now - 5 * connection_budget::patience;
    const auto budget = std::make_shared<connection_budget>(connection_budget::limits { 1000, 4 });
    std::string revoked;
    std::vector<std::unique_ptr<connection_budget::account>> accounts;
    for (const char name : { 'a', 'b', 'c' }) {
        CHECK(budget->makeRoomForConnection(now));
        accounts.push_back(std::make_unique<connection_budget::account>(budget, [&revoked, name] { revoked += name; }));
    }
    CHECK(budget->makeRoomForConnection(now));
    accounts.push_back(std::make_unique<connection_budget::account>(budget, [&revoked] { revoked += 'd'; }));
    const auto set = [&](std::size_t index, activity doing, monotonic_time since) { accounts[index]->update(1, doing, since, now); };

    SECTION("is taken from the oldest incomplete request, then from a connection that was never used, then from the longest idle one")
    {
        set(0, activity::idle, longAgo);
        set(1, activity::receiving, now);
        set(2, activity::unused, now);
        set(3, activity::receiving, now - milliseconds(5));
        for (int count = 0; count < 4; ++count) {
            CHECK(budget->makeRoomForConnection(now));
            accounts.push_back(std::make_unique<connection_budget::account>(budget, [] {}));
            accounts.back()->update(1, activity::running, now, now);
        }
        CHECK(revoked == "dbca");
        CHECK_FALSE(budget->makeRoomForConnection(now));
    }
    SECTION("is taken from a client that has not read its reply for long")
    {
        set(0, activity::idle, longAgo);
        set(1, activity::sending, longAgo);
        set(2, activity::sending, now);
        set(3, activity::running, longAgo);
        CHECK(budget->makeRoomForConnection(now));
        CHECK(revoked == "b");
    }
    SECTION("is refused while every connection executes a request")
    {
        for (std::size_t index = 0; index < 4; ++index)
            set(index, activity::running, longAgo);
        CHECK_FALSE(budget->makeRoomForConnection(now));
        CHECK(revoked.empty());
        accounts.pop_back();
        CHECK(budget->makeRoomForConnection(now));
    }
}

TEST_CASE("The limits follow from the machine")
{
    const auto limits = connection_budget::limitsForMachine(std::size_t { 160 } << 20U, 4100);
    CHECK(limits.bytes == std::size_t { 40 } << 20U);
    CHECK(limits.connections == 3075);
    CHECK(connection_budget::limitsForMachine(0, 0).connections == std::numeric_limits<std::size_t>::max());
    CHECK(connection_budget::limitsForMachine(0, 0).bytes == std::numeric_limits<std::size_t>::max());
}
