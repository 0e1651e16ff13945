#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"

using namespace limpetpier;

namespace {

// Gateway with one searcher and little room for clients.
class door_fixture : public standins::gateway_fixture {
public:
    explicit door_fixture(const connection_budget::limits& limits)
    {
        settings.clientLimits = limits;
        addSearcher("a", "a1", "z");
        writeConfiguration(1);
        startAndAwaitReady();
    }

    // Opens a connection and sends bytes. The result is set once a reply was received or the connection ended.
    std::shared_ptr<std::optional<exchange_result>> send(const std::string& address, const std::string& bytes)
    {
        auto result = std::make_shared<std::optional<exchange_result>>();
        const auto channel = http_channel::create(io.get_executor(), parseTcpEndpoint(address));
        channel->open(milliseconds(500), [channel, bytes, result](bool opened) {
            REQUIRE(opened);
            channel->exchange(bytes, false, {}, [result](exchange_result outcome) { *result = std::move(outcome); });
        });
        clients.push_back(channel);
        return result;
    }

    ~door_fixture()
    {
        for (const auto& client : clients)
            client->close();
        runFor(milliseconds(5));
    }

    door_fixture(const door_fixture&) = delete;
    door_fixture& operator=(const door_fixture&) = delete;

    std::vector<std::shared_ptr<http_channel>> clients;
};

const std::string incompleteRequest = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: incomplete\r\nContent-Length: 1000\r\n\r\n" + std::string(999, 'x');

} // namespace

TEST_CASE("Incomplete requests that together hold too much memory are refused and not run")
{
    constexpr std::size_t limit = 64U << 10;
    constexpr int crowd = 40;
    door_fixture fixture({ limit });
    const auto& address = GENERATE(true, false) ? fixture.settings.clientAddress : fixture.settings.readyAddress;
    std::vector<std::shared_ptr<std::optional<exchange_result>>> results;
    results.reserve(crowd);
    for (int client = 0; client < crowd; ++client)
        results.push_back(fixture.send(address, incompleteRequest));
    fixture.runFor(milliseconds(100));
    int refused = 0;
    for (const auto& result : results) {
        if (!*result)
            continue;
        ++refused;
        if ((*result)->stage == exchange_stage::replied) {
            CHECK((*result)->reply.status == 503);
            CHECK((*result)->reply.field("Retry-After") == "1");
            CHECK((*result)->reply.field("Connection") == "close");
        }
    }
    CHECK(refused >= crowd / 2);
    CHECK(refused < crowd);

    SECTION("while an ordinary request is served")
    {
        CHECK(fixture.sendRequest("/safe/x", "ordinary").reply.status == 200);
        CHECK(fixture.isReady());
        CHECK(fixture.searchers["a1"]->runsOf("incomplete") == 0);
    }
}

TEST_CASE("A new connection is accepted at the limit of connections")
{
    constexpr std::size_t limit = 6;
    door_fixture fixture({ std::numeric_limits<std::size_t>::max(), limit });
    std::vector<std::shared_ptr<std::optional<exchange_result>>> results;
    for (int client = 0; client < 20; ++client) {
        results.push_back(fixture.send(fixture.settings.clientAddress, incompleteRequest));
        fixture.runFor(milliseconds(5));
    }
    CHECK(std::count_if(results.begin(), results.end(), [](const auto& result) { return !result->has_value(); }) <= static_cast<std::ptrdiff_t>(limit));
    CHECK(fixture.sendRequest("/safe/x", "ordinary").reply.status == 200);
    CHECK(fixture.isReady());
}
