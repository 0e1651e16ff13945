#include "searcher_connection_pool.h"

#include <catch2/catch.hpp>

#include "standins/platform_searcher.h"
#include "wire_protocol.h"

using namespace limpetpier;

namespace {

// A pool before one stand-in searcher.
class pool_fixture {
public:
    pool_fixture() { pool.changeLimits({ 2, false, 0, "/healthz" }); }

    searcher_entry entry()
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

    // Runs for the whole time, whatever is left to do.
    void run(milliseconds duration)
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
    searcher_connection_pool pool { io.get_executor(), protocol, entry() };
    std::vector<call_result> results;
};

} // namespace

TEST_CASE("A call is sent once a connection stands")
{
    pool_fixture fixture;
    fixture.send();
    fixture.run(milliseconds(200));
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].reply.kind == reply_kind::success);
}

TEST_CASE("A call whose searcher has no room for a connection is handed back unsent")
{
    pool_fixture fixture;
    fixture.searcher.server().limitConnections(0);
    fixture.send();
    fixture.run(milliseconds(200));
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].stage == exchange_stage::not_written);
}

TEST_CASE("A cancelled call that waits for its connection is not sent")
{
    pool_fixture fixture;
    const auto call = fixture.send();
    fixture.pool.cancel(call, milliseconds(0));
    fixture.run(milliseconds(200));
    CHECK(fixture.results.empty());
    CHECK(fixture.searcher.arrivals() == 0);
}

TEST_CASE("A searcher whose only connection ends unused a while after it was opened may have started anew")
{
    pool_fixture fixture;
    fixture.keepReady();
    fixture.pool.maintain(monotonic_clock::now());
    fixture.run(milliseconds(400));
    REQUIRE(fixture.pool.isUsable(monotonic_clock::now()));
    fixture.searcher.server().crash();
    fixture.run(milliseconds(300));
    CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
}

TEST_CASE("A searcher that ends right after it was verified may have started anew")
{
    pool_fixture fixture;
    fixture.keepReady();
    fixture.pool.setEvacuated(true);
    fixture.pool.setEvacuated(false);
    fixture.pool.maintain(monotonic_clock::now());
    fixture.run(milliseconds(40));
    REQUIRE(fixture.pool.isUsable(monotonic_clock::now()));
    fixture.searcher.server().crash();
    fixture.run(milliseconds(300));
    CHECK_FALSE(fixture.pool.isUsable(monotonic_clock::now()));
}
