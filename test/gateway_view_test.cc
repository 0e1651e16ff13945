#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_mood;
using standins::store_mood;

namespace {

// A change in the store must be known well within the bounds of configuration and draining, the least of which is 3 s.
constexpr milliseconds viewDelay { 1500 };

constexpr const char* newRoute = R"(,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeoutMs":400,"targetLatencyMs":100,"priority":1,"service":"a","maxAttempts":2})";

// Service "a" with two searchers, configuration 5.
class view_fixture : public standins::gateway_fixture {
public:
    explicit view_fixture(const std::string& nodeSecret = "")
    {
        settings.nodeSecret = nodeSecret;
        addSearcher("a", "a1", "z");
        addSearcher("a", "a2", "z");
        writeConfiguration(5);
        startAndAwaitReady();
    }

    std::size_t arrivalsAt(const std::string& id, int requests)
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

TEST_CASE("A new configuration is in force once it is in the store")
{
    view_fixture fixture;
    CHECK(fixture.sendRequest("/new/x", "id1").reply.status == 404);
    fixture.writeConfiguration(6, newRoute);
    fixture.runFor(viewDelay);
    CHECK(fixture.sendRequest("/new/x", "id2").reply.status == 200);
}

TEST_CASE("A configuration never goes back to an older version")
{
    view_fixture fixture;
    fixture.writeConfiguration(6, newRoute);
    fixture.runFor(viewDelay);
    fixture.writeConfiguration(4);
    fixture.runFor(viewDelay);
    CHECK(fixture.sendRequest("/new/x", "id1").reply.status == 200);
}

TEST_CASE("A configuration that cannot be read leaves the last one in force")
{
    view_fixture fixture;
    fixture.store.put("op/config", "{\"version\":9,\"routes\":7");
    fixture.runFor(viewDelay);
    CHECK(fixture.sendRequest("/safe/x", "id1").reply.status == 200);
}

TEST_CASE("While the store is away requests are served as before")
{
    view_fixture fixture;
    const auto mood = GENERATE(store_mood::rejecting, store_mood::silent, store_mood::losing);
    fixture.store.setMood(mood);
    fixture.runFor(milliseconds(700));
    CHECK(fixture.sendRequest("/safe/x", "id1").reply.status == 200);
    CHECK(fixture.isReady());
}

TEST_CASE("What changed while the store was away is known after its return")
{
    view_fixture fixture;
    fixture.store.setMood(store_mood::rejecting);
    fixture.runFor(milliseconds(300));
    fixture.writeConfiguration(6, newRoute);
    fixture.store.setMood(store_mood::well);
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }));
}

TEST_CASE("A store that forgot its history is read anew")
{
    view_fixture fixture;
    fixture.writeConfiguration(6, newRoute);
    fixture.store.compact();
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }));
}

TEST_CASE("A draining searcher gets no more requests")
{
    view_fixture fixture;
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1", "draining"));
    fixture.runFor(viewDelay);
    CHECK(fixture.arrivalsAt("a1", 6) == 0);
}

TEST_CASE("The searchers of a zone that is to be emptied get no more requests")
{
    view_fixture fixture;
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z2"));
    fixture.store.put("op/evacuate/z2", "{}");
    fixture.runFor(viewDelay);
    CHECK(fixture.arrivalsAt("a1", 6) == 0);

    SECTION("and are asked how cold they are before they get any again")
    {
        fixture.searchers["a1"]->setCold(4000);
        fixture.store.remove("op/evacuate/z2");
        fixture.runFor(viewDelay);
        CHECK(fixture.searchers["a1"]->healthChecks() > 0);
        CHECK(fixture.arrivalsAt("a1", 8) <= 4);
    }
}

TEST_CASE("A cold searcher gets no more than its allowance")
{
    view_fixture fixture;
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1", "ready", 3000));
    fixture.runFor(viewDelay);
    fixture.searchers["a2"]->setMood(searcher_mood::shedding);
    CHECK(fixture.arrivalsAt("a1", 12) <= 4);
}

TEST_CASE("A searcher whose connections broke is asked for its name before it is used again")
{
    view_fixture fixture;
    fixture.searchers["a1"]->setMood(searcher_mood::resetting);
    fixture.sendRequest("/safe/x", "id1");
    fixture.sendRequest("/safe/x", "id2");
    fixture.searchers["a1"]->setMood(searcher_mood::well);
    fixture.runFor(milliseconds(500));
    CHECK(fixture.searchers["a1"]->healthChecks() > 0);
}

TEST_CASE("Entries of another writer are set aside and harm no other")
{
    view_fixture fixture;
    fixture.store.put("servers/forged1", "\xFF\xFE not json");
    fixture.store.put("servers/forged2", R"({"service":"a"})");
    fixture.store.put("servers/forged3", R"({"service":"a","address":"nowhere","zone":"z1","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1})");
    fixture.runFor(viewDelay);
    CHECK(fixture.sendRequest("/safe/x", "id1").reply.status == 200);
}

TEST_CASE("A process that starts alone opens no connection before the member list has had time to fill")
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

TEST_CASE("A backlog of changes is read without pauses")
{
    view_fixture fixture;
    fixture.store.setMood(store_mood::rejecting);
    fixture.runFor(milliseconds(300));
    for (int change = 0; change < 600; ++change)
        fixture.store.put("servers/a2", fixture.searchers["a2"]->entry("a", "z1", change % 2 == 0 ? "draining" : "ready"));
    fixture.writeConfiguration(6, newRoute);
    fixture.store.setMood(store_mood::well);
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }, viewDelay));
}

TEST_CASE("Searchers whose entries lapsed behind a silent store are served on while a watch hangs")
{
    view_fixture fixture;
    fixture.runFor(viewDelay); // the watch waits
    fixture.store.setMood(store_mood::silent);
    fixture.runFor(milliseconds(1200));
    fixture.store.remove("servers/a1");
    fixture.store.remove("servers/a2");
    fixture.store.setMood(store_mood::well);
    fixture.store.put("op/evacuate/elsewhere", "{}"); // wakes the watch
    fixture.runFor(milliseconds(300));
    CHECK(fixture.sendRequest("/safe/x", "id1").reply.status == 200);
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1"));
    fixture.runFor(milliseconds(3500));
    CHECK(fixture.sendRequest("/safe/x", "id2").reply.status == 200);
}

namespace {

// A second gateway, before a store that turns it away, with the first one as its seed.
class parted_fixture : public view_fixture {
public:
    parted_fixture()
        : view_fixture("secret")
        , partedStore(io)
    {
        partedStore.setMood(store_mood::rejecting);
        partedSettings = settings;
        partedSettings.node = node_id("node-2");
        partedSettings.clientAddress = freeAddress();
        partedSettings.readyAddress = freeAddress();
        partedSettings.peerAddress = freeAddress();
        partedSettings.seeds = { settings.peerAddress };
        parted = std::make_unique<gateway>(io, protocol, partedClient, partedSettings);
        parted->start();
    }

    unsigned askParted(const std::string& path, const std::string& id) { return exchange(partedSettings.clientAddress, formatRequest(path, id)).reply.status; }

    standins::platform_store partedStore;
    platform::kv_store partedClient { io.get_executor(), partedStore.address(), milliseconds(300) };
    gateway_settings partedSettings;
    std::unique_ptr<gateway> parted;
};

} // namespace

TEST_CASE("A process that the store turned away from its start serves by a peer's view")
{
    parted_fixture fixture;
    CHECK(fixture.runUntil([&] { return fixture.askParted("/safe/x", "id1") == 200; }));

    SECTION("and learns of later configurations from peers")
    {
        fixture.writeConfiguration(6, newRoute);
        CHECK(fixture.runUntil([&] { return fixture.askParted("/new/x", "id2") == 200; }));
    }

    SECTION("and of searchers that leave")
    {
        fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1", "draining"));
        fixture.runFor(2 * viewDelay);
        const auto before = fixture.searchers["a1"]->arrivals();
        for (int request = 0; request < 6; ++request)
            fixture.askParted("/safe/x", "d" + std::to_string(request));
        CHECK(fixture.searchers["a1"]->arrivals() == before);
    }
}

TEST_CASE("A peer without the deployment's secret learns nothing")
{
    parted_fixture fixture;
    fixture.partedSettings.nodeSecret = "wrong";
    fixture.partedSettings.clientAddress = fixture.freeAddress();
    fixture.partedSettings.readyAddress = fixture.freeAddress();
    fixture.partedSettings.peerAddress = fixture.freeAddress();
    gateway stranger(fixture.io, fixture.protocol, fixture.partedClient, fixture.partedSettings);
    stranger.start();
    fixture.runFor(2 * viewDelay);
    CHECK(fixture.askParted("/safe/x", "id1") == 503);
}

namespace {

// Asks the fixture's gateway for its view, as another gateway does.
std::optional<view_reply> askView(view_fixture& fixture, const view_request& request)
{
    std::optional<view_reply> result;
    peer_views asker(
        fixture.io.get_executor(), fixture.freeAddress(), "secret", [](const view_request&) { return std::optional<view_reply>(); }, [&](const view_reply& view) { result = view; });
    asker.requestViews({ fixture.settings.peerAddress }, request);
    fixture.runUntil([&] { return result.has_value(); });
    return result;
}

constexpr std::int64_t longAgoMs = 60'000;

} // namespace

TEST_CASE("A peer that knows less gets the whole view")
{
    view_fixture fixture("secret");
    const auto view = askView(fixture, { 0, longAgoMs });
    REQUIRE(view.has_value());
    CHECK_FALSE(view->unchanged);
    CHECK(view->searchers.size() == 2);
}

TEST_CASE("A peer whose view is as good gets no list")
{
    view_fixture fixture("secret");
    const auto known = askView(fixture, { 0, longAgoMs });
    REQUIRE(known.has_value());
    const auto view = askView(fixture, { known->revision, longAgoMs });
    REQUIRE(view.has_value());
    CHECK(view->unchanged);
    CHECK(view->searchers.empty());
}

TEST_CASE("A watch that the store lost in an outage is sent anew once the store answers")
{
    view_fixture fixture;
    fixture.runFor(viewDelay);
    fixture.writeConfiguration(6); // the watch is answered; the next one comes after the delay
    fixture.runFor(milliseconds(200));
    fixture.store.setMood(store_mood::silent);
    fixture.runFor(milliseconds(2000));
    fixture.store.setMood(store_mood::well);
    fixture.writeConfiguration(7, newRoute);
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }));
}

TEST_CASE("What a watch does not tell is read, though no call fails")
{
    view_fixture fixture;
    fixture.runFor(viewDelay); // the watch waits
    fixture.store.ignoreWatches();
    fixture.writeConfiguration(6, newRoute);
    CHECK(fixture.runUntil([&] { return fixture.sendRequest("/new/x", "id1").reply.status == 200; }));
}

TEST_CASE("A renewal shows an outage that a waiting watch does not notice")
{
    view_fixture fixture;
    fixture.runFor(viewDelay); // the watch waits
    fixture.store.setMood(store_mood::silent);
    const auto calls = fixture.store.calls();
    CHECK(fixture.runUntil([&] { return fixture.store.calls() > calls; }, fixture.settings.membershipTiming.silenceTimeout + milliseconds(200)));
}
