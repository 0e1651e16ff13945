#include <catch2/catch.hpp>
#include <csignal>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_behaviour;

namespace {

// Gateway with one service "a" of two searchers.
class request_fixture : public standins::gateway_fixture {
public:
    request_fixture()
    {
        addSearcher("a", "a1", "z");
        addSearcher("a", "a2", "z");
        writeConfiguration(1);
        startAndAwaitReady();
    }

    void setAllBehaviours(searcher_behaviour behaviour)
    {
        searchers["a1"]->setBehaviour(behaviour);
        searchers["a2"]->setBehaviour(behaviour);
    }

    std::size_t executionsOf(const std::string& id) { return searchers["a1"]->runsOf(id) + searchers["a2"]->runsOf(id); }
};

} // namespace

TEST_CASE("A searcher's reply is forwarded unchanged")
{
    request_fixture fixture;
    const auto answer = fixture.sendRequest("/safe/x", "id1");
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.body == std::string(16, 'z'));
    CHECK(answer.reply.field("Request-Id") == "id1");
    CHECK_FALSE(answer.reply.field("Response-Stamp").empty());
}

TEST_CASE("An error reply of a searcher keeps its status and signature")
{
    request_fixture fixture;
    fixture.setAllBehaviours(searcher_behaviour::failing);
    const auto answer = fixture.sendRequest("/unsafe/x", "id1", "POST");
    CHECK(answer.reply.status == 500);
    CHECK_FALSE(answer.reply.field("Response-Stamp").empty());
    CHECK(fixture.executionsOf("id1") == 1);
}

TEST_CASE("An unsafe request without a valid reply is executed once and not reported as not executed")
{
    request_fixture fixture;
    const auto behaviour = GENERATE(searcher_behaviour::resetting, searcher_behaviour::not_responding, searcher_behaviour::truncating, searcher_behaviour::unavailable, searcher_behaviour::mismatched_id);
    fixture.setAllBehaviours(behaviour);
    const auto answer = fixture.sendRequest("/unsafe/x", "id1", "POST", 150);
    REQUIRE(answer.received);
    CHECK((answer.reply.status == 502 || answer.reply.status == 504));
    CHECK(answer.reply.field("Response-Stamp").empty());
    fixture.runFor(milliseconds(200));
    CHECK(fixture.executionsOf("id1") == 1);
}

TEST_CASE("An unsafe request that a searcher rejected without execution is retried on another searcher")
{
    request_fixture fixture;
    const auto behaviour = GENERATE(searcher_behaviour::shedding, searcher_behaviour::misdirected);
    fixture.searchers["a1"]->setBehaviour(behaviour);
    for (int request = 0; request < 4; ++request) {
        const auto id = "id" + std::to_string(request);
        CHECK(fixture.sendRequest("/unsafe/x", id, "POST").reply.status == 200);
        CHECK(fixture.executionsOf(id) == 1);
    }
}

TEST_CASE("A request that every searcher rejects gets 503 with Retry-After")
{
    request_fixture fixture;
    fixture.setAllBehaviours(searcher_behaviour::shedding);
    const auto answer = fixture.sendRequest("/unsafe/x", "id1", "POST");
    CHECK(answer.reply.status == 503);
    CHECK_FALSE(answer.reply.field("Retry-After").empty());
}

TEST_CASE("A forwarded request carries the remaining time and the searcher's id and keeps its own header fields")
{
    request_fixture fixture;
    const auto answer = fixture.exchange(fixture.settings.clientAddress,
        "POST /unsafe/x?y=1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id1\r\nDeadline-Ms: 300\r\nX-Own: kept\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    REQUIRE(answer.reply.status == 200);
    const auto& used = fixture.executionsOf("id1") == fixture.searchers["a1"]->runsOf("id1") ? *fixture.searchers["a1"] : *fixture.searchers["a2"];
    CHECK(used.lastRequest().target == "/unsafe/x?y=1");
    CHECK(used.lastRequest().body == "abcde");
    CHECK(used.lastRequest().field("X-Own") == "kept");
    CHECK(used.lastRequest().field("Target-Instance") == used.id());
    CHECK(std::stoi(used.lastRequest().field("Deadline-Ms")) <= 300);
}

TEST_CASE("A request that cannot be routed is rejected")
{
    SECTION("with 404 if its path matches no route")
    {
        request_fixture fixture;
        CHECK(fixture.sendRequest("/unknown/x", "id1").reply.status == 404);
    }
    SECTION("with 503 and Retry-After while there is no configuration, and the gateway is not ready")
    {
        standins::gateway_fixture fixture;
        fixture.startGateway();
        fixture.runFor(milliseconds(100));
        const auto answer = fixture.sendRequest("/safe/x", "id1");
        CHECK(answer.reply.status == 503);
        CHECK_FALSE(answer.reply.field("Retry-After").empty());
        CHECK_FALSE(fixture.isReady());
    }
}

TEST_CASE("Malformed, oversized and incomplete requests get the matching 4xx status")
{
    request_fixture fixture;
    const auto statusOf = [&](const std::string& bytes) { return fixture.exchange(fixture.settings.clientAddress, bytes).reply.status; };
    const std::string head = "Host: h.example\r\nRequest-Id: id1\r\n";
    CHECK(statusOf("nonsense\r\n\r\n") == 400);
    CHECK(statusOf("GET /safe/x HTTP/1.1\r\n" + head + "X: " + std::string(5000, 'x') + "\r\n\r\n") == 431);
    CHECK(statusOf("POST /safe/x HTTP/1.1\r\n" + head + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'x')) == 413);
    CHECK(statusOf("POST /safe/x HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n") == 400);
    CHECK(statusOf("POST /safe/x HTTP/1.1\r\n" + head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == 400);
    CHECK(statusOf("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n") == 400);
    CHECK(statusOf("GET /safe/x HTTP/1.1\r\n" + head) == 408);
}

TEST_CASE("The searcher's work is aborted when the client disconnects")
{
    request_fixture fixture;
    fixture.setAllBehaviours(searcher_behaviour::not_responding);
    const auto answer = fixture.exchange(fixture.settings.clientAddress, standins::gateway_fixture::formatRequest("/unsafe/x", "id1", "POST"), milliseconds(40));
    CHECK_FALSE(answer.received);
    CHECK(fixture.runUntil([&] { return fixture.searchers["a1"]->waitingClients() + fixture.searchers["a2"]->waitingClients() == 0; }, milliseconds(450)));
}

TEST_CASE("A searcher at its connection limit keeps its open connection and needs no health check")
{
    request_fixture fixture;
    fixture.searchers["a2"]->setBehaviour(searcher_behaviour::shedding);
    fixture.searchers["a1"]->server().limitConnections(1);
    const auto healthChecksBefore = fixture.searchers["a1"]->healthChecks();
    for (int request = 0; request < 3; ++request) {
        fixture.searchers["a1"]->setBehaviour(searcher_behaviour::not_responding);
        fixture.exchange(fixture.settings.clientAddress, standins::gateway_fixture::formatRequest("/safe/x", "m" + std::to_string(request)), milliseconds(5));
        fixture.sendRequest("/safe/x", "n" + std::to_string(request), "GET", 30); // requires a second connection
    }
    CHECK(fixture.searchers["a1"]->healthChecks() == healthChecksBefore);
}

TEST_CASE("SIGTERM ends readiness immediately while requests are still served")
{
    request_fixture fixture;
    fixture.setAllBehaviours(searcher_behaviour::normal);
    std::raise(SIGTERM);
    fixture.runFor(milliseconds(20));
    CHECK_FALSE(fixture.isReady());
    const auto answer = fixture.sendRequest("/safe/x", "id1");
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.field("Connection") == "close");
}

TEST_CASE("A searcher that fails requests but passes health checks is avoided")
{
    request_fixture fixture;
    const auto behaviour = GENERATE(searcher_behaviour::shedding, searcher_behaviour::failing, searcher_behaviour::resetting);
    fixture.store.put("servers/a2", fixture.searchers["a2"]->entry("a", "z2")); // another zone, so a1 is preferred
    fixture.runFor(milliseconds(900));
    fixture.searchers["a1"]->setBehaviour(behaviour);
    const auto arrivalsBefore = fixture.searchers["a1"]->arrivals();
    for (int request = 0; request < 12; ++request)
        fixture.sendRequest("/safe/x", "id" + std::to_string(request));
    CHECK(fixture.searchers["a1"]->arrivals() - arrivalsBefore <= 3);
}

TEST_CASE("A request is refused at once while every searcher of its service pushes back")
{
    request_fixture fixture;
    fixture.setAllBehaviours(searcher_behaviour::shedding);
    fixture.searchers["a1"]->setRetryAfter("2");
    fixture.searchers["a2"]->setRetryAfter("5");
    fixture.sendRequest("/safe/x", "id1");
    fixture.sendRequest("/safe/x", "id2");
    const auto arrivals = fixture.searchers["a1"]->arrivals() + fixture.searchers["a2"]->arrivals();
    const auto answer = fixture.sendRequest("/unsafe/x", "id3", "POST");
    CHECK(answer.reply.status == 503);
    CHECK(answer.elapsed < milliseconds(18));
    const auto returnTime = std::stod(answer.reply.field("Retry-After")); // the earlier of the two ends
    CHECK(returnTime > 1);
    CHECK(returnTime <= 2);
    CHECK(fixture.searchers["a1"]->arrivals() + fixture.searchers["a2"]->arrivals() == arrivals);
}

TEST_CASE("A reply that ends in its head is never forwarded as a success")
{
    request_fixture fixture;
    const std::string head = GENERATE(as<std::string> {}, "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n");
    const std::size_t length = GENERATE_COPY(std::size_t { 1 }, std::size_t { 20 }, head.size() - 1);
    standins::raw_server truncating(fixture.io, 0, [&](const http_request&, const standins::raw_exchange_handle& exchange) { exchange->send(head.substr(0, length), true); });
    for (const auto* id : { "a1", "a2" }) {
        fixture.searchers[id]->advertise(truncating.address());
        fixture.store.put(std::string("servers/") + id, fixture.searchers[id]->entry("a", "z1"));
    }
    fixture.runFor(milliseconds(1000));
    const auto answer = fixture.sendRequest("/unsafe/x", "id1", "POST");
    REQUIRE(answer.received);
    CHECK(answer.reply.status == 502);
}

// Guards against running an order that nobody sent: a body with an unknown transfer coding was taken for further requests.
TEST_CASE("No part of a body is taken for a request")
{
    request_fixture fixture;
    const std::string inner = "POST /unsafe/inner HTTP/1.1\r\nHost: h.example\r\nRequest-Id: inner\r\nDeadline-Ms: 400\r\nContent-Length: 0\r\n\r\n";
    const std::string fields = GENERATE(as<std::string> {}, "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 0\r\nContent-Length: 5\r\n", "Transfer-Encoding: chunked;x=1\r\n", "Content-Length: 5\r\nTransfer-Encoding : chunked\r\n");
    INFO(fields);
    const auto answer = fixture.exchange(fixture.settings.clientAddress, "POST /unsafe/outer HTTP/1.1\r\nHost: h.example\r\nRequest-Id: outer\r\nDeadline-Ms: 400\r\n" + fields + "\r\n0\r\n\r\n" + inner);
    fixture.runFor(milliseconds(20));
    CHECK((answer.reply.status == 400 || answer.reply.status == 501));
    CHECK(answer.reply.field("Connection") == "close");
    CHECK(fixture.executionsOf("outer") == 0);
    CHECK(fixture.executionsOf("inner") == 0);
}

TEST_CASE("Trailer fields of a request do not replace its header fields")
{
    request_fixture fixture;
    const auto answer = fixture.exchange(fixture.settings.clientAddress, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: own\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\nRequest-Id: other\r\nDeadline-Ms: 1\r\n\r\n");
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.field("Request-Id") == "own");
    CHECK(fixture.executionsOf("own") == 1);
}

TEST_CASE("A reply that is none is not forwarded, and the request follows the rule of its kind")
{
    request_fixture fixture;
    const std::string status = GENERATE(as<std::string> {}, "000", "099", "600", "101");
    INFO(status);
    standins::raw_server faulty(fixture.io, 0, [&](const http_request& request, const standins::raw_exchange_handle& exchange) {
        const bool isHealthCheck = request.target == "/healthz";
        exchange->send("HTTP/1.1 " + (isHealthCheck ? "200" : status) + " X\r\nInstance-Id: b1\r\nRequest-Id: " + request.field("Request-Id") + "\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n", false);
    });
    auto& searcher = fixture.addSearcher("b", "b1", "z");
    searcher.advertise(faulty.address());
    fixture.store.put("servers/b1", searcher.entry("b", "z1"));
    fixture.writeConfiguration(2, R"(,{"name":"b","host":"h.example","prefix":"/b/","type":"unsafe","timeoutMs":400,"targetLatencyMs":100,"priority":1,"service":"b","maxAttempts":2})");
    fixture.runFor(milliseconds(500));
    const auto answer = fixture.sendRequest("/b/x", "id1", "POST");
    REQUIRE(answer.received);
    CHECK((answer.reply.status == 502 || answer.reply.status == 504));
    CHECK(answer.reply.field("Response-Stamp").empty());
}
