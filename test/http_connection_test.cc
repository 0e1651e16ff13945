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
    CHECK(result.stage == exchange_stage::no_reply);
    constexpr std::size_t maxReceivedBytes = 9U << 20; // the largest body with its framing
    constexpr std::size_t socketBufferBytes = 16U << 20; // of both ends, at most
    CHECK(server.endlessBytesSent() <= maxReceivedBytes + socketBufferBytes);
}

TEST_CASE("http_connection delivers only a final reply")
{
    const auto [bytes, status] = GENERATE(table<std::string, unsigned>({
        { "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", 200 },
        { "HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\na", 0 },
        { "HTTP/1.1 600 X\r\nContent-Length: 1\r\n\r\na", 0 },
        { "HTTP/1.1 101 X\r\n\r\n", 0 },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\na", 0 },
        { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", 0 },
    }));
    INFO(bytes);
    boost::asio::io_context io { 1 };
    const std::string reply = bytes;
    standins::raw_server server(io, 0, [&](const http_request&, const standins::raw_exchange_handle& exchange) { exchange->send(reply, true); });
    http_connection connection(io.get_executor());
    exchange_result result;
    boost::asio::co_spawn(
        io, [&]() -> awaitable<void> {
            http_request request;
            request.method = "GET";
            request.target = "/";
            if (!co_await connection.connect(parseTcpEndpoint(server.address()), milliseconds(500)))
                co_return;
            result = co_await connection.exchange(std::move(request), milliseconds(500));
            io.stop(); },
        boost::asio::detached);
    io.run_for(milliseconds(2000));
    CHECK((result.stage == exchange_stage::replied) == (status != 0));
    if (status != 0)
        CHECK(result.reply.status == status);
}

// The same framing rules as at the gateway's client listener, which uses the same reader.
TEST_CASE("http_server takes no part of a body for a request")
{
    const std::string fields = GENERATE(as<std::string> {}, "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 0\r\nContent-Length: 5\r\n");
    INFO(fields);
    boost::asio::io_context io { 1 };
    int handled = 0;
    boost::asio::ip::tcp::acceptor probe(io, { boost::asio::ip::address_v4::loopback(), 0 });
    const auto endpoint = probe.local_endpoint();
    probe.close();
    const http_server server(io.get_executor(), endpoint, {}, [&](const http_request&) -> awaitable<http_reply> {
        ++handled;
        co_return http_reply {};
    });
    boost::asio::ip::tcp::socket client(io);
    client.connect(endpoint);
    const std::string bytes = "POST /outer HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n0\r\n\r\nGET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::asio::write(client, boost::asio::buffer(bytes));
    std::string answer;
    boost::asio::async_read(client, boost::asio::dynamic_buffer(answer), [&](const boost::system::error_code&, std::size_t) { io.stop(); });
    io.run_for(milliseconds(2000));
    CHECK(handled == 0);
    CHECK((answer.rfind("HTTP/1.1 400", 0) == 0 || answer.rfind("HTTP/1.1 501", 0) == 0));
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
}
