#include "soak/soak_checker.h"

#include <catch2/catch.hpp>

using namespace limpetpier;
using soak::promise;

namespace {

const monotonic_time startTime { std::chrono::hours(1) };

// Reports the events of one gateway, its clients and two services to a checker.
class request_history {
public:
    request_history& sendUnsafe() { return send({ "r1", "gateway-1", { "a" }, false }); }
    request_history& sendSafe() { return send({ "r1", "gateway-1", { "a" }, true }); }
    request_history& sendQuery() { return send({ "r1", "gateway-1", { "a", "b" }, true }); }

    request_history& send(const soak::sent_request& request)
    {
        checker.onRequestSent(request, now);
        return *this;
    }

    request_history& execute(const std::string& service = "a", const std::string& signature = "s1", const std::string& request = "r1")
    {
        checker.onRequestReceived(request, service + "1", service, true, now);
        checker.onResponseSigned(signature, request, service);
        return *this;
    }

    request_history& respond(const soak::client_response& response)
    {
        checker.onResponseReceived("r1", response, now);
        return *this;
    }

    request_history& wait(milliseconds duration)
    {
        now += duration;
        return *this;
    }

    // Returns the promises that the checker found broken, without duplicates.
    std::set<promise> brokenPromises()
    {
        checker.checkOverdueRequests(now);
        std::set<promise> result;
        for (const auto& violation : checker.violations())
            result.insert(violation.broken);
        return result;
    }

    monotonic_time now = startTime;
    soak::soak_checker checker { {} };
};

const soak::client_response completeResponse { 200, false, { "s1" }, 0, "ar1............." };
const std::set<promise> noPromises;

} // namespace

TEST_CASE("A history that keeps all promises has no violations")
{
    request_history history;
    history.sendQuery().execute("a", "s1").execute("b", "s2").respond({ 200, false, { "s1", "s2" }, 0, "ar1.............br1............." });
    CHECK(history.brokenPromises() == noPromises);
    CHECK(history.checker.completeResponseCount() == 1);
}

TEST_CASE("Executing a request twice is a violation only if the request is unsafe")
{
    request_history history;
    SECTION("unsafe request") { CHECK(history.sendUnsafe().execute().execute().brokenPromises() == std::set { promise::once }); }
    SECTION("safe request") { CHECK(history.sendSafe().execute().execute().brokenPromises() == noPromises); }
}

TEST_CASE("Reporting an executed request as not executed is a violation")
{
    const soak::client_response refusal { 503, true, {}, 0, "" };
    request_history history;
    SECTION("executed before the refusal") { CHECK(history.sendUnsafe().execute().respond(refusal).brokenPromises() == std::set { promise::true_refusal }); }
    SECTION("executed after the refusal") { CHECK(history.sendUnsafe().respond(refusal).execute().brokenPromises() == std::set { promise::true_refusal }); }
    SECTION("never executed: no violation") { CHECK(history.sendUnsafe().respond(refusal).brokenPromises() == noPromises); }
}

TEST_CASE("A response that belongs to another request is a violation")
{
    request_history history;
    history.sendSafe();
    SECTION("signature of another request") { CHECK(history.execute("a", "s1", "r2").respond(completeResponse).brokenPromises().contains(promise::own_answer)); }
    SECTION("records of another request") { CHECK(history.execute().respond({ 200, false, { "s1" }, 0, "ar2............." }).brokenPromises() == std::set { promise::own_answer }); }
    SECTION("searcher receives a request that no client sent")
    {
        history.checker.onRequestReceived("r9", "a1", "a", true, history.now);
        CHECK(history.brokenPromises() == std::set { promise::own_answer });
    }
}

TEST_CASE("Response parts that do not match the parts of the request are a violation")
{
    request_history history;
    history.sendQuery().execute("a", "s1").execute("b", "s2");
    SECTION("one part is neither contained nor reported missing") { CHECK(history.respond(completeResponse).brokenPromises() == std::set { promise::true_coverage }); }
    SECTION("one part is contained twice") { CHECK(history.respond({ 200, false, { "s1", "s1" }, 0, "ar1............." }).brokenPromises() == std::set { promise::true_coverage }); }
    SECTION("one part is reported missing: no violation") { CHECK(history.respond({ 200, false, { "s1" }, 1, "ar1............." }).brokenPromises() == noPromises); }
}

TEST_CASE("Losing the connection of a forwarded request is a violation unless the gateway was killed")
{
    request_history history;
    history.sendSafe();
    SECTION("forwarded")
    {
        history.execute().checker.onConnectionLost("r1");
        CHECK(history.brokenPromises() == std::set { promise::no_cut });
    }
    SECTION("not forwarded: no violation")
    {
        history.checker.onConnectionLost("r1");
        CHECK(history.brokenPromises() == noPromises);
    }
    SECTION("gateway killed: no violation")
    {
        history.execute().checker.onGatewayDown("gateway-1", history.now);
        history.checker.onConnectionLost("r1");
        CHECK(history.brokenPromises() == noPromises);
    }
}

TEST_CASE("A request without a response long after its deadline is a violation")
{
    request_history history;
    CHECK(history.sendSafe().execute().wait(std::chrono::seconds(3)).brokenPromises() == std::set { promise::in_time });
}

TEST_CASE("Forwarding a request of a disconnected client is a violation")
{
    request_history history;
    history.sendSafe().checker.onClientDisconnected("r1", history.now);
    SECTION("after the tolerance") { CHECK(history.wait(std::chrono::seconds(1)).execute().brokenPromises() == std::set { promise::left_alone }); }
    SECTION("within the tolerance: no violation") { CHECK(history.wait(milliseconds(100)).execute().brokenPromises() == noPromises); }
}

TEST_CASE("A request to a draining searcher is a violation once the drain delay has passed without disturbances")
{
    request_history history;
    history.checker.expectDrained("a1", history.now);
    SECTION("within the drain delay: no violation") { CHECK(history.wait(std::chrono::seconds(2)).sendSafe().execute().brokenPromises() == noPromises); }
    SECTION("after the drain delay") { CHECK(history.wait(std::chrono::seconds(4)).sendSafe().execute().brokenPromises() == std::set { promise::drained }); }
    SECTION("after the drain delay, shortly after a disturbance: no violation")
    {
        history.checker.onDisturbance(history.now);
        CHECK(history.wait(std::chrono::seconds(4)).sendSafe().execute().brokenPromises() == noPromises);
    }
}

TEST_CASE("A process that lacks a new configuration is a violation after the configuration delay, one that returns to an older configuration at once")
{
    request_history history;
    history.checker.onConfigurationWritten(5, history.now);
    SECTION("within the configuration delay: no violation")
    {
        history.checker.onRouteProbed("p", 5, false, history.now + std::chrono::seconds(1), history.now + std::chrono::seconds(1));
        CHECK(history.brokenPromises() == noPromises);
    }
    SECTION("after the configuration delay")
    {
        history.wait(std::chrono::seconds(4)).checker.onRouteProbed("p", 5, false, history.now, history.now);
        CHECK(history.brokenPromises() == std::set { promise::configured });
    }
    SECTION("return to an older configuration")
    {
        history.checker.onRouteProbed("p", 5, true, history.now, history.now);
        history.wait(milliseconds(10)).checker.onRouteProbed("p", 4, false, history.now, history.now);
        CHECK(history.brokenPromises() == std::set { promise::never_back });
    }
}

TEST_CASE("Exceeding the request limit of a cold searcher is a violation")
{
    request_history history;
    history.checker.setColdUntil("a1", history.now + std::chrono::seconds(4));
    history.sendSafe();
    for (int request = 0; request < 5; ++request)
        history.execute();
    CHECK(history.brokenPromises() == noPromises);
    CHECK(history.execute().brokenPromises() == std::set { promise::cold });
}

TEST_CASE("Retries and hedged requests beyond their budget are a violation")
{
    request_history history;
    history.sendSafe();
    for (int request = 0; request < 59; ++request)
        history.execute();
    CHECK(history.brokenPromises() == noPromises);
    CHECK(history.execute().brokenPromises() == std::set { promise::extra_sends });
}

TEST_CASE("An incomplete response after the faults is a violation")
{
    request_history history;
    history.checker.expectRecovered();
    history.sendSafe().execute();
    SECTION("error status") { CHECK(history.respond({ 504, false, {}, 0, "" }).brokenPromises() == std::set { promise::recovered }); }
    SECTION("complete response: no violation") { CHECK(history.respond(completeResponse).brokenPromises() == noPromises); }
}

TEST_CASE("A searcher that announced in a response that it leaves gets no requests from that gateway after the drain delay")
{
    request_history history;
    history.sendSafe().execute().checker.onLeavingAnnounced("s1", "a1");
    history.respond(completeResponse);
    const auto arriveFrom = [&](const std::string& gateway) {
        history.send({ "r2", gateway, { "a" }, true }).execute("a", "s2", "r2");
        return history.brokenPromises();
    };

    SECTION("but may get them before")
    {
        history.wait(milliseconds(2900));
        CHECK(arriveFrom("gateway-1") == noPromises);
    }
    SECTION("not one later")
    {
        history.wait(milliseconds(3100));
        CHECK(arriveFrom("gateway-1") == std::set { promise::leaving });
    }
    SECTION("another gateway did not see the announcement")
    {
        history.wait(milliseconds(3100));
        CHECK(arriveFrom("gateway-2") == noPromises);
    }
    SECTION("a restart of the searcher ends it")
    {
        history.checker.onSearcherStarted("a1");
        history.wait(milliseconds(3100));
        CHECK(arriveFrom("gateway-1") == noPromises);
    }
    SECTION("a restart of the gateway ends it")
    {
        history.checker.onGatewayDown("gateway-1", history.now);
        history.checker.onGatewayUp("gateway-1", history.now);
        history.wait(milliseconds(10'000));
        CHECK(arriveFrom("gateway-1") == noPromises);
    }
}

TEST_CASE("A searcher that pushed back gets at most two requests from that gateway in the time that it asked for")
{
    request_history history;
    history.sendSafe().checker.onPushback("r1", "a1", milliseconds(2000), history.now);
    const auto arrive = [&](int count) {
        for (int index = 0; index < count; ++index) {
            const auto id = "p" + std::to_string(index);
            history.send({ id, "gateway-1", { "a" }, true }).execute("a", "s" + id, id);
        }
        return history.brokenPromises();
    };

    SECTION("those within the tolerance do not count")
    {
        history.wait(milliseconds(400));
        CHECK(arrive(5) == noPromises);
    }
    SECTION("two are allowed")
    {
        history.wait(milliseconds(600));
        CHECK(arrive(2) == noPromises);
    }
    SECTION("three are not")
    {
        history.wait(milliseconds(600));
        CHECK(arrive(3) == std::set { promise::pushed_back });
    }
    SECTION("after the time they are")
    {
        history.wait(milliseconds(2100));
        CHECK(arrive(5) == noPromises);
    }
    SECTION("a disturbance excuses them")
    {
        history.checker.onDisturbance(history.now);
        history.wait(milliseconds(600));
        CHECK(arrive(3) == noPromises);
    }
}
