#include "soak/soak_checker.h"

#include <catch2/catch.hpp>

using namespace limpetpier;
using soak::promise;

namespace {

const monotonic_time start { std::chrono::hours(1) };

// A history of one gateway, its clients and two services, told to the checker.
class history {
public:
    history& sendUnsafe() { return send({ "r1", "gateway-1", { "a" }, false }); }
    history& sendSafe() { return send({ "r1", "gateway-1", { "a" }, true }); }
    history& sendQuery() { return send({ "r1", "gateway-1", { "a", "b" }, true }); }

    history& send(const soak::sent_request& request)
    {
        checker.sent(request, now);
        return *this;
    }

    history& run(const std::string& service = "a", const std::string& signature = "s1", const std::string& request = "r1")
    {
        checker.arrived(request, service + "1", service, true, now);
        checker.gaveSignature(signature, request, service);
        return *this;
    }

    history& answer(const soak::client_answer& given)
    {
        checker.answered("r1", given, now);
        return *this;
    }

    history& wait(milliseconds time)
    {
        now += time;
        return *this;
    }

    // Which promises were found broken, once each.
    std::set<promise> broken()
    {
        checker.check(now);
        std::set<promise> result;
        for (const auto& item : checker.violations())
            result.insert(item.broken);
        return result;
    }

    monotonic_time now = start;
    soak::soak_checker checker { {} };
};

const soak::client_answer good { 200, false, { "s1" }, 0, "ar1............." };
const std::set<promise> none;

} // namespace

TEST_CASE("A history that keeps all promises has no violation")
{
    history told;
    told.sendQuery().run("a", "s1").run("b", "s2").answer({ 200, false, { "s1", "s2" }, 0, "ar1.............br1............." });
    CHECK(told.broken() == none);
    CHECK(told.checker.wholeAnswers() == 1);
}

TEST_CASE("An unsafe request that runs twice is found, a safe one may")
{
    history told;
    SECTION("unsafe") { CHECK(told.sendUnsafe().run().run().broken() == std::set { promise::once }); }
    SECTION("safe") { CHECK(told.sendSafe().run().run().broken() == none); }
}

TEST_CASE("A refusal is found untrue whether the request ran before or after it")
{
    const soak::client_answer refusal { 503, true, {}, 0, "" };
    history told;
    SECTION("before") { CHECK(told.sendUnsafe().run().answer(refusal).broken() == std::set { promise::true_refusal }); }
    SECTION("after") { CHECK(told.sendUnsafe().answer(refusal).run().broken() == std::set { promise::true_refusal }); }
    SECTION("a true one is none") { CHECK(told.sendUnsafe().answer(refusal).broken() == none); }
}

TEST_CASE("An answer that belongs to another request is found")
{
    history told;
    told.sendSafe();
    SECTION("by its signature") { CHECK(told.run("a", "s1", "r2").answer(good).broken().contains(promise::own_answer)); }
    SECTION("by its records") { CHECK(told.run().answer({ 200, false, { "s1" }, 0, "ar2............." }).broken() == std::set { promise::own_answer }); }
    SECTION("by a request that nobody sent")
    {
        told.checker.arrived("r9", "a1", "a", true, told.now);
        CHECK(told.broken() == std::set { promise::own_answer });
    }
}

TEST_CASE("Parts that do not add up are found")
{
    history told;
    told.sendQuery().run("a", "s1").run("b", "s2");
    SECTION("one is neither in nor missing") { CHECK(told.answer(good).broken() == std::set { promise::true_coverage }); }
    SECTION("one counts twice") { CHECK(told.answer({ 200, false, { "s1", "s1" }, 0, "ar1............." }).broken() == std::set { promise::true_coverage }); }
    SECTION("one is said to be missing") { CHECK(told.answer({ 200, false, { "s1" }, 1, "ar1............." }).broken() == none); }
}

TEST_CASE("A cut request that was passed on is found unless its process was killed")
{
    history told;
    told.sendSafe();
    SECTION("passed on")
    {
        told.run().checker.cut("r1");
        CHECK(told.broken() == std::set { promise::no_cut });
    }
    SECTION("not passed on")
    {
        told.checker.cut("r1");
        CHECK(told.broken() == none);
    }
    SECTION("killed")
    {
        told.run().checker.gatewayDown("gateway-1", told.now);
        told.checker.cut("r1");
        CHECK(told.broken() == none);
    }
}

TEST_CASE("A request without an answer long after its deadline is found")
{
    history told;
    CHECK(told.sendSafe().run().wait(std::chrono::seconds(3)).broken() == std::set { promise::in_time });
}

TEST_CASE("A send for a client that left is found")
{
    history told;
    told.sendSafe().checker.left("r1", told.now);
    SECTION("long after") { CHECK(told.wait(std::chrono::seconds(1)).run().broken() == std::set { promise::left_alone }); }
    SECTION("just after") { CHECK(told.wait(milliseconds(100)).run().broken() == none); }
}

TEST_CASE("A send to a searcher that is to rest is found after the bound, in calm times")
{
    history told;
    told.checker.mustRest("a1", told.now);
    SECTION("within the bound") { CHECK(told.wait(std::chrono::seconds(2)).sendSafe().run().broken() == none); }
    SECTION("after it") { CHECK(told.wait(std::chrono::seconds(4)).sendSafe().run().broken() == std::set { promise::drained }); }
    SECTION("after it, while something is disturbed")
    {
        told.checker.disturbed(told.now);
        CHECK(told.wait(std::chrono::seconds(4)).sendSafe().run().broken() == none);
    }
}

TEST_CASE("A process that does not know a configuration is found after the bound, one that goes back at once")
{
    history told;
    told.checker.configured(5, told.now);
    SECTION("not yet")
    {
        told.checker.probed("p", 5, false, told.now + std::chrono::seconds(1), told.now + std::chrono::seconds(1));
        CHECK(told.broken() == none);
    }
    SECTION("too late")
    {
        told.wait(std::chrono::seconds(4)).checker.probed("p", 5, false, told.now, told.now);
        CHECK(told.broken() == std::set { promise::configured });
    }
    SECTION("back")
    {
        told.checker.probed("p", 5, true, told.now, told.now);
        told.wait(milliseconds(10)).checker.probed("p", 4, false, told.now, told.now);
        CHECK(told.broken() == std::set { promise::never_back });
    }
}

TEST_CASE("More than its allowance for a cold searcher is found")
{
    history told;
    told.checker.turnedCold("a1", told.now + std::chrono::seconds(4));
    told.sendSafe();
    for (int request = 0; request < 5; ++request)
        told.run();
    CHECK(told.broken() == none);
    CHECK(told.run().broken() == std::set { promise::cold });
}

TEST_CASE("Extra sends beyond their budget are found")
{
    history told;
    told.sendSafe();
    for (int request = 0; request < 59; ++request)
        told.run();
    CHECK(told.broken() == none);
    CHECK(told.run().broken() == std::set { promise::extra_sends });
}

TEST_CASE("A request that is not answered whole after the faults is found")
{
    history told;
    told.checker.expectRecovered();
    told.sendSafe().run();
    SECTION("failed") { CHECK(told.answer({ 504, false, {}, 0, "" }).broken() == std::set { promise::recovered }); }
    SECTION("whole") { CHECK(told.answer(good).broken() == none); }
}
