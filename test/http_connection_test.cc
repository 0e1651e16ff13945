#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "limpetpier/transport/http.h"
#include "standins/endless_reply.h"
#include "standins/raw_server.h"

using namespace limpetpier;

// Guards against running out of memory: the buffer of a connection was unbounded, so a chunk extension or a trailer
// without end was kept until the timeout.
TEST_CASE("A reply without end to http_connection fails the exchange after a bounded number of bytes")
{
    const auto reply = GENERATE(from_range(standins::endlessReplies()));
    INFO(reply.description);
    boost::asio::io_context io { 1 };
    standins::raw_server server(io, 0, [&](const http_request&, const standins::raw_exchange_handle& exchange) { exchange->sendWithoutEnd(reply.beginning, reply.repeated); });
    http_connection connection(io.get_executor());
    exchange_result result;
    constexpr milliseconds timeout { 3000 };
    boost::asio::co_spawn(
        io, [&]() -> awaitable<void> {
            http_request request;
            request.method = "GET";
            request.target = "/";
            if (!co_await connection.connect(parseTcpEndpoint(server.address()), timeout))
                co_return;
            result = co_await connection.exchange(std::move(request), timeout);
            io.stop(); },
        boost::asio::detached);
    io.run_for(2 * timeout);
    // The interim reply is delivered as a reply, and what follows it is not read.
    CHECK((result.stage == exchange_stage::no_reply || result.reply.status == 102));
    constexpr std::size_t maxReceivedBytes = 9U << 20; // the largest body with its framing
    constexpr std::size_t socketBufferBytes = 16U << 20; // of both ends, at most
    CHECK(server.endlessBytesSent() <= maxReceivedBytes + socketBufferBytes);
}
