#include "workspace_limiter.h"

#include <optional>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using namespace limpetpier::standins;

namespace {

const workspace_id limitedWorkspace("w");
constexpr milliseconds limitWindow { 5000 };

routing_table makeTable(double perSecond, double burst)
{
    workspace entry;
    entry.id = limitedWorkspace;
    entry.requestsPerSecond = perSecond;
    entry.burst = burst;
    workspace_directory workspaces;
    workspaces.add(entry, {});
    return { table_version(1), {}, {}, {}, std::move(workspaces) };
}

// Limiters of several gateways that reach each other over loopback.
class limiter_fixture {
public:
    explicit limiter_fixture(std::size_t gateways, const std::string& secret = "secret")
    {
        for (std::size_t index = 0; index < gateways; ++index) {
            const node_id name("node-" + std::to_string(index));
            boost::asio::ip::udp::socket probe(io, { boost::asio::ip::address_v4::loopback(), 0 });
            const auto address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
            probe.close();
            addresses[name] = address;
            limiters.push_back(std::make_unique<workspace_limiter>(io.get_executor(), name, address, secret, milliseconds(7500)));
            limiters.back()->changeBounds(limitWindow, 0);
            limiters.back()->start();
        }
    }

    // Applies a limit at all gateways, which all ran before.
    void applyLimit(double perSecond, double burst)
    {
        const auto now = monotonic_clock::now();
        for (auto& limiter : limiters) {
            limiter->maintain(now, now);
            limiter->update(makeTable(perSecond, burst), addresses, true);
        }
    }

    // Runs the event loop, with the periodic maintenance.
    void run(milliseconds duration)
    {
        const auto end = monotonic_clock::now() + duration;
        while (monotonic_clock::now() < end) {
            const auto now = monotonic_clock::now();
            for (auto& limiter : limiters)
                limiter->maintain(now, now);
            io.restart();
            io.run_for(std::min(std::chrono::ceil<milliseconds>(end - now), milliseconds(50)));
        }
    }

    permit_decision acquire(std::size_t gateway)
    {
        std::optional<permit_decision> result;
        limiters[gateway]->acquire(limitedWorkspace, 0, [&](const permit_decision& decision) { result = decision; });
        const auto end = monotonic_clock::now() + milliseconds(2000);
        while (!result && monotonic_clock::now() < end) {
            io.restart();
            io.run_for(milliseconds(1));
        }
        REQUIRE(result);
        return *result;
    }

    // Acquires permits at a gateway until one is refused; returns how many were granted.
    int acquireAll(std::size_t gateway)
    {
        for (int granted = 0;; ++granted) {
            if (!acquire(gateway).granted)
                return granted;
        }
    }

    boost::asio::io_context io { 1 };
    std::map<node_id, std::string> addresses;
    std::vector<std::unique_ptr<workspace_limiter>> limiters;
};

} // namespace

TEST_CASE("Gateways admit the requests of a workspace up to its limit together")
{
    limiter_fixture fixture(5);
    fixture.applyLimit(20, 20);
    fixture.run(milliseconds(1100)); // fills the bursts
    std::size_t kept = 0;
    for (const auto& limiter : fixture.limiters)
        kept += limiter->keptCount();
    REQUIRE(kept == 2);

    SECTION("whichever gateway gets them")
    {
        const auto gateway = GENERATE(std::size_t(0), std::size_t(1), std::size_t(2), std::size_t(3), std::size_t(4));
        const auto begin = monotonic_clock::now();
        const auto granted = fixture.acquireAll(gateway);
        const auto elapsed = std::chrono::duration<double>(monotonic_clock::now() - begin).count();
        CHECK(granted >= 20);
        CHECK(granted <= 20 + 20 * elapsed + 1);
    }
    SECTION("in total over all gateways")
    {
        const auto begin = monotonic_clock::now();
        int granted = 0;
        for (std::size_t gateway = 0; gateway < 5; ++gateway)
            granted += fixture.acquireAll(gateway);
        const auto elapsed = std::chrono::duration<double>(monotonic_clock::now() - begin).count();
        CHECK(granted <= 20 + 20 * elapsed + 1);
    }
    SECTION("and tell a refused caller when to return")
    {
        fixture.acquireAll(0);
        const auto refused = fixture.acquire(0);
        CHECK_FALSE(refused.granted);
        CHECK(refused.isLimitReached);
        CHECK(refused.returnDelay > milliseconds(0));
        CHECK(refused.returnDelay <= milliseconds(1000));
        fixture.run(milliseconds(300));
        CHECK(fixture.acquire(0).granted);
    }
    SECTION("by the other keeper when one does not answer")
    {
        std::size_t asking = 0;
        for (std::size_t gateway = 0; gateway < 5; ++gateway) {
            if (fixture.limiters[gateway]->keptCount() == 0)
                asking = gateway;
        }
        for (std::size_t gateway = 0; gateway < 5; ++gateway) {
            if (fixture.limiters[gateway]->keptCount() == 1) {
                fixture.limiters.erase(fixture.limiters.begin() + static_cast<std::ptrdiff_t>(gateway));
                asking -= gateway < asking ? 1 : 0;
                break;
            }
        }
        const auto granted = fixture.acquireAll(asking);
        CHECK(granted >= 10);
        CHECK(granted < 20);
    }
}

TEST_CASE("Without a keeper requests are refused, and that is not said to be the limit")
{
    limiter_fixture fixture(4);
    fixture.applyLimit(20, 20);
    std::size_t asking = 0;
    for (std::size_t gateway = 0; gateway < 4; ++gateway) {
        if (fixture.limiters[gateway]->keptCount() == 0)
            asking = gateway;
        else
            fixture.limiters[gateway]->leave();
    }
    fixture.run(milliseconds(200));
    const auto refused = fixture.acquire(asking);
    CHECK_FALSE(refused.granted);
    CHECK_FALSE(refused.isLimitReached);
    CHECK(refused.returnDelay > milliseconds(0));
}

TEST_CASE("Without a secret each gateway admits an equal part of a limit")
{
    limiter_fixture fixture(4, "");
    fixture.applyLimit(40, 40);
    fixture.run(milliseconds(1100));
    for (std::size_t gateway = 0; gateway < 4; ++gateway) {
        const auto begin = monotonic_clock::now();
        const auto granted = fixture.acquireAll(gateway);
        const auto elapsed = std::chrono::duration<double>(monotonic_clock::now() - begin).count();
        CHECK(granted >= 10);
        CHECK(granted <= 10 + 10 * elapsed + 1);
    }
}

TEST_CASE("A workspace without a limit, or a deployment without a window, needs no permits")
{
    limiter_fixture fixture(1);
    fixture.applyLimit(0, 0);
    CHECK_FALSE(fixture.limiters[0]->isLimited(limitedWorkspace));
    fixture.applyLimit(10, 0);
    CHECK(fixture.limiters[0]->isLimited(limitedWorkspace));
    fixture.limiters[0]->changeBounds(milliseconds(0), 0);
    fixture.applyLimit(10, 0);
    CHECK_FALSE(fixture.limiters[0]->isLimited(limitedWorkspace));
}

TEST_CASE("Callers beyond the limit return spread over the time in which it admits them")
{
    CHECK(limitReturnDelay(milliseconds(100), 0, 10, 0) == milliseconds(100));
    CHECK(limitReturnDelay(milliseconds(100), 0, 10, 99) == milliseconds(199));
    CHECK(limitReturnDelay(milliseconds(100), 0, 10, 100) == milliseconds(100));
    CHECK(limitReturnDelay(milliseconds(100), 19, 10, 1999) == milliseconds(2099));
    CHECK(limitReturnDelay(milliseconds::max() / 2, 0, 0, 7) == milliseconds(10'000));
}

TEST_CASE("Requests that arrive while a keeper is being asked are put to it as well")
{
    limiter_fixture fixture(5);
    fixture.applyLimit(20, 20);
    fixture.run(milliseconds(1100)); // fills the bursts
    std::vector<std::size_t> keepers;
    std::size_t other = 0;
    for (std::size_t gateway = 0; gateway < fixture.limiters.size(); ++gateway) {
        if (fixture.limiters[gateway]->keptCount() > 0)
            keepers.push_back(gateway);
        else
            other = gateway;
    }
    REQUIRE(keepers.size() == 2);
    fixture.limiters[keepers[GENERATE(std::size_t(0), std::size_t(1))]].reset(); // does not answer

    int granted = 0;
    int decided = 0;
    for (int request = 0; request < 6; ++request) {
        fixture.limiters[other]->acquire(limitedWorkspace, 0, [&](const permit_decision& decision) {
            ++decided;
            granted += decision.granted ? 1 : 0;
        });
    }
    fixture.io.restart();
    fixture.io.run_for(milliseconds(400));
    CHECK(decided == 6);
    CHECK(granted == 6);

    SECTION("and an address that cannot be read stops nothing")
    {
        for (const auto keeper : keepers)
            fixture.addresses[node_id("node-" + std::to_string(keeper))] = "nowhere";
        fixture.limiters[other]->update(makeTable(20, 20), fixture.addresses, true);
        bool isDecided = false;
        for (int request = 0; request < 20; ++request)
            fixture.limiters[other]->acquire(limitedWorkspace, 0, [&](const permit_decision&) { isDecided = true; });
        fixture.io.restart();
        fixture.io.run_for(milliseconds(400));
        CHECK(isDecided);
        CHECK(fixture.limiters[other]->waiting() == 0);
    }
}
