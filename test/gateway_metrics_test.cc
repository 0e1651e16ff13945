#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_behaviour;

namespace {

// Service "a" with two searchers, of which the one in the gateway's zone sheds all requests.
class metrics_fixture : public standins::gateway_fixture {
public:
    metrics_fixture()
    {
        settings.metricsAddress = freeAddress();
        addSearcher("a", "a1", "z");
        addSearcher("a", "a2", "z");
        store.put("servers/a2", searchers["a2"]->entry("a", "z2"));
        writeConfiguration(1);
        startAndAwaitReady();
        searchers["a1"]->setBehaviour(searcher_behaviour::shedding);
    }

    // Returns the body of the metrics listener's response.
    std::string scrape() { return exchange(settings.metricsAddress, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n").reply.body; }

    // Returns whether the metrics contain the series, with any value.
    bool hasSeries(const std::string& series) { return scrape().find("\n" + series + " ") != std::string::npos; }
};

} // namespace

TEST_CASE("Each request is counted under its route and outcome")
{
    metrics_fixture fixture;
    fixture.sendRequest("/safe/x", "id1");
    CHECK(fixture.hasSeries(R"(limpet_request_seconds_count{route="safe",outcome="answered"})"));
}

TEST_CASE("Failed sends are counted by failure, extra sends by reason")
{
    metrics_fixture fixture;
    fixture.sendRequest("/safe/x", "id1");
    CHECK(fixture.hasSeries(R"(limpet_sends_failed_total{route="safe",how="not_executed"})"));
    CHECK(fixture.scrape().find("limpet_extra_sends_total{route=\"safe\",why=") != std::string::npos);
}

TEST_CASE("Store call durations are recorded by call and result")
{
    metrics_fixture fixture;
    CHECK(fixture.hasSeries(R"(limpet_store_call_seconds_count{call="read",result="ok"})"));
    CHECK(fixture.hasSeries(R"(limpet_store_call_seconds_count{call="grant",result="ok"})"));
    fixture.store.setBehaviour(standins::store_behaviour::rejecting);
    CHECK(fixture.runUntil([&] { return fixture.scrape().find("result=\"rejected\"") != std::string::npos; }));
}

// Guards against a false outage: a replica's answer that the member entry is missing was taken for a failed call.
TEST_CASE("A missing member entry is not counted as an outage of the store")
{
    metrics_fixture fixture;
    fixture.runFor(milliseconds(1000)); // until the watch is pending
    fixture.store.remove("limpetpier/members/node-1");
    fixture.runFor(fixture.settings.membershipTiming.watchCheckInterval + milliseconds(500)); // until the revision was read
    REQUIRE(fixture.hasSeries(R"(limpet_store_call_seconds_count{call="revision",result="no_lease"})"));
    CHECK_FALSE(fixture.hasSeries(R"(limpet_store_changes_total{to="unreachable"})"));
}

TEST_CASE("The process's share of each limit is reported per service")
{
    metrics_fixture fixture;
    CHECK(fixture.hasSeries(R"(limpet_share{service="a",bound="connections"})"));
    CHECK(fixture.hasSeries(R"(limpet_share{service="a",bound="cold_requests"})"));
}

TEST_CASE("Routes beyond maxRoutes share one label")
{
    gateway_metrics metrics;
    for (std::size_t route = 0; route < gateway_metrics::maxRoutes + 2; ++route) {
        request_report ended;
        ended.route = "r" + std::to_string(route);
        ended.outcome = "answered";
        metrics.record(ended);
    }
    const auto text = metrics.render({});
    CHECK(text.find(R"(route="other")") != std::string::npos);
    CHECK(text.find("route=\"r" + std::to_string(gateway_metrics::maxRoutes) + "\"") == std::string::npos);
}

TEST_CASE("Label values are escaped")
{
    gateway_metrics metrics;
    request_report ended;
    ended.route = "a\"b\\c\nd";
    ended.outcome = "answered";
    metrics.record(ended);
    const auto text = metrics.render({});
    CHECK(text.find(R"(limpet_sends_total{route="a\"b\\c\nd"})") != std::string::npos);
    CHECK(text.find("c\nd") == std::string::npos);
}
