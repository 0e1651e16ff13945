#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_behaviour;

namespace {

// Gateway with a service of two searchers, two of one each and, if isRanked, routes of more than one priority.
class admission_fixture : public standins::gateway_fixture {
public:
    explicit admission_fixture(bool isRanked, bool givesWay = true)
    {
        for (const auto* id : { "a1", "a2" })
            addSearcher("a", id, "z");
        addSearcher("b", "b1", "y");
        addSearcher("c", "c1", "x");
        const auto* ranked = R"(,{"name":"urgent","host":"h.example","prefix":"/urgent/","type":"safe","timeoutMs":400,"targetLatencyMs":100,"priority":0,"service":"a","maxAttempts":2})";
        writeConfiguration(1, isRanked ? ranked : "");
        settings.givesWay = givesWay;
        startAndAwaitReady();
    }

    void setBehaviour(searcher_behaviour behaviour)
    {
        for (const auto& [id, searcher] : searchers)
            searcher->setBehaviour(behaviour);
    }

    [[nodiscard]] std::size_t arrivals() const { return searchers.at("a1")->arrivals() + searchers.at("a2")->arrivals(); }

    // Sends requests whose searchers do not reply.
    void bringAboutShortage()
    {
        setBehaviour(searcher_behaviour::not_responding);
        for (int request = 0; request < 4; ++request)
            sendRequest("/safe/x", "lost" + std::to_string(request), "GET", 100);
        setBehaviour(searcher_behaviour::normal);
    }
};

} // namespace

TEST_CASE("After requests without a reply, a gateway")
{
    constexpr int attempts = 40;
    SECTION("refuses some at once as not executed, with a time to return, and sends nothing for them")
    {
        admission_fixture fixture(true);
        fixture.bringAboutShortage();
        standins::gateway_fixture::answer refused;
        for (int request = 0; request < attempts && refused.reply.status != 503; ++request) {
            const auto before = fixture.arrivals();
            refused = fixture.sendRequest("/safe/x", "id" + std::to_string(request));
            if (refused.reply.status == 503)
                CHECK(fixture.arrivals() == before);
        }
        REQUIRE(refused.reply.status == 503);
        CHECK_FALSE(refused.reply.field("Retry-After").empty());
        CHECK(refused.elapsed < milliseconds(25)); // a quarter of the objective

        fixture.runFor(milliseconds(5000));
        for (int request = 0; request < attempts; ++request)
            CHECK(fixture.sendRequest("/safe/x", "after" + std::to_string(request)).reply.status == 200);
        CHECK(fixture.sendRequest("/query/x", "query").reply.status == 200);
    }
    SECTION("admits all if its routes have the same priority")
    {
        admission_fixture fixture(false);
        fixture.bringAboutShortage();
        for (int request = 0; request < attempts; ++request)
            CHECK(fixture.sendRequest("/safe/x", "id" + std::to_string(request)).reply.status != 503);
    }
    SECTION("admits all if its settings do not ask for admission")
    {
        admission_fixture fixture(true, false);
        fixture.bringAboutShortage();
        for (int request = 0; request < attempts; ++request)
            CHECK(fixture.sendRequest("/safe/x", "id" + std::to_string(request)).reply.status != 503);
    }
}
