#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_mood;

namespace {

// Three shards with two searchers each; "a" holds the greatest record.
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

    void setMood(const std::string& service, searcher_mood mood)
    {
        for (const auto* replica : { "1", "2" })
            searchers[service + replica]->setMood(mood);
    }
};

std::string record(char letter)
{
    return std::string(16, letter);
}

} // namespace

TEST_CASE("A query is answered with the greatest records of all shards")
{
    query_fixture fixture;
    const auto answer = fixture.sendRequest("/query/x", "id1");
    REQUIRE(answer.reply.status == 200);
    CHECK(answer.reply.body == record('z') + record('y') + record('x'));
    CHECK(answer.reply.field("Missing-Parts") == "0");
    const auto signatures = answer.reply.field("Part-Stamps");
    CHECK(std::count(signatures.begin(), signatures.end(), ',') == 2);
}

TEST_CASE("A shard that a searcher refuses is asked at the other one")
{
    query_fixture fixture;
    fixture.searchers["a1"]->setMood(searcher_mood::shedding);
    for (int query = 0; query < 6; ++query)
        CHECK(fixture.sendRequest("/query/x", "id" + std::to_string(query)).reply.field("Missing-Parts") == "0");
}

TEST_CASE("A searcher that does not answer is hedged at the other one within the objective")
{
    query_fixture fixture;
    fixture.searchers["a1"]->setMood(searcher_mood::mute);
    for (int query = 0; query < 4; ++query) {
        const auto answer = fixture.sendRequest("/query/x", "id" + std::to_string(query));
        CHECK(answer.reply.field("Missing-Parts") == "0");
        CHECK(answer.elapsed < milliseconds(100));
    }
}

TEST_CASE("A shard without an answer is left out when the objective is nearly over")
{
    query_fixture fixture;
    fixture.setMood("c", searcher_mood::mute);
    const auto answer = fixture.sendRequest("/query/x", "id1");
    REQUIRE(answer.reply.status == 200);
    CHECK(answer.reply.field("Missing-Parts") == "1");
    CHECK(answer.reply.body == record('z') + record('y') + record('d'));
}

TEST_CASE("An answer short of the least coverage is no success")
{
    query_fixture fixture;
    fixture.setMood("b", searcher_mood::mute);
    fixture.setMood("c", searcher_mood::mute);
    const auto answer = fixture.sendRequest("/query/x", "id1", "GET", 200);
    CHECK(answer.reply.status == 504);
    CHECK(answer.reply.field("Part-Stamps").empty());
}

TEST_CASE("What is no whole answer of the searcher to this request is not merged")
{
    query_fixture fixture;
    const auto mood = GENERATE(searcher_mood::truncating, searcher_mood::failing, searcher_mood::crossing, searcher_mood::unframed_reset, searcher_mood::resetting, searcher_mood::refusing);
    fixture.setMood("c", mood);
    const auto answer = fixture.sendRequest("/query/x", "id1");
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.field("Missing-Parts") == "1");
}

TEST_CASE("An answer without length that ends in order is whole")
{
    query_fixture fixture;
    fixture.setMood("c", searcher_mood::unframed);
    CHECK(fixture.sendRequest("/query/x", "id1").reply.field("Missing-Parts") == "0");
}

TEST_CASE("Answers to other requests are passed over and never reach a client")
{
    query_fixture fixture;
    const auto mood = GENERATE(searcher_mood::doubling, searcher_mood::trailing);
    fixture.setMood("a", mood);
    for (int query = 0; query < 4; ++query) {
        const auto answer = fixture.sendRequest("/query/x", "id" + std::to_string(query));
        CHECK(answer.reply.body == record('z') + record('y') + record('x'));
    }
}

TEST_CASE("A query whose shards have no searcher fails early, so that the client can ask elsewhere")
{
    query_fixture fixture;
    for (const auto* id : { "a1", "a2", "b1", "b2" })
        fixture.store.remove(std::string("servers/") + id);
    fixture.runFor(milliseconds(1500));
    const auto answer = fixture.sendRequest("/query/x", "id1");
    CHECK(answer.reply.status == 504);
    CHECK(answer.elapsed < milliseconds(60));
}

TEST_CASE("A searcher that is leaving is not doubted for closing after its answer")
{
    query_fixture fixture;
    fixture.setMood("a", searcher_mood::leaving);
    for (int query = 0; query < 4; ++query)
        CHECK(fixture.sendRequest("/query/x", "id" + std::to_string(query)).reply.field("Missing-Parts") == "0");
    CHECK(fixture.searchers["a1"]->healthChecks() + fixture.searchers["a2"]->healthChecks() == 0);
}
