#include "searcher_connection_pool.h"

#include <catch2/catch.hpp>

#include "standins/platform_searcher.h"
#include "wire_protocol.h"

using namespace limpetpier;

namespace {

// Connection pool of one stand-in searcher.
class pool_fixture {
public:
    pool_fixture() { pool.changeLimits({ 2, false, 0, "/healthz" }); }

    searcher_entry makeEntry()
    {
        searcher_entry result;
        result.id = searcher_id("a1");
        result.service = service_id("a");
        result.address = searcher.address();
        return result;
    }

    call_handle send(const std::string& id = "id1")
    {
        http_request message { "GET", "/x", { { "Host", "h" }, { "Request-Id", id } }, {} };
        auto call = std::make_shared<searcher_call>();
        call->request = std::make_shared<client_request>(protocol.decodeRequest(std::move(message), credential_policy::forward));
        call->deadline = monotonic_clock::now() + milliseconds(2000);
        call->stalledAt = call->deadline;
        call->onResult = [this](call_result result) { results.push_back(std::move(result)); };
        pool.send(call);
        return call;
    }

    // Runs the event loop for the whole duration.
    void runFor(milliseconds duration)
    {
        boost::asio::steady_timer timer(io, duration);
        timer.async_wait([this](const boost::system::error_code&) { io.stop(); });
        io.restart();
        io.run();
    }

    void keepReady() { pool.changeLimits({ 2, true, 0, "/healthz" }); }

    boost::asio::io_context io { 1 };
    platform::wire_protocol protocol;
    standins::platform_searcher searcher { io, "a1", "z" };
    searcher_connection_pool pool { io.get_executor(), protocol, makeEntry(), std::make_shared<connection_budget>(connection_budget::limits { 1U << 20 }) };
    std::vector<call_result> results;
};

} // namespace

TEST_CASE("A call is sent once a connection is established")
{
    pool_fixture fixture;
    fixture.send();
    fixture.runFor(milliseconds(200));
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].reply.kind == reply_kind::success);
}

TEST_CASE("A call fails unsent if the searcher accepts no connection")
{
    pool_fixture fixture;
    fixture.searcher.server().limitConnections(0);
    fixture.send();
    fixture.runFor(milliseconds(200));
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].stage == exchange_stage::not_written);
}

TEST_CASE("A call cancelled while it waits for a connection is not sent")
{
    pool_fixture fixture;
    const auto call = fixture.send();
    fixture.pool.cancel(call, milliseconds(0));
    fixture.runFor(milliseconds(200));
    CHECK(fixture.results.empty());
    CHECK(fixture.searcher.arrivals() == 0);
}

TEST_CASE("A searcher must be verified again after its only, unused connection closed some time after it was opened")
{
    pool_fixture fixture;
    fixture.keepReady();
    fixture.pool.maintain(monotonic_clock::now());
    fixture.runFor(milliseconds(400));
    REQUIRE(fixture.pool.isUsable(monotonic_clock::now()));
    fixture.searcher.server().crash();
    fixture.runFor(milliseconds(300));
    CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
}

TEST_CASE("A searcher must be verified again after its connection closed right after a health check")
{
    pool_fixture fixture;
    fixture.keepReady();
    fixture.pool.setEvacuated(true);
    fixture.pool.setEvacuated(false);
    fixture.pool.maintain(monotonic_clock::now());
    fixture.runFor(milliseconds(40));
    REQUIRE(fixture.pool.isUsable(monotonic_clock::now()));
    fixture.searcher.server().crash();
    fixture.runFor(milliseconds(300));
    CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
}

TEST_CASE("A searcher that announces that it leaves gets no further request")
{
    pool_fixture fixture;

    SECTION("after a reply to a request")
    {
        fixture.searcher.announceLeaving();
        fixture.searcher.setBehaviour(GENERATE(standins::searcher_behaviour::normal, standins::searcher_behaviour::failing, standins::searcher_behaviour::shedding, standins::searcher_behaviour::stale_response_first));
        fixture.send();
        fixture.runFor(milliseconds(100));
        CHECK(fixture.results.size() == 1);
    }
    SECTION("after a reply that arrives when the call has been cancelled")
    {
        fixture.searcher.answerWithRequestId([] { return milliseconds(60); });
        const auto call = fixture.send();
        fixture.runFor(milliseconds(40));
        REQUIRE(call->written);
        fixture.pool.cancel(call, milliseconds(500));
        fixture.searcher.announceLeaving();
        fixture.runFor(milliseconds(100));
        CHECK(fixture.results.empty());
    }
    SECTION("even if it was queued for a connection before the announcement")
    {
        fixture.pool.changeLimits({ 1, false, 0, "/healthz" });
        fixture.searcher.answerWithRequestId([] { return milliseconds(40); });
        fixture.searcher.announceLeaving();
        fixture.send("first");
        fixture.send("queued");
        fixture.runFor(milliseconds(200));
        REQUIRE(fixture.results.size() == 2);
        CHECK(fixture.searcher.runsOf("first") == 1);
        CHECK(std::count_if(fixture.results.begin(), fixture.results.end(), [](const call_result& result) { return result.stage == exchange_stage::not_written; }) == 1);
    }
    SECTION("after a health check")
    {
        fixture.searcher.announceLeaving();
        fixture.keepReady();
        fixture.pool.setEvacuated(true);
        fixture.pool.setEvacuated(false);
        fixture.pool.maintain(monotonic_clock::now());
        fixture.runFor(milliseconds(100));
        CHECK(fixture.searcher.healthChecks() == 1);
    }
    const auto arrivals = fixture.searcher.arrivals();
    CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
    CHECK_FALSE(fixture.pool.isReachable(monotonic_clock::now()));
    fixture.send("later");
    fixture.pool.maintain(monotonic_clock::now());
    fixture.runFor(milliseconds(200));
    CHECK(fixture.searcher.arrivals() == arrivals);
}

TEST_CASE("A leaving searcher is used again after a restart under the same id")
{
    pool_fixture fixture;
    auto entry = fixture.makeEntry();
    entry.startTimeMs = 17;
    fixture.pool.update(entry, {});
    fixture.searcher.announceLeaving();
    fixture.send();
    fixture.runFor(milliseconds(100));
    entry.coldTimeLeft = milliseconds(1);
    fixture.pool.update(entry, {}); // a changed entry of the same start
    CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
    entry.startTimeMs = 18;
    fixture.pool.update(entry, {});
    CHECK(fixture.pool.isUsable(monotonic_clock::now()));
}

TEST_CASE("A notice that arrives from the time before a restart does not apply to the restarted searcher")
{
    pool_fixture fixture;
    auto entry = fixture.makeEntry();
    entry.startTimeMs = 17;
    fixture.pool.update(entry, {});
    fixture.searcher.answerWithRequestId([] { return milliseconds(60); });
    fixture.searcher.announceLeaving();
    fixture.send();
    fixture.runFor(milliseconds(40));
    entry.startTimeMs = 18;
    fixture.pool.update(entry, {});
    fixture.runFor(milliseconds(100));
    CHECK(fixture.results.size() == 1);
    CHECK(fixture.pool.isUsable(monotonic_clock::now()));
    CHECK(fixture.pool.connectionCount() == 0); // it led to the former process
}

TEST_CASE("A notice of another searcher at the address is ignored")
{
    pool_fixture fixture;
    fixture.searcher.announceLeaving();
    fixture.searcher.setBehaviour(standins::searcher_behaviour::misdirected);
    fixture.send();
    fixture.runFor(milliseconds(100));
    fixture.searcher.setBehaviour(standins::searcher_behaviour::normal);
    CHECK(fixture.pool.acceptsRequests());
}

TEST_CASE("A searcher that rejects a request with a pushback gets no request before its end")
{
    pool_fixture fixture;
    fixture.searcher.setBehaviour(standins::searcher_behaviour::shedding);
    fixture.searcher.setRetryAfter("0.4");
    fixture.send();
    fixture.runFor(milliseconds(60));
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].reply.kind == reply_kind::not_executed);
    const auto arrivals = fixture.searcher.arrivals();
    CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
    CHECK(fixture.pool.sendableFrom(monotonic_clock::now()) > monotonic_clock::now() + milliseconds(200));

    SECTION("neither a queued one nor a health check")
    {
        fixture.pool.setEvacuated(true);
        fixture.pool.setEvacuated(false);
        fixture.pool.maintain(monotonic_clock::now());
        fixture.send("early");
        fixture.runFor(milliseconds(150));
        CHECK(fixture.searcher.arrivals() == arrivals);
        CHECK(fixture.searcher.healthChecks() == 0);
        CHECK(fixture.results.size() == 2);
    }
    SECTION("and is used again after it")
    {
        fixture.searcher.setBehaviour(standins::searcher_behaviour::normal);
        fixture.runFor(milliseconds(450));
        REQUIRE(fixture.pool.isUsable(monotonic_clock::now()));
        fixture.send("later");
        fixture.runFor(milliseconds(100));
        CHECK(fixture.searcher.runsOf("later") == 1);
    }
    SECTION("or after a restart")
    {
        auto entry = fixture.makeEntry();
        entry.startTimeMs = 17;
        fixture.pool.update(entry, {});
        entry.startTimeMs = 18;
        fixture.pool.update(entry, {});
        CHECK(fixture.pool.isUsable(monotonic_clock::now()));
    }
}

TEST_CASE("A searcher whose health check is rejected with a pushback is checked again after its end")
{
    pool_fixture fixture;
    fixture.searcher.setHealthy(false);
    fixture.searcher.setRetryAfter("1.6");
    fixture.pool.setEvacuated(true);
    fixture.pool.setEvacuated(false);
    const auto maintainFor = [&](int tenths) {
        for (int round = 0; round < tenths; ++round) {
            fixture.pool.maintain(monotonic_clock::now());
            fixture.runFor(milliseconds(100));
        }
    };
    maintainFor(14);
    CHECK(fixture.searcher.healthChecks() == 1);
    fixture.searcher.setHealthy(true);
    maintainFor(8);
    CHECK(fixture.searcher.healthChecks() == 2);
    CHECK(fixture.pool.isUsable(monotonic_clock::now()));
}

TEST_CASE("An entry may be older than what a health check found out")
{
    pool_fixture fixture;
    auto entry = fixture.makeEntry();
    entry.startTimeMs = 17;
    fixture.pool.update(entry, {});
    fixture.keepReady();
    fixture.searcher.setCold(4000);
    fixture.pool.setEvacuated(true);
    fixture.pool.setEvacuated(false);
    entry.startTimeMs = 18; // of a start that has ended, as the searcher has restarted again

    SECTION("a searcher that must be checked is checked, although an entry of another start arrives")
    {
        fixture.pool.update(entry, {});
        CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
        fixture.pool.maintain(monotonic_clock::now());
        fixture.runFor(milliseconds(40));
        CHECK(fixture.searcher.healthChecks() == 1);
    }
    SECTION("a searcher that said that it is cold stays cold")
    {
        fixture.pool.maintain(monotonic_clock::now());
        fixture.runFor(milliseconds(40));
        REQUIRE(fixture.searcher.healthChecks() == 1);
        REQUIRE_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
        fixture.pool.update(entry, {});
        CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
        entry.slots = 3;
        fixture.pool.update(entry, {});
        CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
    }
}

TEST_CASE("A searcher may have restarted while no connection was open")
{
    pool_fixture fixture;
    fixture.send();
    fixture.runFor(milliseconds(400)); // longer than a restart may take
    REQUIRE(fixture.results.size() == 1);
    REQUIRE(fixture.searcher.healthChecks() == 0);

    SECTION("after the gateway closed its idle connection, the next call waits for a health check")
    {
        fixture.pool.maintain(monotonic_clock::now() + milliseconds(1500));
        REQUIRE(fixture.pool.connectionCount() == 0);

        SECTION("and is not sent to a searcher that is cold and has no allowance left")
        {
            fixture.searcher.setCold(4000);
            fixture.send("id2");
            fixture.runFor(milliseconds(200));
            CHECK(fixture.searcher.healthChecks() == 1);
            CHECK(fixture.searcher.arrivals() == 1);
            REQUIRE(fixture.results.size() == 2);
            CHECK(fixture.results[1].stage == exchange_stage::not_written);
        }
        SECTION("and is sent to a warm one; two calls at once cause one health check")
        {
            fixture.send("id2");
            fixture.send("id3");
            fixture.runFor(milliseconds(200));
            CHECK(fixture.searcher.healthChecks() == 1);
            CHECK(fixture.searcher.arrivals() == 3);
            CHECK(fixture.results.size() == 3);
        }
        SECTION("and fails if the searcher says that it is not well")
        {
            fixture.searcher.setHealthy(false);
            fixture.send("id2");
            fixture.runFor(milliseconds(200));
            REQUIRE(fixture.results.size() == 2);
            CHECK(fixture.results[1].stage == exchange_stage::not_written);
        }
    }
    SECTION("while a connection is open, no health check is needed")
    {
        fixture.send("id2");
        fixture.runFor(milliseconds(100));
        CHECK(fixture.searcher.healthChecks() == 0);
        CHECK(fixture.searcher.arrivals() == 2);
    }
}

TEST_CASE("A searcher that closes each connection after its reply is asked how long it has been up unless it replied just before")
{
    pool_fixture fixture;
    fixture.searcher.setBehaviour(standins::searcher_behaviour::closing);
    for (int number = 0; number < 3; ++number) {
        fixture.send("id" + std::to_string(number));
        fixture.runFor(milliseconds(50));
    }
    CHECK(fixture.searcher.arrivals() == 3);
    CHECK(fixture.searcher.healthChecks() == 0);
    fixture.runFor(milliseconds(400));
    fixture.send("id3");
    fixture.runFor(milliseconds(50));
    CHECK(fixture.searcher.arrivals() == 4);
    CHECK(fixture.searcher.healthChecks() == 1);
}
