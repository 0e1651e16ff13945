#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "standins/gateway_fixture.h"

using namespace limpetpier;
using standins::searcher_behaviour;

namespace {

constexpr milliseconds stopGrace { 3000 };

// Timeout of the routes "longsafe" and "longunsafe" to service "a".
constexpr int longTimeoutMs = 2000;

std::string longRoute(const std::string& type)
{
    return R"(,{"name":"long)" + type + R"(","host":"h.example","prefix":"/long)" + type + R"(/","type":")" + type + R"(","timeoutMs":)" + std::to_string(longTimeoutMs)
        + R"(,"targetLatencyMs":100,"priority":1,"service":"a","maxAttempts":2})";
}

// A gateway that is stopped by SIGTERM while no balancer checks its readiness, so that requests arrive until late in the
// grace period.
class stop_fixture : public standins::gateway_fixture {
public:
    stop_fixture()
    {
        for (const auto* service : { "a", "b", "c" })
            addSearcher(service, std::string(service) + "1", "z");
        writeConfiguration(1, longRoute("safe") + longRoute("unsafe"));
        startAndAwaitReady();
        settings.stopGrace = stopGrace;
        gatewayProcess->changeSettings(settings);
    }

    void beginStop()
    {
        std::raise(SIGTERM);
        runFor(milliseconds(20));
        m_stopStartedAt = monotonic_clock::now();
    }

    // Sends a request without waiting for its reply.
    struct pending_request {
        std::shared_ptr<http_channel> channel;
        std::optional<exchange_result> result;
    };
    std::shared_ptr<pending_request> send(const std::string& path, const std::string& id, const std::string& method, int deadlineMs)
    {
        auto request = std::make_shared<pending_request>();
        request->channel = http_channel::create(io.get_executor(), parseTcpEndpoint(settings.clientAddress));
        request->channel->open(milliseconds(500), [request, bytes = formatRequest(path, id, method, deadlineMs)](bool opened) {
            REQUIRE(opened);
            request->channel->exchange(bytes, false, {}, [request](exchange_result outcome) { request->result = std::move(outcome); });
        });
        runFor(milliseconds(20));
        return request;
    }

    void runUntilStop(milliseconds sinceStop) { runFor(std::chrono::duration_cast<milliseconds>(m_stopStartedAt + sinceStop - monotonic_clock::now())); }

    // Runs until the gateway ends its event loop, as its process would end then. False if it exceeds the grace period.
    bool runUntilStopped()
    {
        io.restart();
        while (!io.stopped() && monotonic_clock::now() < m_stopStartedAt + stopGrace)
            io.run_for(milliseconds(2));
        return io.stopped();
    }

private:
    monotonic_time m_stopStartedAt;
};

} // namespace

// Guards against requests that are taken late in a planned stop and cut without an answer at its end.
TEST_CASE("No request is cut when a planned stop ends")
{
    stop_fixture fixture;
    fixture.searchers["a1"]->setBehaviour(searcher_behaviour::not_responding);

    SECTION("Requests that still run at its end are answered: their outcome is unknown")
    {
        const auto before = fixture.send("/longunsafe/x", "id1", "POST", longTimeoutMs);
        fixture.beginStop();
        fixture.runUntilStop(milliseconds(1000));
        const auto late = fixture.send("/longsafe/x", "id2", "GET", longTimeoutMs);
        const auto query = fixture.send("/query/x", "id3", "GET", 400);
        REQUIRE(fixture.runUntilStopped());
        for (const auto& request : { before, late, query }) {
            REQUIRE(request->result);
            CHECK(request->result->stage == exchange_stage::replied);
        }
        CHECK(before->result->reply.status == 504);
        CHECK(late->result->reply.status == 504);
    }
    SECTION("A request that may not be repeated and might outlast the stop is refused before it is passed on")
    {
        fixture.beginStop();
        fixture.runUntilStop(milliseconds(1000));
        const auto arrivals = fixture.searchers["a1"]->arrivals();
        const auto answer = fixture.sendRequest("/longunsafe/x", "id1", "POST", longTimeoutMs);
        REQUIRE(answer.received);
        CHECK(answer.reply.status == 503);
        CHECK_FALSE(answer.reply.field("Retry-After").empty());
        CHECK(answer.elapsed < milliseconds(200));
        CHECK(fixture.searchers["a1"]->arrivals() == arrivals);
    }
    SECTION("A request that ends before the stop does is still served")
    {
        fixture.searchers["a1"]->setBehaviour(searcher_behaviour::normal);
        fixture.beginStop();
        fixture.runUntilStop(milliseconds(1000));
        CHECK(fixture.sendRequest("/unsafe/x", "id1", "POST").reply.status == 200);
        CHECK(fixture.sendRequest("/longsafe/x", "id2", "GET", longTimeoutMs).reply.status == 200);
    }
}

// Guards against answers that are cut because the process ends before a slow client has read them.
TEST_CASE("A planned stop waits until the last answers are written")
{
    stop_fixture fixture;
    const std::string body(4U << 20, 'x');
    standins::raw_server large(fixture.io, 0, [&](const http_request& request, const standins::raw_exchange_handle& exchange) {
        exchange->send("HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id") + "\r\nResponse-Stamp: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, false);
    });
    fixture.searchers["a1"]->advertise(large.address());
    fixture.store.put("servers/a1", fixture.searchers["a1"]->entry("a", "z1"));
    fixture.runFor(milliseconds(1000));

    boost::asio::ip::tcp::socket client(fixture.io);
    client.open(boost::asio::ip::tcp::v4());
    client.set_option(boost::asio::socket_base::receive_buffer_size(16 << 10));
    client.connect(parseTcpEndpoint(fixture.settings.clientAddress));
    const auto request = standins::gateway_fixture::formatRequest("/safe/x", "id1");
    boost::asio::write(client, boost::asio::buffer(request));
    fixture.runFor(milliseconds(200)); // the answer fills the socket buffers
    fixture.beginStop();
    // The readiness checks that let the stop end as soon as nothing runs any more.
    CHECK_FALSE(fixture.isReady());
    CHECK_FALSE(fixture.isReady());
    fixture.runUntilStop(milliseconds(1000));
    REQUIRE_FALSE(fixture.io.stopped());
    // Reads on another thread, as the client's event loop must go on when the gateway's has ended.
    std::size_t received = 0;
    std::thread reader([&] {
        const timeval timeout { 1, 0 };
        setsockopt(client.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        std::array<char, 65536> buffer {};
        ssize_t count = 0;
        while ((count = recv(client.native_handle(), buffer.data(), buffer.size(), 0)) > 0)
            received += static_cast<std::size_t>(count);
    });
    const bool stopped = fixture.runUntilStopped();
    reader.join();
    CHECK(stopped);
    CHECK(received > body.size());
}
