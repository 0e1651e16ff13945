#include <catch2/catch.hpp>
#include <fstream>
#include <unistd.h>

#include "standins/gateway_fixture.h"

using namespace limpetpier;

namespace {

constexpr std::size_t mebibyte = 1U << 20;

// Memory of this process that is in use, including that of the stand-ins.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

constexpr const char* slowRoute = R"(,{"name":"slow","host":"h.example","prefix":"/slow/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":100,"priority":1,"service":"a","maxAttempts":1},
{"name":"other","host":"h.example","prefix":"/other/","type":"safe","timeoutMs":2000,"targetLatencyMs":500,"priority":1,"service":"b","maxAttempts":1})";

} // namespace

// Guards against running out of memory: replies without end were bounded on each connection, but not in total.
TEST_CASE("Replies without end on many connections occupy bounded memory and don't affect other requests")
{
    const std::string head = GENERATE(as<std::string> {}, "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n", "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 8000000\r\n\r\n");
    standins::gateway_fixture fixture;
    const std::string repeated(16384, 'x');
    standins::raw_server faulty(fixture.io, 0, [&](const http_request&, const standins::raw_exchange_handle& exchange) {
        exchange->sendWithoutEnd(head, repeated);
    });
    for (const auto* id : { "a1", "a2", "a3", "a4" }) {
        fixture.addSearcher("a", id, "z").advertise(faulty.address());
        fixture.store.put(std::string("servers/") + id, fixture.searchers[id]->entry("a", "z1"));
    }
    fixture.addSearcher("b", "b1", "z");
    fixture.writeConfiguration(1, slowRoute);
    fixture.startAndAwaitReady();

    constexpr int requests = 64;
    std::vector<std::shared_ptr<http_channel>> clients;
    const auto before = residentBytes();
    for (int request = 0; request < requests; ++request) {
        auto client = http_channel::create(fixture.io.get_executor(), parseTcpEndpoint(fixture.settings.clientAddress));
        client->open(milliseconds(500), [client, request](bool opened) {
            REQUIRE(opened);
            client->exchange(standins::gateway_fixture::formatRequest("/slow/x", "id" + std::to_string(request), "POST", 3000), false, {}, [](const exchange_result&) {});
        });
        clients.push_back(client);
    }
    std::size_t growth = 0;
    int answered = 0;
    for (int other = 0; other < 20; ++other) {
        if (fixture.sendRequest("/other/x", "o" + std::to_string(other), "GET", 2000).reply.status == 200)
            ++answered;
        for (int step = 0; step < 10; ++step) {
            fixture.runFor(milliseconds(8));
            growth = std::max(growth, residentBytes() - std::min(before, residentBytes()));
        }
    }
    for (const auto& client : clients)
        client->close();
    CHECK(answered == 20);
    CHECK(growth < 128 * mebibyte); // half of the memory of the smallest machine
}
