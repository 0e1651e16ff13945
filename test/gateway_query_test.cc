#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_behaviour;

namespace {

// Gateway with three shards of two searchers each. Shard "a" holds the greatest record.
class query_fixture : public standins::gateway_fixture {
public:
    query_fixture()
    {
        for (const auto* service : { "a", "b", "c" }) {
            for (const int replica : { 1, 2 })
                addSearcher(service, std::string(service) + std::to_string(replica), service == std::string("a") ? "zd" : (service == std::string("b") ? "yc" : "xb"));
        }
        writeConfiguration(1);
        startAndAwaitReady();
    }

    void setServiceBehaviour(const std::string& service, searcher_behaviour behaviour)
    {
        for (const auto* replica : { "1", "2" })
            searchers[service + replica]->setBehaviour(behaviour);
    }
};

std::string makeRecord(char letter)
{
    return std::string(16, letter);
}

} // namespace

TEST_CASE("A query returns the greatest records of all shards")
{
    query_fixture fixture;
    const auto answer = fixture.sendRequest("/query/x", "id1");
    REQUIRE(answer.reply.status == 200);
    CHECK(answer.reply.body == makeRecord('z') + makeRecord('y') + makeRecord('x'));
    CHECK(answer.reply.field("Missing-Parts") == "0");
    const auto signatures = answer.reply.field("Part-Stamps");
    CHECK(std::count(signatures.begin(), signatures.end(), ',') == 2);
}

TEST_CASE("A part rejected by one searcher is retried on the other searcher of the shard")
{
    query_fixture fixture;
    fixture.searchers["a1"]->setBehaviour(searcher_behaviour::shedding);
    for (int query = 0; query < 6; ++query)
        CHECK(fixture.sendRequest("/query/x", "id" + std::to_string(query)).reply.field("Missing-Parts") == "0");
}

TEST_CASE("A part without a reply is hedged on the other searcher within the latency objective")
{
    query_fixture fixture;
    fixture.searchers["a1"]->setBehaviour(searcher_behaviour::not_responding);
    for (int query = 0; query < 4; ++query) {
        const auto answer = fixture.sendRequest("/query/x", "id" + std::to_string(query));
        CHECK(answer.reply.field("Missing-Parts") == "0");
        CHECK(answer.elapsed < milliseconds(100));
    }
}

TEST_CASE("A shard without a reply is left out of the answer shortly before the latency objective ends")
{
    query_fixture fixture;
    fixture.setServiceBehaviour("c", searcher_behaviour::not_responding);
    const auto answer = fixture.sendRequest("/query/x", "id1");
    REQUIRE(answer.reply.status == 200);
    CHECK(answer.reply.field("Missing-Parts") == "1");
    CHECK(answer.reply.body == makeRecord('z') + makeRecord('y') + makeRecord('d'));
}

TEST_CASE("A query below the minimum coverage fails with 504")
{
    query_fixture fixture;
    fixture.setServiceBehaviour("b", searcher_behaviour::not_responding);
    fixture.setServiceBehaviour("c", searcher_behaviour::not_responding);
    const auto answer = fixture.sendRequest("/query/x", "id1", "GET", 200);
    CHECK(answer.reply.status == 504);
    CHECK(answer.reply.field("Part-Stamps").empty());
}

TEST_CASE("An incomplete, failed or mismatched reply is not merged")
{
    query_fixture fixture;
    const auto behaviour = GENERATE(searcher_behaviour::truncating, searcher_behaviour::failing, searcher_behaviour::mismatched_id, searcher_behaviour::close_delimited_reset, searcher_behaviour::resetting, searcher_behaviour::unavailable);
    fixture.setServiceBehaviour("c", behaviour);
    const auto answer = fixture.sendRequest("/query/x", "id1");
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.field("Missing-Parts") == "1");
}

TEST_CASE("A reply without a length that ends with a regular close is complete")
{
    query_fixture fixture;
    fixture.setServiceBehaviour("c", searcher_behaviour::close_delimited);
    CHECK(fixture.sendRequest("/query/x", "id1").reply.field("Missing-Parts") == "0");
}

TEST_CASE("Replies to other requests are discarded and never reach a client")
{
    query_fixture fixture;
    const auto behaviour = GENERATE(searcher_behaviour::stale_response_first, searcher_behaviour::extra_response);
    fixture.setServiceBehaviour("a", behaviour);
    for (int query = 0; query < 4; ++query) {
        const auto answer = fixture.sendRequest("/query/x", "id" + std::to_string(query));
        CHECK(answer.reply.body == makeRecord('z') + makeRecord('y') + makeRecord('x'));
    }
}

TEST_CASE("A query fails early if too few shards have a searcher, so that the client can retry at another gateway")
{
    query_fixture fixture;
    for (const auto* id : { "a1", "a2", "b1", "b2" })
        fixture.store.remove(std::string("servers/") + id);
    fixture.runFor(milliseconds(1500));
    const auto answer = fixture.sendRequest("/query/x", "id1");
    CHECK(answer.reply.status == 503);
    CHECK_FALSE(answer.reply.field("Retry-After").empty());
    CHECK(answer.elapsed < milliseconds(18));
    CHECK(fixture.searchers["c1"]->arrivals() + fixture.searchers["c2"]->arrivals() == 0);
}

TEST_CASE("A searcher that announces the close of its connection with a reply needs no health check")
{
    query_fixture fixture;
    fixture.setServiceBehaviour("a", searcher_behaviour::closing);
    for (int query = 0; query < 4; ++query)
        CHECK(fixture.sendRequest("/query/x", "id" + std::to_string(query)).reply.field("Missing-Parts") == "0");
    CHECK(fixture.searchers["a1"]->healthChecks() + fixture.searchers["a2"]->healthChecks() == 0);
}

TEST_CASE("A searcher that announced in a part of a query that it leaves gets no further part, although its entry is unchanged")
{
    query_fixture fixture;
    fixture.searchers["a1"]->announceLeaving();
    fixture.searchers["a2"]->announceLeaving();
    REQUIRE(fixture.sendRequest("/query/x", "id1").reply.field("Missing-Parts") == "0");
    REQUIRE(fixture.sendRequest("/query/x", "id2").reply.field("Missing-Parts") == "0");
    const auto arrivals = fixture.searchers["a1"]->arrivals() + fixture.searchers["a2"]->arrivals();

    SECTION("and a shard whose searchers all leave is missing at once")
    {
        const auto answer = fixture.sendRequest("/query/x", "id3");
        CHECK(answer.reply.status == 200);
        CHECK(answer.reply.field("Missing-Parts") == "1");
        CHECK(answer.elapsed < milliseconds(18)); // less than the wait for a searcher to accept a part
    }
    SECTION("even after its entry was removed and is back")
    {
        fixture.store.remove("servers/a1");
        fixture.runFor(milliseconds(1000));
        fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1"));
        fixture.runFor(milliseconds(1000));
        CHECK(fixture.sendRequest("/query/x", "id3").reply.field("Missing-Parts") == "1");
    }
    SECTION("and another searcher that took over its address is used")
    {
        const auto port = parseTcpEndpoint(fixture.searchers["a1"]->address()).port();
        fixture.searchers["a1"] = nullptr;
        fixture.store.remove("servers/a1");
        fixture.searchers["a3"] = std::make_unique<standins::platform_searcher>(fixture.io, "a3", "zd", port);
        fixture.store.put("servers/a3", fixture.searchers["a3"]->entry("a", "z1"));
        fixture.runFor(milliseconds(1500));
        CHECK(fixture.sendRequest("/query/x", "id3").reply.field("Missing-Parts") == "0");
        return;
    }
    CHECK(fixture.searchers["a1"]->arrivals() + fixture.searchers["a2"]->arrivals() == arrivals);
}

TEST_CASE("A part waits for a searcher whose pushback ends in time for the answer")
{
    query_fixture fixture;
    fixture.searchers["a1"]->announceLeaving();
    fixture.searchers["a2"]->setBehaviour(searcher_behaviour::shedding);
    fixture.searchers["a2"]->setRetryAfter("0.06");
    for (int query = 0; fixture.searchers["a2"]->arrivals() == 0 && query < 4; ++query)
        fixture.sendRequest("/query/x", "id" + std::to_string(query));
    REQUIRE(fixture.searchers["a1"]->arrivals() > 0); // both searchers of the shard have stated something
    fixture.searchers["a2"]->setBehaviour(searcher_behaviour::normal);
    const auto answer = fixture.sendRequest("/query/x", "last");
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.field("Missing-Parts") == "0");
}

TEST_CASE("A query of which too few shards can be sent is refused before anything is sent")
{
    query_fixture fixture;
    for (const auto* id : { "a1", "a2", "b1", "b2" }) {
        fixture.searchers[id]->setBehaviour(searcher_behaviour::shedding);
        fixture.searchers[id]->setRetryAfter("3");
    }
    fixture.sendRequest("/query/x", "id1");
    fixture.sendRequest("/query/x", "id2");
    std::size_t arrivals = 0;
    for (const auto& [id, searcher] : fixture.searchers)
        arrivals += searcher->arrivals();
    const auto answer = fixture.sendRequest("/query/x", "id3");
    CHECK(answer.reply.status == 503);
    CHECK(answer.elapsed < milliseconds(18));
    const auto returnTime = std::stod(answer.reply.field("Retry-After"));
    CHECK(returnTime > 1);
    CHECK(returnTime <= 3);
    for (const auto& [id, searcher] : fixture.searchers)
        arrivals -= searcher->arrivals();
    CHECK(arrivals == 0);
}

TEST_CASE("A searcher that sends bytes without end does not delay or spoil the answer")
{
    query_fixture fixture;
    const auto beginning = GENERATE(as<std::string> {}, "", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=");
    standins::raw_server endless(fixture.io, 0, [&](const http_request&, const standins::raw_exchange_handle& exchange) { exchange->sendWithoutEnd(beginning, std::string(16384, 'x')); });
    fixture.searchers["a1"]->advertise(endless.address());
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1"));
    fixture.runFor(milliseconds(1000));
    for (int query = 0; query < 3; ++query) {
        const auto answer = fixture.sendRequest("/query/x", "id" + std::to_string(query));
        CHECK(answer.reply.status == 200);
        CHECK(answer.reply.field("Missing-Parts") == "0");
        CHECK(answer.elapsed < milliseconds(100));
    }
}

namespace {

// A gateway that would notice an outage of the store only after a long silence.
class long_silence_fixture : public standins::gateway_fixture {
public:
    long_silence_fixture()
    {
        for (const auto* service : { "a", "b", "c" })
            addSearcher(service, std::string(service) + "1", "z");
        writeConfiguration(1);
        silenceTimeout = milliseconds(10'000);
        settings.membershipTiming.renewalInterval = milliseconds(10'000);
        startAndAwaitReady();
        runFor(milliseconds(1500)); // until the watch is pending
    }

    // Sends queries until the gateway is not ready. Returns whether it is not ready within the time.
    bool becomesUnready(milliseconds timeout)
    {
        int query = 0;
        return runUntil([&] { sendRequest("/query/x", "id" + std::to_string(++query)); return !isReady(); }, timeout);
    }

    void crashSearchers()
    {
        for (const auto& [id, searcher] : searchers)
            searcher->server().crash();
    }
};

} // namespace

TEST_CASE("A gateway cut off from its searchers and the store becomes unready soon")
{
    long_silence_fixture fixture;
    fixture.store.setBehaviour(standins::store_behaviour::unresponsive);
    fixture.crashSearchers();
    CHECK(fixture.becomesUnready(milliseconds(2500)));
}

TEST_CASE("A gateway whose searchers are gone but that reaches the store stays ready")
{
    long_silence_fixture fixture;
    fixture.crashSearchers();
    CHECK_FALSE(fixture.becomesUnready(milliseconds(2500)));
}

TEST_CASE("A query whose client has already waited for a connection is answered earlier")
{
    query_fixture fixture;
    fixture.setServiceBehaviour("c", searcher_behaviour::not_responding);
    fixture.sendRequest("/query/x", "id1", "GET", 400);
    const auto answer = fixture.sendRequest("/query/x", "id2", "GET", 375);
    CHECK(answer.reply.status == 200);
    CHECK(answer.elapsed < milliseconds(85)); // 66 ms, and 91 ms without the client's wait
}
