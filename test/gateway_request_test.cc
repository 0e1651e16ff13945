#include <catch2/catch.hpp>
#include <csignal>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_mood;

namespace {

// Service "a" with two searchers.
class request_fixture : public standins::gateway_fixture {
public:
    request_fixture()
    {
        addSearcher("a", "a1", "z");
        addSearcher("a", "a2", "z");
        writeConfiguration(1);
        startAndAwaitReady();
    }

    void setMood(searcher_mood mood)
    {
        searchers["a1"]->setMood(mood);
        searchers["a2"]->setMood(mood);
    }

    std::size_t runsOf(const std::string& id) { return searchers["a1"]->runsOf(id) + searchers["a2"]->runsOf(id); }
};

} // namespace

TEST_CASE("A searcher's answer is passed on unchanged")
{
    request_fixture fixture;
    const auto answer = fixture.sendRequest("/safe/x", "id1");
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.body == std::string(16, 'z'));
    CHECK(answer.reply.field("Request-Id") == "id1");
    CHECK_FALSE(answer.reply.field("Response-Stamp").empty());
}

TEST_CASE("A searcher's own failure keeps its status and signature")
{
    request_fixture fixture;
    fixture.setMood(searcher_mood::failing);
    const auto answer = fixture.sendRequest("/unsafe/x", "id1", "POST");
    CHECK(answer.reply.status == 500);
    CHECK_FALSE(answer.reply.field("Response-Stamp").empty());
    CHECK(fixture.runsOf("id1") == 1);
}

TEST_CASE("An unsafe request runs once and is never said not to have run afterwards")
{
    request_fixture fixture;
    const auto mood = GENERATE(searcher_mood::resetting, searcher_mood::mute, searcher_mood::truncating, searcher_mood::refusing, searcher_mood::crossing);
    fixture.setMood(mood);
    const auto answer = fixture.sendRequest("/unsafe/x", "id1", "POST", 150);
    REQUIRE(answer.received);
    CHECK((answer.reply.status == 502 || answer.reply.status == 504));
    CHECK(answer.reply.field("Response-Stamp").empty());
    fixture.runFor(milliseconds(200));
    CHECK(fixture.runsOf("id1") == 1);
}

TEST_CASE("An unsafe request that was provably not run is sent to another searcher")
{
    request_fixture fixture;
    const auto mood = GENERATE(searcher_mood::shedding, searcher_mood::misdirected);
    fixture.searchers["a1"]->setMood(mood);
    for (int request = 0; request < 4; ++request) {
        const auto id = "id" + std::to_string(request);
        CHECK(fixture.sendRequest("/unsafe/x", id, "POST").reply.status == 200);
        CHECK(fixture.runsOf(id) == 1);
    }
}

TEST_CASE("A request that every searcher refused is refused with a time to come back")
{
    request_fixture fixture;
    fixture.setMood(searcher_mood::shedding);
    const auto answer = fixture.sendRequest("/unsafe/x", "id1", "POST");
    CHECK(answer.reply.status == 503);
    CHECK_FALSE(answer.reply.field("Retry-After").empty());
}

TEST_CASE("The time left and the searcher's name go with a request, and its own fields stay")
{
    request_fixture fixture;
    const auto answer = fixture.exchange(fixture.settings.clientAddress,
        "POST /unsafe/x?y=1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id1\r\nDeadline-Ms: 300\r\nX-Own: kept\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    REQUIRE(answer.reply.status == 200);
    const auto& used = fixture.runsOf("id1") == fixture.searchers["a1"]->runsOf("id1") ? *fixture.searchers["a1"] : *fixture.searchers["a2"];
    CHECK(used.lastRequest().target == "/unsafe/x?y=1");
    CHECK(used.lastRequest().body == "abcde");
    CHECK(used.lastRequest().field("X-Own") == "kept");
    CHECK(used.lastRequest().field("Target-Instance") == used.id());
    CHECK(std::stoi(used.lastRequest().field("Deadline-Ms")) <= 300);
}

TEST_CASE("Requests without a route, and before there is a configuration")
{
    SECTION("an unknown path is 404")
    {
        request_fixture fixture;
        CHECK(fixture.sendRequest("/unknown/x", "id1").reply.status == 404);
    }
    SECTION("without a configuration it is 503 with a time to come back, and not ready")
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

TEST_CASE("Bad input gets a clear status")
{
    request_fixture fixture;
    const auto status = [&](const std::string& bytes) { return fixture.exchange(fixture.settings.clientAddress, bytes).reply.status; };
    const std::string head = "Host: h.example\r\nRequest-Id: id1\r\n";
    CHECK(status("nonsense\r\n\r\n") == 400);
    CHECK(status("GET /safe/x HTTP/1.1\r\n" + head + "X: " + std::string(5000, 'x') + "\r\n\r\n") == 431);
    CHECK(status("POST /safe/x HTTP/1.1\r\n" + head + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'x')) == 413);
    CHECK(status("POST /safe/x HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n") == 400);
    CHECK(status("POST /safe/x HTTP/1.1\r\n" + head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == 400);
    CHECK(status("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n") == 400);
    CHECK(status("GET /safe/x HTTP/1.1\r\n" + head) == 408);
}

TEST_CASE("When the client leaves, the searcher's work is ended")
{
    request_fixture fixture;
    fixture.setMood(searcher_mood::mute);
    const auto answer = fixture.exchange(fixture.settings.clientAddress, standins::gateway_fixture::formatRequest("/unsafe/x", "id1", "POST"), milliseconds(40));
    CHECK_FALSE(answer.received);
    CHECK(fixture.runUntil([&] { return fixture.searchers["a1"]->waiting() + fixture.searchers["a2"]->waiting() == 0; }, milliseconds(450)));
}

TEST_CASE("Where a searcher has no room for another connection, the one that works is kept")
{
    request_fixture fixture;
    fixture.searchers["a2"]->setMood(searcher_mood::shedding);
    fixture.searchers["a1"]->server().limitConnections(1);
    const auto before = fixture.searchers["a1"]->healthChecks();
    for (int request = 0; request < 3; ++request) {
        fixture.searchers["a1"]->setMood(searcher_mood::mute);
        fixture.exchange(fixture.settings.clientAddress, standins::gateway_fixture::formatRequest("/safe/x", "m" + std::to_string(request)), milliseconds(5));
        fixture.sendRequest("/safe/x", "n" + std::to_string(request), "GET", 30); // needs a second connection
    }
    CHECK(fixture.searchers["a1"]->healthChecks() == before);
}

TEST_CASE("A stop ends readiness at once and no request")
{
    request_fixture fixture;
    fixture.setMood(searcher_mood::well);
    std::raise(SIGTERM);
    fixture.runFor(milliseconds(20));
    CHECK_FALSE(fixture.isReady());
    const auto answer = fixture.sendRequest("/safe/x", "id1");
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.field("Connection") == "close");
}

TEST_CASE("A searcher that fails while its health check passes is passed over for another")
{
    request_fixture fixture;
    const auto mood = GENERATE(searcher_mood::shedding, searcher_mood::failing, searcher_mood::resetting);
    fixture.store.put("servers/a2", fixture.searchers["a2"]->entry("a", "z2")); // farther away
    fixture.runFor(milliseconds(900));
    fixture.searchers["a1"]->setMood(mood);
    const auto before = fixture.searchers["a1"]->arrivals();
    for (int request = 0; request < 12; ++request)
        fixture.sendRequest("/safe/x", "id" + std::to_string(request));
    CHECK(fixture.searchers["a1"]->arrivals() - before <= 3);
}
