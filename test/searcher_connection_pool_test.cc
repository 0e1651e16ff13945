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

    call_handle send()
    {
        http_request message { "GET", "/x", { { "Host", "h" }, { "Request-Id", "id1" } }, {} };
        auto call = std::make_shared<searcher_call>();
        call->request = std::make_shared<client_request>(protocol.decodeRequest(std::move(message)));
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
    searcher_connection_pool pool { io.get_executor(), protocol, makeEntry() };
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
