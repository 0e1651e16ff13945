#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>

#include "limpetpier/state/errors.h"
#include "standins/gateway_fixture.h"

// Tests decoding of randomly mutated input from clients, searchers and the store. The environment variables
// LIMPET_FUZZ_SEED and LIMPET_FUZZ_ROUNDS set the seed (default 17) and the number of rounds (default 400).

using namespace limpetpier;

namespace {

std::uint32_t fromEnvironment(const char* name, std::uint32_t fallback)
{
    const char* value = std::getenv(name);
    return value == nullptr ? fallback : static_cast<std::uint32_t>(std::strtoul(value, nullptr, 10));
}

// Applies random changes to texts.
class mutator {
public:
    mutator()
        : m_random(fromEnvironment("LIMPET_FUZZ_SEED", 17))
    {
    }

    // Returns the text with one to four random changes.
    std::string mutate(std::string text)
    {
        const auto changeCount = 1 + pick(4);
        for (std::size_t change = 0; change < changeCount && !text.empty(); ++change) {
            const auto position = pick(text.size());
            switch (pick(6)) {
            case 0:
                text[position] = static_cast<char>(pick(256));
                break;
            case 1:
                text.erase(position, 1 + pick(8));
                break;
            case 2:
                text.insert(position, text.substr(pick(text.size()), 1 + pick(12)));
                break;
            case 3:
                text.resize(position);
                break;
            case 4:
                text.insert(position, std::to_string(static_cast<std::int64_t>(m_random()) * 1'000'003 - 1));
                break;
            default:
                text.insert(position, "\r\n");
            }
        }
        return text;
    }

    // Returns a random number less than the bound.
    std::size_t pick(std::size_t bound) { return m_random() % bound; }

private:
    std::mt19937 m_random;
};

} // namespace

TEST_CASE("Mutated store documents are either decoded or rejected with a document error")
{
    const platform::wire_protocol protocol;
    const std::string table = R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/q/","type":"safe","timeoutMs":400,"targetLatencyMs":80,"priority":1,"gather":["a","b"],"maxAttempts":2,"topK":50,"minCoverage":0.89},{"name":"s","host":"h","prefix":"/s/","type":"unsafe","timeoutMs":1500,"trafficSplit":[{"service":"a","weight":0.75}],"maxAttempts":1}],"services":[{"name":"a","maxConns":26,"warmupS":3.0,"coldPerS":0.5}],"limits":{"maxHeaderBytes":4096}})";
    const std::string entry = R"({"service":"a","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":2,"state":"ready","coldLeftMs":1200,"seq":4,"born":17})";
    mutator random;
    const std::size_t rounds = std::size_t { 25 } * fromEnvironment("LIMPET_FUZZ_ROUNDS", 400);
    std::size_t decoded = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        try {
            static_cast<void>(protocol.decodeTable(random.mutate(table)));
            ++decoded;
        } catch (const document_error&) {
        }
        try {
            static_cast<void>(protocol.decodeSearcher("servers/i", random.mutate(entry)));
            ++decoded;
        } catch (const document_error&) {
        }
    }
    CHECK(decoded > 0);
    CHECK(decoded < 2 * rounds);
}

TEST_CASE("Mutated notices of a searcher are ignored or within their range")
{
    const platform::wire_protocol protocol;
    mutator random;
    const std::size_t rounds = std::size_t { 25 } * fromEnvironment("LIMPET_FUZZ_ROUNDS", 400);
    for (std::size_t round = 0; round < rounds; ++round) {
        http_reply reply;
        reply.status = 503;
        reply.fields = { { "Retry-After", random.mutate("12.5") }, { "Server-Leaving", random.mutate("1") }, { "Cold-Ms", random.mutate("1500") } };
        const auto notice = protocol.decodeNotice(reply);
        if (notice.pushback)
            CHECK((*notice.pushback >= milliseconds(0) && *notice.pushback <= std::chrono::hours(24 * 365)));
        const bool isAbsent = reply.field("Retry-After").empty();
        CHECK(notice.invalidPushback.empty() == (isAbsent || notice.pushback.has_value()));
        CHECK(protocol.decodeHealth(reply).coldTimeLeft >= milliseconds(0));
    }
}

TEST_CASE("Mutated reply heads that end early are no success")
{
    standins::gateway_fixture fixture;
    mutator random;
    const std::string head = "HTTP/1.1 200 OK\r\nResponse-Stamp: s1\r\nRequest-Id: wanted\r\nContent-Length: 4\r\n\r\n";
    std::size_t length = 0;
    standins::raw_server truncatingServer(fixture.io, 0, [&](const http_request&, const standins::raw_exchange_handle& exchange) { exchange->send(head.substr(0, length), true); });
    const auto rounds = fromEnvironment("LIMPET_FUZZ_ROUNDS", 400);
    for (std::uint32_t round = 0; round < rounds; ++round) {
        length = 1 + random.pick(head.size() - 1);
        const auto answer = fixture.exchange(truncatingServer.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", milliseconds(20));
        CHECK_FALSE(answer.received);
    }
}

TEST_CASE("Mutated requests do not affect later requests")
{
    standins::gateway_fixture fixture;
    fixture.addSearcher("a", "a1", "z");
    fixture.addSearcher("a", "a2", "z");
    fixture.writeConfiguration(1);
    fixture.startAndAwaitReady();
    mutator random;
    const std::string validRequest = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: fuzz\r\nDeadline-Ms: 20\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    const auto rounds = fromEnvironment("LIMPET_FUZZ_ROUNDS", 400);
    for (std::uint32_t round = 0; round < rounds; ++round)
        fixture.exchange(fixture.settings.clientAddress, random.mutate(validRequest), milliseconds(5));
    const auto answer = fixture.sendRequest("/safe/x", "good");
    CHECK(answer.reply.status == 200);
    CHECK(answer.reply.body == std::string(16, 'z'));
}

TEST_CASE("Mutated replies of a searcher are never accepted as replies to another request")
{
    standins::gateway_fixture fixture;
    fixture.addSearcher("a", "a1", "z");
    mutator random;
    const std::string validReply = "HTTP/1.1 200 OK\r\nResponse-Stamp: s1\r\nRequest-Id: wanted\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody";
    standins::raw_server mutatingServer(fixture.io, 0, [&](const http_request&, const standins::raw_exchange_handle& exchange) { exchange->send(random.mutate(validReply), random.pick(2) == 0); });
    const auto rounds = fromEnvironment("LIMPET_FUZZ_ROUNDS", 400);
    for (std::uint32_t round = 0; round < rounds; ++round) {
        const auto channel = http_channel::create(fixture.io.get_executor(), parseTcpEndpoint(mutatingServer.address()));
        bool completed = false;
        channel->open(milliseconds(200), [&](bool opened) {
            REQUIRE(opened);
            const auto isReplyToRequest = [](const http_reply& reply) { return reply.field("Request-Id") == "wanted"; };
            channel->exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, isReplyToRequest, [&](const exchange_result& result) {
                completed = true;
                if (result.stage == exchange_stage::replied)
                    CHECK(result.reply.field("Request-Id") == "wanted");
            });
        });
        fixture.runUntil([&] { return completed; }, milliseconds(4));
        channel->close();
        fixture.runFor(milliseconds(0));
    }
}
