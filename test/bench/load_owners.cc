// Benchmark of load owners: sends the same open-loop requests to one fake searcher, through one searcher gate or spread
// over several that do not coordinate. Prints one line of JSON. The counters of the fake searcher show by how much the
// senders exceeded its limits.

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <random>

#include "limpetpier/coordination/searcher_gate.h"
#include "limpetpier/protocol/target_protocol.h"
#include "limpetpier/transport/http.h"
#include "limpetpier/transport/settings.h"

using namespace limpetpier;

namespace {

constexpr milliseconds requestDeadline { 400 };
constexpr microseconds typicalService { 4000 };

struct totals {
    std::vector<double> latenciesMs;
    std::uint64_t refused = 0;
    std::uint64_t shed = 0;
};

// A sender with its own searcher gate.
class sender {
public:
    sender(asio::io_context& io, asio::ip::tcp::endpoint target, std::uint32_t slots, totals& results, std::uint64_t number)
        : m_io(io)
        , m_target(target)
        , m_gate(slots, 1)
        , m_totals(results)
        , m_number(number)
    {
    }

    void submit(monotonic_time now)
    {
        const gated_request queued { gate_token { ++m_next }, now + requestDeadline, false, 1 };
        if (m_gate.enqueue(queued, now))
            ++m_totals.refused;
        startQueuedRequests();
    }

private:
    void startQueuedRequests()
    {
        const auto now = monotonic_clock::now();
        m_totals.refused += m_gate.takeExpired(now).size();
        while (const auto queued = m_gate.startNext(now))
            asio::co_spawn(m_io, run(*queued), asio::detached);
    }

    awaitable<void> run(gated_request queued)
    {
        auto connection = takeConnection();
        if (!connection->isOpen())
            co_await connection->connect(m_target, milliseconds(250));
        target_request request;
        request.requestId = std::to_string(m_number) + "-" + std::to_string(queued.token.value());
        request.text = "q";
        request.snapshot = { 1, 1 };
        request.deadline = requestDeadline;
        const auto startedAt = monotonic_clock::now();
        const auto result = co_await connection->exchange(makeTargetRequest(request), requestDeadline);
        const auto now = monotonic_clock::now();
        const auto service = std::chrono::duration_cast<microseconds>(now - startedAt);
        slot_outcome outcome = slot_outcome::disconnected;
        if (result.stage == exchange_stage::replied) {
            const auto reply = parseTargetReply(result.reply, true);
            outcome = reply.status == target_status::answered ? slot_outcome::served : slot_outcome::refused;
            if (m_boot != boot_id {} && reply.boot != m_boot)
                m_gate.observe(searcher_event::restarted);
            m_boot = reply.boot;
        }
        if (outcome == slot_outcome::served)
            m_totals.latenciesMs.push_back(std::chrono::duration<double, std::milli>(now - (queued.deadline - requestDeadline)).count());
        else
            ++m_totals.shed;
        if (connection->isOpen())
            m_idle.push_back(std::move(connection));
        m_gate.finish(queued.token, outcome, service, typicalService, now);
        startQueuedRequests();
    }

    std::unique_ptr<http_connection> takeConnection()
    {
        if (m_idle.empty())
            return std::make_unique<http_connection>(m_io.get_executor());
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        return connection;
    }

    asio::io_context& m_io;
    asio::ip::tcp::endpoint m_target;
    searcher_gate m_gate;
    totals& m_totals;
    std::uint64_t m_number;
    std::uint64_t m_next = 0;
    boot_id m_boot;
    std::vector<std::unique_ptr<http_connection>> m_idle;
};

double quantile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const std::vector<setting> table {
            { "target", "", "IP:port of a fake searcher", setting_kind::address, true, 0, 0, false },
            { "owners", "1", "Number of senders, which do not coordinate", setting_kind::number, true, 1, 100, false },
            { "slots", "2", "Concurrent requests that the searcher allows", setting_kind::number, true, 1, 100, false },
            { "rate", "150", "Mean number of requests per second, of all senders together", setting_kind::number, true, 1, 100000, false },
            { "duration-ms", "4000", "Duration, in milliseconds", setting_kind::number, true, 1, 600000, false },
            { "seed", "1", "Seed of the send times", setting_kind::number, true, 0, INT32_MAX, false },
        };
        const auto settings = program_settings::read("load-owners", "Compares one load owner of a searcher with several.", table, argc, argv);
        asio::io_context io(1);
        totals results;
        std::vector<std::unique_ptr<sender>> senders;
        for (std::int64_t number = 0; number < settings.number("owners"); ++number)
            senders.push_back(std::make_unique<sender>(io, parseTcpEndpoint(settings.text("target")), static_cast<std::uint32_t>(settings.number("slots")), results, static_cast<std::uint64_t>(number)));
        asio::co_spawn(
            io, [&]() -> awaitable<void> {
                std::mt19937_64 random(static_cast<std::uint64_t>(settings.number("seed")));
                std::exponential_distribution<double> intervalSeconds(static_cast<double>(settings.number("rate")));
                asio::steady_timer timer(io);
                auto nextSendAt = monotonic_clock::now();
                const auto end = nextSendAt + milliseconds(settings.number("duration-ms"));
                while (nextSendAt < end) {
                    timer.expires_at(nextSendAt);
                    co_await timer.async_wait(asio::use_awaitable);
                    senders[random() % senders.size()]->submit(nextSendAt);
                    nextSendAt += std::chrono::duration_cast<monotonic_clock::duration>(std::chrono::duration<double>(intervalSeconds(random)));
                }
            },
            asio::detached);
        io.run();
        std::cout << boost::json::serialize(boost::json::object {
            { "answered", results.latenciesMs.size() },
            { "refused", results.refused },
            { "shed_by_target", results.shed },
            { "p50_ms", quantile(results.latenciesMs, 0.5) },
            { "p99_ms", quantile(results.latenciesMs, 0.99) },
        })
                  << std::endl;
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::cerr << "load-owners: " << error.what() << "\n";
        return 2;
    }
}
