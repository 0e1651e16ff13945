#include "limpetpier/transport/http_channel.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "standins/endless_reply.h"
#include "standins/raw_server.h"

using namespace limpetpier;
using standins::raw_exchange_handle;

namespace {

// A channel to a stand-in server that answers with raw bytes.
class channel_fixture {
public:
    // Sends a request and returns its result; nothing if there is none within the timeout.
    std::optional<exchange_result> exchange(const std::string& address, std::string request, milliseconds timeout = milliseconds(4000))
    {
        std::optional<exchange_result> result;
        channel = http_channel::create(io.get_executor(), parseTcpEndpoint(address));
        channel->open(milliseconds(500), [&](bool opened) {
            REQUIRE(opened);
            channel->exchange(std::move(request), false, {}, [&](exchange_result outcome) { result = std::move(outcome); });
        });
        const auto end = monotonic_clock::now() + timeout;
        while (!result && monotonic_clock::now() < end)
            io.run_for(milliseconds(5));
        wasOpenAfterwards = channel->isOpen();
        channel->close();
        return result;
    }

    boost::asio::io_context io { 1 };
    std::shared_ptr<http_channel> channel;
    bool wasOpenAfterwards = false;
};

constexpr const char* plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("A reply without end fails the exchange and closes the connection after a bounded number of bytes")
{
    const auto reply = GENERATE(from_range(standins::endlessReplies()));
    INFO(reply.description);
    channel_fixture fixture;
    standins::raw_server server(fixture.io, 0, [&](const http_request&, const raw_exchange_handle& exchange) { exchange->sendWithoutEnd(reply.beginning, reply.repeated); });
    const auto result = fixture.exchange(server.address(), plainRequest);
    REQUIRE(result);
    CHECK(result->stage == exchange_stage::no_reply);
    CHECK_FALSE(fixture.wasOpenAfterwards);
    constexpr std::size_t socketBufferBytes = 16U << 20; // of both ends, at most
    CHECK(server.endlessBytesSent() <= http_channel::maxReceivedBytes + socketBufferBytes);
}

TEST_CASE("A reply that ends in its head is no reply")
{
    const std::string head = GENERATE(as<std::string> {}, "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n", "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::size_t length = GENERATE_COPY(std::size_t { 1 }, std::size_t { 20 }, head.size() - 1);
    channel_fixture fixture;
    standins::raw_server server(fixture.io, 0, [&](const http_request&, const raw_exchange_handle& exchange) { exchange->send(head.substr(0, length), true); });
    const auto result = fixture.exchange(server.address(), plainRequest);
    REQUIRE(result);
    CHECK(result->stage == exchange_stage::no_reply);
}

namespace {

// Sends a request that is larger than the socket buffers to a server that reads only its beginning and then calls react.
std::optional<exchange_result> sendLargeRequest(channel_fixture& fixture, const std::function<void(boost::asio::ip::tcp::socket&)>& react)
{
    namespace asio = boost::asio;
    asio::ip::tcp::acceptor acceptor(fixture.io, { asio::ip::address_v4::loopback(), 0 });
    asio::ip::tcp::socket accepted(fixture.io);
    std::array<char, 1000> beginning {};
    acceptor.async_accept(accepted, [&](const boost::system::error_code&) {
        accepted.async_read_some(asio::buffer(beginning), [&](const boost::system::error_code&, std::size_t) { react(accepted); });
    });
    const std::string body(64U << 20, 'x');
    return fixture.exchange("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

} // namespace

TEST_CASE("A request of which a server received the beginning is not reported as not written")
{
    channel_fixture fixture;
    const auto result = sendLargeRequest(fixture, [](boost::asio::ip::tcp::socket& accepted) {
        accepted.set_option(boost::asio::socket_base::linger(true, 0));
        accepted.close();
    });
    REQUIRE(result);
    CHECK(result->stage == exchange_stage::no_reply);
}

TEST_CASE("A connection whose server replies before it has read the whole request is not used again")
{
    channel_fixture fixture;
    const auto result = sendLargeRequest(fixture, [](boost::asio::ip::tcp::socket& accepted) { boost::asio::write(accepted, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))); });
    REQUIRE(result);
    CHECK(result->stage == exchange_stage::replied);
    CHECK_FALSE(fixture.wasOpenAfterwards);
}

TEST_CASE("An idle limit that is out of range does not overflow")
{
    channel_fixture fixture;
    const std::string timeout = GENERATE(as<std::string> {}, "9223372036854775807", "-5", "99999999999999999999999");
    standins::raw_server server(fixture.io, 0, [&](const http_request&, const raw_exchange_handle& exchange) { exchange->send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + timeout + "\r\nContent-Length: 0\r\n\r\n", false); });
    REQUIRE(fixture.exchange(server.address(), plainRequest));
    if (const auto limit = fixture.channel->idleLimit()) {
        CHECK(*limit >= milliseconds(0));
        CHECK(*limit <= std::chrono::hours(24));
    }
}

// Guards against answers that are none: status 000 was forwarded, and an unknown transfer coding read up to the end of the
// connection.
TEST_CASE("What is not a reply fails the exchange and closes the connection")
{
    const std::string reply = GENERATE(as<std::string> {},
        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 1000 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 2000 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 20 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 +20 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 -20 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 2x0 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "HTTP/1.1 150 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\nbody", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    INFO(reply);
    channel_fixture fixture;
    const bool closes = GENERATE(false, true);
    standins::raw_server server(fixture.io, 0, [&](const http_request&, const raw_exchange_handle& exchange) { exchange->send(reply, closes); });
    const auto result = fixture.exchange(server.address(), plainRequest, milliseconds(500));
    REQUIRE(result);
    CHECK(result->stage == exchange_stage::no_reply);
    CHECK_FALSE(fixture.wasOpenAfterwards);
}

TEST_CASE("A final reply after interim ones is delivered")
{
    channel_fixture fixture;
    standins::raw_server server(fixture.io, 0, [&](const http_request&, const raw_exchange_handle& exchange) { exchange->send("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", false); });
    const auto result = fixture.exchange(server.address(), plainRequest, milliseconds(500));
    REQUIRE(result);
    CHECK(result->reply.status == 200);
    CHECK(result->reply.body == "a");
}

TEST_CASE("What was received before a request was sent is not its reply")
{
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    boost::asio::io_context io { 1 };
    boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 });
    const auto channel = http_channel::create(io.get_executor(), acceptor.local_endpoint());
    std::optional<exchange_result> result;
    const auto exchange = [&] {
        result.reset();
        channel->exchange(plainRequest, false, {}, [&](exchange_result outcome) { result = std::move(outcome); });
    };
    const auto run = [&] {
        io.restart();
        io.run_for(milliseconds(50));
    };
    bool isOpen = false;
    channel->open(milliseconds(500), [&](bool opened) { isOpen = opened; });
    auto peer = acceptor.accept();
    run();
    REQUIRE(isOpen);
    exchange();
    boost::asio::write(peer, boost::asio::buffer(reply + "a"));
    run();
    REQUIRE(result);
    CHECK(result->reply.body == "a");

    boost::asio::write(peer, boost::asio::buffer(reply + "b"));
    exchange(); // before the event loop has seen the second reply
    run();
    REQUIRE(result);
    CHECK(result->stage == exchange_stage::not_written);
    CHECK_FALSE(channel->isOpen());
}
