#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"

using namespace limpetpier;

namespace {

// Gateway with a workspace "limited" of 10 requests a second and a burst of 5, and one without a limit.
class limit_fixture : public standins::gateway_fixture {
public:
    explicit limit_fixture(milliseconds window)
    {
        limitWindow = window;
        settings.nodeSecret = "secret";
        settings.metricsAddress = freeAddress();
        addSearcher("a", "a1", "z");
        writeLimit(5, R"("ratePerS":10,"burst":5)");
        startAndAwaitReady();
        runFor(milliseconds(700)); // fills the burst
    }

    void writeLimit(std::uint64_t version, const std::string& limit)
    {
        store.put("op/config", makeConfiguration(version, "", R"(,"tenants":[{"name":"limited","apiKeys":["k1"],)" + limit + R"(},{"name":"free","apiKeys":["k2"]}])"));
    }

    answer send(const std::string& key)
    {
        auto request = formatRequest("/safe/x", "id" + std::to_string(++m_requests));
        return exchange(settings.clientAddress, request.insert(request.size() - 2, "Authorization: Bearer " + key + "\r\n"));
    }

    // Sends requests until one is refused; returns how many were served.
    int serveAll(const std::string& key, int most)
    {
        for (int served = 0; served < most; ++served) {
            if (send(key).reply.status != 200)
                return served;
        }
        return most;
    }

    std::string scrape() { return exchange(settings.metricsAddress, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n").reply.body; }

private:
    int m_requests = 0;
};

} // namespace

TEST_CASE("A workspace is served up to its limit")
{
    limit_fixture fixture(milliseconds(5000));

    SECTION("and refused beyond it, with a time to return and without an arrival at a searcher")
    {
        const auto begin = monotonic_clock::now();
        const auto served = fixture.serveAll("k1", 100);
        const auto elapsed = std::chrono::duration<double>(monotonic_clock::now() - begin).count();
        CHECK(served >= 5);
        CHECK(served <= 5 + 10 * elapsed + 1);
        const auto arrivals = fixture.searchers["a1"]->arrivals();
        const auto refused = fixture.send("k1");
        CHECK(refused.reply.status == 429);
        CHECK_FALSE(refused.reply.field("Retry-After").empty());
        CHECK(fixture.searchers["a1"]->arrivals() == arrivals);
    }
    SECTION("without effect on another workspace")
    {
        fixture.serveAll("k1", 100);
        CHECK(fixture.serveAll("k2", 20) == 20);
    }
    SECTION("and served again when time has passed")
    {
        fixture.serveAll("k1", 100);
        fixture.runFor(milliseconds(400));
        CHECK(fixture.send("k1").reply.status == 200);
    }
    SECTION("as the configuration in force states it")
    {
        fixture.writeLimit(6, R"("ratePerS":0)");
        CHECK(fixture.runUntil([&] { return fixture.serveAll("k1", 30) == 30; }));
    }
    SECTION("which the metrics show")
    {
        fixture.serveAll("k1", 100);
        const auto text = fixture.scrape();
        CHECK(text.find("limpet_permit_seconds_count{outcome=\"granted\"}") != std::string::npos);
        CHECK(text.find("limpet_permit_seconds_count{outcome=\"limit_reached\"}") != std::string::npos);
        CHECK(text.find("limpet_workspace_limits_kept 1") != std::string::npos);
    }
}

TEST_CASE("Limits of workspaces have no effect in a deployment without a window for them")
{
    limit_fixture fixture(milliseconds(0));
    CHECK(fixture.serveAll("k1", 40) == 40);
}
