#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_behaviour;
using standins::store_behaviour;

namespace {

// Time in which a change in the store must reach the gateway. The shortest time limit for applying a configuration or
// draining is 3 s; half of it leaves a margin.
constexpr milliseconds propagationTime { 1500 };

constexpr const char* newRoute = R"(,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeoutMs":400,"targetLatencyMs":100,"priority":1,"service":"a","maxAttempts":2})";

// Gateway with two searchers of service "a" and a configuration of version 5.
class view_fixture : public standins::gateway_fixture {
public:
    explicit view_fixture(const std::string& nodeSecret = "", milliseconds silence = milliseconds(200), milliseconds changeBatchDelay = milliseconds(700))
    {
        settings.nodeSecret = nodeSecret;
        settings.changeBatchDelay = changeBatchDelay;
        silenceTimeout = silence;
        settings.membershipTiming.renewalInterval = std::max(settings.membershipTiming.renewalInterval, silence);
        addSearcher("a", "a1", "z");
        addSearcher("a", "a2", "z");
        writeConfiguration(5);
        startAndAwaitReady();
    }

    // Sends requests to service "a" and returns how many of them reached the searcher.
    std::size_t countArrivals(const std::string& id, int requests)
    {
        const auto before = searchers[id]->arrivals();
        for (int request = 0; request < requests; ++request)
            sendRequest("/safe/x", "id" + std::to_string(++m_requests));
        return searchers[id]->arrivals() - before;
    }

private:
    int m_requests = 0;
};

} // namespace

TEST_CASE("A new configuration in the store takes effect")
{
    view_fixture fixture;
    CHECK(fixture.sendRequest("/new/x", "id1").reply.status == 404);
    fixture.writeConfiguration(6, newRoute);
    fixture.runFor(propagationTime);
    CHECK(fixture.sendRequest("/new/x", "id2").reply.status == 200);
}

TEST_CASE("A configuration with an older version is ignored")
{
    view_fixture fixture;
    fixture.writeConfiguration(6, newRoute);
    fixture.runFor(propagationTime);
    fixture.writeConfiguration(4);
    fixture.runFor(propagationTime);
    CHECK(fixture.sendRequest("/new/x", "id1").reply.status == 200);
}

TEST_CASE("A malformed configuration leaves the previous one in effect")
{
    view_fixture fixture;
    fixture.store.put("op/config", "{\"version\":9,\"routes\":7");
    fixture.runFor(propagationTime);
    CHECK(fixture.sendRequest("/safe/x", "id1").reply.status == 200);
}

TEST_CASE("Requests are served during an outage of the store")
{
    view_fixture fixture;
    const auto behaviour = GENERATE(store_behaviour::rejecting, store_behaviour::unresponsive, store_behaviour::losing_responses);
    fixture.store.setBehaviour(behaviour);
    fixture.runFor(milliseconds(700));
    CHECK(fixture.sendRequest("/safe/x", "id1").reply.status == 200);
    CHECK(fixture.isReady());
}

TEST_CASE("A configuration written during an outage takes effect once the store answers again")
{
    view_fixture fixture;
    fixture.store.setBehaviour(store_behaviour::rejecting);
    fixture.runFor(milliseconds(300));
    fixture.writeConfiguration(6, newRoute);
    fixture.store.setBehaviour(store_behaviour::normal);
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }));
}

TEST_CASE("All keys are read again after the store compacted its history")
{
    view_fixture fixture;
    fixture.writeConfiguration(6, newRoute);
    fixture.store.compact();
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }));
}

TEST_CASE("A draining searcher gets no requests")
{
    view_fixture fixture;
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1", "draining"));
    fixture.runFor(propagationTime);
    CHECK(fixture.countArrivals("a1", 6) == 0);
}

TEST_CASE("Searchers in a zone under evacuation get no requests")
{
    view_fixture fixture;
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z2"));
    fixture.store.put("op/evacuate/z2", "{}");
    fixture.runFor(propagationTime);
    CHECK(fixture.countArrivals("a1", 6) == 0);

    SECTION("and their remaining cold time is requested by a health check before they get requests again")
    {
        fixture.searchers["a1"]->setCold(4000);
        fixture.store.remove("op/evacuate/z2");
        fixture.runFor(propagationTime);
        CHECK(fixture.searchers["a1"]->healthChecks() > 0);
        CHECK(fixture.countArrivals("a1", 8) <= 4);
    }
}

TEST_CASE("A cold searcher gets no more requests than its cold allowance")
{
    view_fixture fixture;
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1", "ready", 3000));
    fixture.runFor(propagationTime);
    fixture.searchers["a2"]->setBehaviour(searcher_behaviour::shedding);
    CHECK(fixture.countArrivals("a1", 12) <= 4);
}

TEST_CASE("A searcher's identity is checked after a connection reset, before it is used again")
{
    view_fixture fixture;
    fixture.searchers["a1"]->setBehaviour(searcher_behaviour::resetting);
    fixture.sendRequest("/safe/x", "id1");
    fixture.sendRequest("/safe/x", "id2");
    fixture.searchers["a1"]->setBehaviour(searcher_behaviour::normal);
    fixture.runFor(milliseconds(500));
    CHECK(fixture.searchers["a1"]->healthChecks() > 0);
}

TEST_CASE("Malformed searcher entries of another writer are skipped and don't affect valid ones")
{
    view_fixture fixture;
    fixture.store.put("servers/forged1", "\xFF\xFE not json");
    fixture.store.put("servers/forged2", R"({"service":"a"})");
    fixture.store.put("servers/forged3", R"({"service":"a","address":"nowhere","zone":"z1","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1})");
    fixture.runFor(propagationTime);
    CHECK(fixture.sendRequest("/safe/x", "id1").reply.status == 200);
}

TEST_CASE("A gateway that starts alone opens no connection to a searcher until the member list has settled")
{
    standins::gateway_fixture fixture;
    auto& searcher = fixture.addSearcher("a", "a1", "z");
    fixture.writeConfiguration(1);
    fixture.startGateway(milliseconds(400));
    fixture.runFor(milliseconds(250));
    CHECK(searcher.server().accepted() == 0);
    CHECK_FALSE(fixture.isReady());
    CHECK(fixture.runUntil([&] { return searcher.server().accepted() > 0; }));
}

TEST_CASE("A backlog of changes is read without a delay between the calls")
{
    view_fixture fixture;
    fixture.store.setBehaviour(store_behaviour::rejecting);
    fixture.runFor(milliseconds(300));
    for (int change = 0; change < 600; ++change)
        fixture.store.put("servers/a2", fixture.searchers["a2"]->entry("a", "z1", change % 2 == 0 ? "draining" : "ready"));
    fixture.writeConfiguration(6, newRoute);
    fixture.store.setBehaviour(store_behaviour::normal);
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }, propagationTime));
}

TEST_CASE("Searchers whose entries expired during an outage still get requests when a pending watch reports the removal")
{
    view_fixture fixture;
    fixture.runFor(propagationTime); // until the watch is pending
    fixture.store.setBehaviour(store_behaviour::unresponsive);
    fixture.runFor(milliseconds(1200));
    fixture.store.remove("servers/a1");
    fixture.store.remove("servers/a2");
    fixture.store.setBehaviour(store_behaviour::normal);
    fixture.store.put("op/evacuate/elsewhere", "{}"); // a change that completes the watch
    fixture.runFor(milliseconds(300));
    CHECK(fixture.sendRequest("/safe/x", "id1").reply.status == 200);
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1"));
    fixture.runFor(milliseconds(3500));
    CHECK(fixture.sendRequest("/safe/x", "id2").reply.status == 200);
}

namespace {

// Longest time that a searcher serves after its entry was removed, on the deployments with the shortest one.
constexpr milliseconds drainBound { 3000 };

// The batch delay that follows from that bound.
constexpr milliseconds drainBatchDelay { 1500 };

} // namespace

// Guards against requests to searchers that left after an outage: the time in which their entries may come back was
// counted from when a removal was read, not from the end of the outage.
TEST_CASE("A searcher that leaves around an outage gets no requests after the bound for draining")
{
    view_fixture fixture("", milliseconds(200), drainBatchDelay);
    fixture.addSearcher("a", "a3", "z");
    fixture.runFor(2 * drainBatchDelay); // until the watch is pending
    const auto registerAndRemove = [&] {
        fixture.store.put("servers/a3", fixture.searchers["a3"]->entry("a", "z2")); // starts the batch delay
        fixture.runFor(milliseconds(100));
        fixture.store.remove("servers/a1");
        return monotonic_clock::now();
    };
    monotonic_time removedAt;

    SECTION("when its entry is removed after the store has answered again")
    {
        const auto behaviour = GENERATE(store_behaviour::rejecting, store_behaviour::unresponsive);
        fixture.store.setBehaviour(behaviour);
        fixture.runFor(milliseconds(1500));
        fixture.store.setBehaviour(store_behaviour::normal);
        fixture.runFor(milliseconds(1000));
        removedAt = registerAndRemove();
    }
    SECTION("when the watch for the removal fails once, without an outage")
    {
        removedAt = registerAndRemove();
        fixture.runFor(drainBatchDelay - milliseconds(200)); // until 100 ms before the watch
        fixture.store.setBehaviour(store_behaviour::rejecting);
        fixture.runFor(milliseconds(200));
        fixture.store.setBehaviour(store_behaviour::normal);
    }
    fixture.runFor(std::chrono::duration_cast<milliseconds>(removedAt + drainBound - monotonic_clock::now()));
    CHECK(fixture.countArrivals("a1", 20) == 0);
}

// Guards against changes that are read too late after a long outage: an answer that the lease had ended did not count as
// the store's return, so a watch that had been lost in the outage was waited for.
TEST_CASE("A configuration written during an outage that outlasted the lease takes effect once the store answers again")
{
    view_fixture fixture("", milliseconds(2000));
    fixture.runFor(propagationTime);
    fixture.writeConfiguration(6); // completes the watch; the next one is sent after the delay, and lost
    fixture.runFor(milliseconds(200));
    fixture.store.setBehaviour(store_behaviour::unresponsive);
    fixture.runFor(milliseconds(4000));
    fixture.writeConfiguration(7, newRoute);
    fixture.store.endLeases();
    fixture.store.setBehaviour(store_behaviour::normal);
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }, propagationTime));
}

TEST_CASE("Searchers whose entries are restored at the end of the time for that get requests all the while")
{
    view_fixture fixture("", milliseconds(200), drainBatchDelay);
    fixture.runFor(2 * drainBatchDelay); // until the watch is pending
    fixture.store.setBehaviour(store_behaviour::rejecting);
    fixture.runFor(milliseconds(1500));
    fixture.store.remove("servers/a1");
    fixture.store.remove("servers/a2");
    fixture.store.setBehaviour(store_behaviour::normal);
    const auto calls = fixture.store.calls();
    REQUIRE(fixture.runUntil([&] { return fixture.store.calls() > calls + 1; })); // a renewal, and the watch after it
    const auto end = monotonic_clock::now() + milliseconds(3000);
    fixture.runFor(milliseconds(1800));
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1"));
    fixture.store.put("servers/a2", fixture.searchers["a2"]->entry("a", "z1"));
    for (int request = 0; monotonic_clock::now() < end; ++request)
        CHECK(fixture.sendRequest("/safe/x", "r" + std::to_string(request)).reply.status == 200);
}

namespace {

// Adds a second gateway whose store rejects every call and whose only seed is the first gateway.
class isolated_fixture : public view_fixture {
public:
    isolated_fixture()
        : view_fixture("secret")
        , isolatedStore(io)
    {
        isolatedStore.setBehaviour(store_behaviour::rejecting);
        isolatedSettings = settings;
        isolatedSettings.node = node_id("node-2");
        isolatedSettings.clientAddress = freeAddress();
        isolatedSettings.readyAddress = freeAddress();
        isolatedSettings.peerAddress = freeAddress();
        isolatedSettings.seeds = { settings.peerAddress };
        isolated = std::make_unique<gateway>(io, protocol, isolatedStoreClient, isolatedSettings);
        isolated->start();
    }

    unsigned statusFromIsolated(const std::string& path, const std::string& id) { return exchange(isolatedSettings.clientAddress, formatRequest(path, id)).reply.status; }

    standins::platform_store isolatedStore;
    platform::kv_store isolatedStoreClient { io.get_executor(), isolatedStore.address(), milliseconds(300) };
    gateway_settings isolatedSettings;
    std::unique_ptr<gateway> isolated;
};

} // namespace

TEST_CASE("A gateway that never reached the store serves requests with a peer's view")
{
    isolated_fixture fixture;
    CHECK(fixture.runUntil([&] { return fixture.statusFromIsolated("/safe/x", "id1") == 200; }));

    SECTION("and applies later configurations from peers")
    {
        fixture.writeConfiguration(6, newRoute);
        CHECK(fixture.runUntil([&] { return fixture.statusFromIsolated("/new/x", "id2") == 200; }));
    }

    SECTION("and stops sending to searchers that peers report as draining")
    {
        fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1", "draining"));
        fixture.runFor(2 * propagationTime);
        const auto before = fixture.searchers["a1"]->arrivals();
        for (int request = 0; request < 6; ++request)
            fixture.statusFromIsolated("/safe/x", "d" + std::to_string(request));
        CHECK(fixture.searchers["a1"]->arrivals() == before);
    }
}

TEST_CASE("A gateway with another secret gets no view from a peer")
{
    isolated_fixture fixture;
    fixture.isolatedSettings.nodeSecret = "wrong";
    fixture.isolatedSettings.clientAddress = fixture.freeAddress();
    fixture.isolatedSettings.readyAddress = fixture.freeAddress();
    fixture.isolatedSettings.peerAddress = fixture.freeAddress();
    gateway unauthorized(fixture.io, fixture.protocol, fixture.isolatedStoreClient, fixture.isolatedSettings);
    unauthorized.start();
    fixture.runFor(2 * propagationTime);
    CHECK(fixture.statusFromIsolated("/safe/x", "id1") == 503);
}

namespace {

// Requests the view of the fixture's gateway as a peer would; empty if no reply came.
std::optional<view_reply> requestView(view_fixture& fixture, const view_request& request)
{
    std::optional<view_reply> result;
    peer_views peer(
        fixture.io.get_executor(), fixture.freeAddress(), "secret", [](const view_request&) { return std::optional<view_reply>(); }, [&](const view_reply& view) { result = view; });
    peer.requestViews({ fixture.settings.peerAddress }, request);
    fixture.runUntil([&] { return result.has_value(); });
    return result;
}

constexpr std::int64_t staleAgeMs = 60'000;

} // namespace

TEST_CASE("A peer with an older revision gets the whole view")
{
    view_fixture fixture("secret");
    const auto view = requestView(fixture, { 0, staleAgeMs });
    REQUIRE(view.has_value());
    CHECK_FALSE(view->unchanged);
    CHECK(view->searchers.size() == 2);
}

TEST_CASE("A peer with the same revision gets a reply without the lists")
{
    view_fixture fixture("secret");
    const auto known = requestView(fixture, { 0, staleAgeMs });
    REQUIRE(known.has_value());
    const auto view = requestView(fixture, { known->revision, staleAgeMs, known->era });
    REQUIRE(view.has_value());
    CHECK(view->unchanged);
    CHECK(view->searchers.empty());
}

TEST_CASE("A watch lost in an outage is sent again once the store answers")
{
    view_fixture fixture;
    fixture.runFor(propagationTime);
    fixture.writeConfiguration(6); // completes the watch; the next one is sent after the delay
    fixture.runFor(milliseconds(200));
    fixture.store.setBehaviour(store_behaviour::unresponsive);
    fixture.runFor(milliseconds(2000));
    fixture.store.setBehaviour(store_behaviour::normal);
    fixture.writeConfiguration(7, newRoute);
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }));
}

TEST_CASE("A change that the watch misses is read even if no call fails")
{
    view_fixture fixture;
    fixture.runFor(propagationTime); // until the watch is pending
    fixture.store.ignoreWatches();
    fixture.writeConfiguration(6, newRoute);
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }));
}

TEST_CASE("An early renewal detects an outage that a pending watch doesn't notice")
{
    view_fixture fixture;
    fixture.runFor(propagationTime); // until the watch is pending
    fixture.store.setBehaviour(store_behaviour::unresponsive);
    const auto calls = fixture.store.calls();
    CHECK(fixture.runUntil([&] { return fixture.store.calls() > calls; }, fixture.settings.membershipTiming.silenceTimeout + milliseconds(200)));
}

// Guards against a late notice of the store's return, which delays everything that is timed from it: the delay of a retry
// was added to the timeout of the call before.
TEST_CASE("An unanswered call to the store is retried without a further delay if its timeout exceeds the delay")
{
    view_fixture fixture;
    fixture.runFor(propagationTime); // until the watch is pending
    fixture.store.setBehaviour(store_behaviour::unresponsive);
    const auto calls = fixture.store.calls();
    fixture.runFor(milliseconds(4000));
    constexpr std::size_t renewalsEvery700Ms = 5; // the first within 200 ms; the timeout of the fixture's calls is 300 ms
    CHECK(fixture.store.calls() - calls >= renewalsEvery700Ms);
}

TEST_CASE("An invalid entry of another writer affects no other entry")
{
    view_fixture fixture;
    const auto invalidValue = GENERATE(as<std::string> {},
        std::string(100'000, '['),
        R"({"service":"a","address":"127.0.0.1:0","zone":"z1","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1})",
        R"({"service":"a","address":"127.0.0.1:70000","zone":"z1","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1})",
        R"({"service":"a","address":"127.0.0.1:99999999999","zone":"z1","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1})",
        R"({"service":"a","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":1000000000000000000,"state":"ready","coldLeftMs":0,"seq":1})",
        R"({"service":"a","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":2,"state":"ready","coldLeftMs":1e300,"seq":1})",
        R"({"service":"a","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":2,"state":"ready","coldLeftMs":1000000000000000000,"seq":1})",
        R"({"service":"a","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":2,"state":"ready","coldLeftMs":)" + std::string(400, '9') + R"(,"seq":1})");
    fixture.store.put("servers/odd", invalidValue);
    fixture.runFor(propagationTime);
    CHECK(fixture.sendRequest("/safe/x", "id1").reply.status == 200);

    SECTION("and later changes are still followed")
    {
        fixture.writeConfiguration(6, newRoute);
        CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id2").reply.status == 200; }));
    }
    SECTION("also in a configuration, which leaves the previous one in force")
    {
        fixture.store.put("op/config", invalidValue);
        fixture.runFor(propagationTime);
        CHECK(fixture.sendRequest("/safe/x", "id2").reply.status == 200);
        fixture.writeConfiguration(6, newRoute);
        CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id3").reply.status == 200; }));
    }
}

TEST_CASE("A view ages from the last answer of the store, also before the outage is noticed")
{
    view_fixture fixture("secret", milliseconds(60'000));
    fixture.runFor(propagationTime); // until the watch is pending
    fixture.store.setBehaviour(store_behaviour::unresponsive);
    fixture.runFor(milliseconds(800));
    const auto view = requestView(fixture, { 0, staleAgeMs });
    REQUIRE(view.has_value());
    CHECK(view->ageMs >= 800);
}

TEST_CASE("A view of a later revision is adopted, although the store answered that peer earlier than another one")
{
    standins::gateway_fixture fixture;
    fixture.addSearcher("a", "a1", "z");
    fixture.store.setBehaviour(store_behaviour::rejecting);
    fixture.settings.nodeSecret = "secret";
    view_reply offered;
    const auto peerAddress = fixture.freeAddress();
    peer_views peer(
        fixture.io.get_executor(), peerAddress, "secret", [&](const view_request&) { return std::optional(offered); }, [](const view_reply&) {});
    const auto offer = [&](std::uint64_t revision, std::int64_t ageMs, const std::string& table) {
        offered = {};
        offered.revision = revision;
        offered.ageMs = ageMs;
        offered.tableText = table;
        offered.searchers.push_back({ searcher_id("a1"), service_id("a"), fixture.searchers["a1"]->address(), data_centre_id("z1"), 2, false, 0, 1 });
    };
    offer(10, 0, standins::gateway_fixture::makeConfiguration(5));
    fixture.settings.seeds = { peerAddress };
    fixture.startGateway();
    REQUIRE(fixture.runUntil([&] { return fixture.sendRequest("/safe/x", "id1").reply.status == 200; }));

    SECTION("a later one")
    {
        offer(11, 5000, standins::gateway_fixture::makeConfiguration(6, newRoute));
        CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id2").reply.status == 200; }));
    }
    SECTION("not an earlier one")
    {
        offer(9, 0, standins::gateway_fixture::makeConfiguration(6, newRoute));
        fixture.runFor(propagationTime);
        CHECK(fixture.sendRequest("/new/x", "id2").reply.status == 404);
    }
    SECTION("entries of a peer that no searcher can have are skipped")
    {
        offer(11, 0, standins::gateway_fixture::makeConfiguration(6, newRoute));
        const auto address = GENERATE("127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:99999999999", "nowhere");
        offered.searchers.push_back({ searcher_id("odd1"), service_id("a"), address, data_centre_id("z1"), 2, false, 0, 1 });
        offered.searchers.push_back({ searcher_id("odd2"), service_id("a"), "127.0.0.1:9", data_centre_id("z1"), 2, false, std::numeric_limits<std::int64_t>::max(), 1 });
        CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id2").reply.status == 200; }));
        CHECK(fixture.sendRequest("/safe/x", "id3").reply.status == 200);
    }
}
