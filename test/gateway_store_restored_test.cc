#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_behaviour;
using standins::store_behaviour;

namespace {

constexpr const char* newRoute = R"(,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeoutMs":400,"targetLatencyMs":100,"priority":1,"service":"a","maxAttempts":2})";
constexpr const char* ownKey = "limpetpier/members/node-1";

// Longest time from the store's return until what it lost is written again by those who wrote it.
constexpr milliseconds rewriteTime { 2000 };

// Time after rewriteTime within which what was not written again must be gone.
constexpr milliseconds expiryTime { 1500 };

// Time in which a change in the store must reach the gateway.
constexpr milliseconds propagationTime { 1500 };

// Gateway whose store has a copy with a configuration of version 5 and the searchers "a1" and "a2" of service "a".
class restored_store_fixture : public standins::gateway_fixture {
public:
    explicit restored_store_fixture(bool statesEra = true)
    {
        if (!statesEra)
            store.omitEra();
        settings.nodeSecret = "secret";
        settings.changeBatchDelay = milliseconds(100);
        addSearcher("a", "a1", "z");
        addSearcher("a", "a2", "z");
        writeConfiguration(5);
        startAndAwaitReady();
        runFor(milliseconds(200));
        store.keepCopy();
    }

    // Takes the store away for a moment and brings it back from the copy.
    void restoreStore()
    {
        store.setBehaviour(store_behaviour::rejecting);
        runFor(milliseconds(100));
        store.restoreCopy();
        store.setBehaviour(store_behaviour::normal);
    }

    // Returns whether requests reach the searcher while all others reject theirs.
    bool isUsed(const std::string& id)
    {
        for (const auto& [name, searcher] : searchers)
            searcher->setBehaviour(name == id ? searcher_behaviour::normal : searcher_behaviour::shedding);
        const auto before = searchers[id]->arrivals();
        for (int request = 0; request < 3; ++request)
            sendRequest("/safe/x", "id" + std::to_string(++m_requests));
        for (const auto& [name, searcher] : searchers)
            searcher->setBehaviour(searcher_behaviour::normal);
        return searchers[id]->arrivals() > before;
    }

private:
    int m_requests = 0;
};

} // namespace

TEST_CASE("A restored store does not take back a version of the configuration")
{
    const bool statesEra = GENERATE(true, false);
    restored_store_fixture fixture(statesEra);
    fixture.writeConfiguration(6, newRoute);
    REQUIRE(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }));
    fixture.restoreStore();
    for (int request = 0; request < 10; ++request) {
        fixture.runFor(milliseconds(100));
        CHECK(fixture.sendRequest("/new/x", "during" + std::to_string(request)).reply.status == 200);
    }

    SECTION("and later versions are read from revisions that are assigned again")
    {
        fixture.writeConfiguration(6, newRoute);
        fixture.writeConfiguration(7);
        CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id2").reply.status == 404; }, propagationTime));
    }
}

TEST_CASE("A change in a restored store is read although its revision was seen before")
{
    restored_store_fixture fixture;
    for (int write = 0; write < 5; ++write)
        fixture.store.put("other/" + std::to_string(write), "x");
    fixture.runFor(milliseconds(400));
    const auto before = fixture.store.revision();
    fixture.store.restoreCopy(); // without an outage: only the waiting watch is cut
    fixture.writeConfiguration(6, newRoute);
    REQUIRE(fixture.store.revision() < before);
    for (int write = 0; write < 8; ++write)
        fixture.store.put("other/" + std::to_string(write), "x");
    REQUIRE(fixture.store.revision() > before); // so that the store has the revision that the gateway knows
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }, propagationTime));
}

TEST_CASE("A gateway writes its entry in the member list again at once")
{
    standins::gateway_fixture fixture;
    fixture.addSearcher("a", "a1", "z");
    fixture.writeConfiguration(5);
    const bool statesEra = GENERATE(true, false);
    if (!statesEra)
        fixture.store.omitEra();
    fixture.store.keepCopy(); // without the entry
    fixture.startAndAwaitReady();
    REQUIRE(fixture.runUntil([&] { return fixture.store.holds(ownKey); }));
    fixture.runFor(milliseconds(200));
    fixture.store.restoreCopy();
    REQUIRE_FALSE(fixture.store.holds(ownKey));
    CHECK(fixture.runUntil([&] { return fixture.store.holds(ownKey); }, milliseconds(1000)));
    CHECK(fixture.isReady());

    SECTION("also if the store has given the number of its lease to another process")
    {
        fixture.store.restoreCopy();
        for (int lease = 0; lease < 10; ++lease)
            fixture.store.grantLease();
        CHECK(fixture.runUntil([&] { return fixture.store.holds(ownKey); }, milliseconds(1000)));
    }

    SECTION("also if the store's first answers are lost")
    {
        fixture.store.restoreCopy();
        fixture.store.setBehaviour(store_behaviour::losing_responses);
        fixture.runFor(milliseconds(500));
        fixture.store.setBehaviour(store_behaviour::normal);
        CHECK(fixture.runUntil([&] { return fixture.store.holds(ownKey); }, rewriteTime));
    }
}

TEST_CASE("Searchers that the older copy lacks are used until the time to write their entries again has passed")
{
    const bool statesEra = GENERATE(true, false);
    restored_store_fixture fixture(statesEra);
    auto& added = fixture.addSearcher("a", "a3", "z");
    REQUIRE(fixture.runUntil([&] { return fixture.isUsed("a3"); }));
    fixture.restoreStore();
    fixture.runFor(milliseconds(800));
    CHECK(fixture.isUsed("a3"));

    SECTION("and after that if they were written again")
    {
        fixture.store.put("servers/a3", added.entry("a", "z1"));
        fixture.runFor(rewriteTime + expiryTime);
        CHECK(fixture.isUsed("a3"));
    }

    SECTION("but not if they were not")
    {
        fixture.runFor(rewriteTime + expiryTime);
        CHECK_FALSE(fixture.isUsed("a3"));
    }
}

TEST_CASE("A searcher stays draining although the older copy says otherwise")
{
    restored_store_fixture fixture;
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1", "draining"));
    REQUIRE(fixture.runUntil([&] { return !fixture.isUsed("a1"); }));
    fixture.restoreStore();
    for (int round = 0; round < 5; ++round) {
        fixture.runFor(milliseconds(200));
        CHECK_FALSE(fixture.isUsed("a1"));
    }
}

TEST_CASE("An evacuation that the older copy lacks stays in force until the time to write it again has passed")
{
    restored_store_fixture fixture;
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z2"));
    fixture.runFor(milliseconds(300));
    REQUIRE(fixture.isUsed("a1"));
    fixture.store.keepCopy();
    fixture.store.put("op/evacuate/z2", "{}");
    REQUIRE(fixture.runUntil([&] { return !fixture.isUsed("a1"); }));
    fixture.restoreStore();
    for (int round = 0; round < 5; ++round) {
        fixture.runFor(milliseconds(200));
        CHECK_FALSE(fixture.isUsed("a1"));
    }

    SECTION("and after that if it was written again")
    {
        fixture.store.put("op/evacuate/z2", "{}");
        fixture.runFor(rewriteTime + expiryTime);
        CHECK_FALSE(fixture.isUsed("a1"));
    }

    SECTION("but not if it was not")
    {
        fixture.runFor(rewriteTime + expiryTime);
        CHECK(fixture.isUsed("a1"));
    }

    SECTION("nor if it is written and removed again")
    {
        fixture.store.put("op/evacuate/z2", "{}");
        fixture.runFor(milliseconds(300));
        fixture.store.remove("op/evacuate/z2");
        CHECK(fixture.runUntil([&] { return fixture.isUsed("a1"); }, propagationTime));
    }
}

namespace {

// Requests the view of the fixture's gateway as a peer that has reached the position would.
std::optional<view_reply> requestView(restored_store_fixture& fixture, const view_request& request)
{
    std::optional<view_reply> result;
    peer_views peer(
        fixture.io.get_executor(), fixture.freeAddress(), "secret", [](const view_request&) { return std::optional<view_reply>(); }, [&](const view_reply& view) { result = view; });
    peer.requestViews({ fixture.settings.peerAddress }, request);
    fixture.runUntil([&] { return result.has_value(); }, milliseconds(500));
    return result;
}

} // namespace

TEST_CASE("A peer that knows a higher revision of an earlier era gets the view of the restored store")
{
    restored_store_fixture fixture;
    for (int write = 0; write < 20; ++write)
        fixture.store.put("other/" + std::to_string(write), "x");
    fixture.runFor(milliseconds(400));
    const auto highest = fixture.store.revision();
    fixture.restoreStore();
    fixture.runFor(propagationTime);
    REQUIRE(fixture.store.revision() < highest);

    const auto view = requestView(fixture, { highest, 0, 1 });
    REQUIRE(view.has_value());
    CHECK(view->era == 2);
    CHECK(view->revision < highest);
    CHECK_FALSE(view->unchanged);

    SECTION("one that has reached the later era does not")
    {
        const auto unchanged = requestView(fixture, { highest, 0, 2 });
        REQUIRE(unchanged.has_value());
        CHECK(unchanged->unchanged);
    }
}

TEST_CASE("A gateway that the store rejects adopts views of a later era with lower revisions, and none of an earlier one")
{
    standins::gateway_fixture fixture;
    fixture.addSearcher("a", "a1", "z");
    fixture.store.setBehaviour(store_behaviour::rejecting);
    fixture.settings.nodeSecret = "secret";
    view_reply offered;
    const auto peerAddress = fixture.freeAddress();
    peer_views peer(
        fixture.io.get_executor(), peerAddress, "secret", [&](const view_request&) { return std::optional(offered); }, [](const view_reply&) {});
    const auto offer = [&](std::uint64_t era, std::uint64_t revision, const std::string& table) {
        offered = {};
        offered.era = era;
        offered.revision = revision;
        offered.tableText = table;
        offered.searchers.push_back({ searcher_id("a1"), service_id("a"), fixture.searchers["a1"]->address(), data_centre_id("z1"), 2, false, 0, 1 });
    };
    offer(2, 100, standins::gateway_fixture::makeConfiguration(5));
    fixture.settings.seeds = { peerAddress };
    fixture.startGateway();
    REQUIRE(fixture.runUntil([&] { return fixture.sendRequest("/safe/x", "id1").reply.status == 200; }));

    SECTION("a later era")
    {
        offer(3, 50, standins::gateway_fixture::makeConfiguration(6, newRoute));
        CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id2").reply.status == 200; }));
    }

    SECTION("an earlier era")
    {
        offer(1, 500, standins::gateway_fixture::makeConfiguration(6, newRoute));
        fixture.runFor(propagationTime);
        CHECK(fixture.sendRequest("/new/x", "id2").reply.status == 404);
    }
}
