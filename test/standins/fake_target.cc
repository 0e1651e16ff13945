// Fake of the searchers of one front: one process with a port per searcher. Simulates slots, the cost of new
// connections, cold starts, stragglers, snapshots and faults. docs/TARGETS.md describes the protocol.
//
// The control port accepts GET /control?searcher=ID|*&action=ACTION[&value=N] with these actions:
//   restart          closes all connections; the searcher is cold afterwards
//   down, up         stops and starts listening
//   freeze, thaw     suspends and resumes request processing
//   drain, undrain   sets and clears the draining state
//   publish, retire  adds and removes index version N
//   remap, unmap     adds and removes shard map N
//   straggle         sets the share of stragglers to N permille
//   slow             multiplies the service time by N
// GET /counters returns counts over all searchers. The journal gets one line of JSON per search, run, rejected excess
// request and control action.

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "limpetpier/state/snapshot.h"
#include "limpetpier/transport/http.h"
#include "limpetpier/transport/settings.h"
#include "query_parameter.h"

using namespace limpetpier;
namespace json = boost::json;

namespace {

// Properties of the searchers.
struct target_options {
    std::string front;
    std::uint32_t instances = 0;
    std::uint32_t replicas = 0;
    std::uint32_t slots = 0; // concurrent requests per searcher
    std::uint32_t coldAllowance = 0; // concurrent requests per cold searcher
    std::uint32_t coldRequests = 0; // successful replies until a cold searcher is warm
    double serviceUs = 0; // median service time
    std::uint32_t stragglePermille = 0;
    double straggleFactor = 10; // on the service time of a straggler
};

constexpr double coldSlowdown = 5;
constexpr milliseconds crashDuration { 700 };
constexpr std::uint64_t hitsPerShard = 5;

// Returns the key range of an instance in a shard map. The borders differ between shard maps whose numbers differ
// modulo 4.
key_range instanceRange(std::uint64_t shardMap, std::uint32_t instance, std::uint32_t instances)
{
    const auto border = [&](std::uint32_t position) {
        if (position == 0 || position == instances)
            return position == 0 ? std::uint64_t { 0 } : keySpaceSize;
        const auto width = keySpaceSize / instances;
        return width * position + (shardMap % 4) * width / 8;
    };
    return { border(instance), border(instance + 1) };
}

// Appends lines of JSON to a file; does nothing without a path.
class journal {
public:
    explicit journal(const std::string& path)
    {
        if (!path.empty())
            m_out.open(path, std::ios::app);
    }

    void write(const json::object& line)
    {
        if (m_out.is_open())
            m_out << json::serialize(line) << "\n"
                  << std::flush;
    }

private:
    std::ofstream m_out;
};

// Counts over all searchers.
struct counters {
    std::uint64_t searches = 0;
    std::uint64_t runs = 0;
    std::uint64_t sheds = 0;
    std::uint64_t overCold = 0;
    std::uint64_t overSlots = 0;
    std::uint64_t cancels = 0;
    std::uint64_t highestColdInFlight = 0;
};

// One searcher on a loopback port.
class fake_searcher {
public:
    fake_searcher(asio::io_context& io, const target_options& options, std::uint32_t instance, std::string id, const asio::ip::tcp::endpoint& endpoint, http_limits limits, milliseconds connectCost, journal& log, counters& counts, std::mt19937_64& random)
        : m_io(io)
        , m_options(options)
        , m_instance(instance)
        , m_id(std::move(id))
        , m_endpoint(endpoint)
        , m_limits(limits)
        , m_connectCost(connectCost)
        , m_log(log)
        , m_counts(counts)
        , m_random(random)
    {
        m_heldSnapshots.insert({ 1, 1 });
        listen();
    }

    [[nodiscard]] const std::string& id() const { return m_id; }

    void control(const std::string& action, std::uint64_t value)
    {
        if (action == "restart")
            restart();
        else if (action == "down")
            m_server.reset();
        else if (action == "up")
            listen();
        else if (action == "freeze" || action == "thaw")
            m_frozen = action == "freeze";
        else if (action == "drain" || action == "undrain")
            m_draining = action == "drain";
        else if (action == "publish")
            m_heldSnapshots.insert({ value, m_heldSnapshots.empty() ? 1 : m_heldSnapshots.rbegin()->shardMap });
        else if (action == "retire")
            std::erase_if(m_heldSnapshots, [&](const snapshot_id& held) { return held.indexVersion == value; });
        else if (action == "remap")
            m_heldSnapshots.insert({ m_heldSnapshots.rbegin()->indexVersion, value });
        else if (action == "unmap")
            std::erase_if(m_heldSnapshots, [&](const snapshot_id& held) { return held.shardMap == value; });
        else if (action == "straggle")
            m_options.stragglePermille = static_cast<std::uint32_t>(value);
        else if (action == "slow")
            m_slowFactor = static_cast<double>(value);
        m_log.write({ { "t", now() }, { "event", "control" }, { "searcher", m_id }, { "action", action }, { "value", value } });
    }

private:
    static std::int64_t now() { return wallNow().time_since_epoch().count(); }

    void listen()
    {
        m_server = std::make_unique<http_server>(m_io.get_executor(), m_endpoint, m_limits, [this](http_request request) { return answer(std::move(request)); });
        m_server->setAcceptDelay(m_connectCost);
    }

    void restart()
    {
        ++m_boot;
        m_coldReplies = 0;
        m_inFlight = 0; // requests that were running are lost
        m_cold = m_options.coldRequests > 0;
        if (m_server)
            m_server->resetConnections();
    }

    // Simulates the crash of an overloaded cold searcher: restarts it and rejects requests for a while.
    void crash()
    {
        restart();
        m_crashedUntil = monotonic_clock::now() + crashDuration;
    }

    awaitable<http_reply> answer(http_request request)
    {
        co_await waitWhileFrozen();
        if (monotonic_clock::now() < m_crashedUntil) {
            auto down = reply(503, request, {});
            down.close = true;
            co_return down;
        }
        if (request.target == "/snapshot")
            co_return makeSnapshotReply();
        if (request.target == "/cancel")
            co_return cancel(request);
        if (request.target == "/search" || request.target == "/run")
            co_return co_await serve(std::move(request));
        co_return reply(404, request, {});
    }

    awaitable<void> waitWhileFrozen()
    {
        while (m_frozen)
            co_await sleepFor(milliseconds(5));
    }

    static awaitable<void> sleepFor(microseconds duration)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    http_reply reply(unsigned status, const http_request& request, json::object body) const
    {
        body["request_id"] = request.field("X-Request-Id");
        body["boot"] = m_boot;
        http_reply result;
        result.status = status;
        result.body = json::serialize(body);
        return result;
    }

    // Builds the reply to /snapshot.
    http_reply makeSnapshotReply() const
    {
        json::array held;
        for (const auto& snapshot : m_heldSnapshots) {
            const auto range = instanceRange(snapshot.shardMap, m_instance, m_options.instances);
            held.push_back(json::object { { "index_version", snapshot.indexVersion }, { "shard_map", snapshot.shardMap }, { "first", range.first }, { "last", range.last } });
        }
        http_reply result;
        result.body = json::serialize(json::object { { "boot", m_boot }, { "draining", m_draining }, { "held", std::move(held) } });
        return result;
    }

    http_reply cancel(const http_request& request)
    {
        ++m_counts.cancels;
        m_cancelled.insert(request.field("X-Request-Id"));
        return reply(200, request, {});
    }

    // Draws a service time from a log-normal distribution, then applies the slow, straggler and cold factors.
    microseconds serviceTime()
    {
        std::lognormal_distribution<double> distribution(std::log(m_options.serviceUs), 0.3);
        double us = distribution(m_random) * m_slowFactor;
        if (std::uniform_int_distribution<std::uint32_t>(0, 999)(m_random) < m_options.stragglePermille)
            us *= m_options.straggleFactor;
        if (m_cold)
            us *= coldSlowdown;
        return microseconds { static_cast<std::int64_t>(us) };
    }

    awaitable<http_reply> serve(http_request request)
    {
        const bool isSearch = request.target == "/search";
        const snapshot_id requested { isSearch ? std::stoull(request.field("X-Index-Version")) : 0, isSearch ? std::stoull(request.field("X-Shard-Map")) : 0 };
        if (isSearch && !m_heldSnapshots.contains(requested))
            co_return reply(409, request, {});
        if (m_cold)
            m_counts.highestColdInFlight = std::max<std::uint64_t>(m_counts.highestColdInFlight, m_inFlight + 1);
        if (m_cold && m_inFlight >= m_options.coldAllowance) {
            ++m_counts.overCold;
            m_log.write({ { "t", now() }, { "event", "over_cold" }, { "searcher", m_id }, { "in_flight", m_inFlight + 1 } });
            crash();
            co_return reply(503, request, {});
        }
        if (m_inFlight >= m_options.slots) {
            ++m_counts.overSlots;
            m_log.write({ { "t", now() }, { "event", "over_slots" }, { "searcher", m_id }, { "in_flight", m_inFlight + 1 } });
            co_return reply(503, request, {});
        }
        ++m_inFlight;
        const auto boot = m_boot;
        const auto id = request.field("X-Request-Id");
        ++(isSearch ? m_counts.searches : m_counts.runs);
        m_log.write({ { "t", now() }, { "event", isSearch ? "search" : "run" }, { "searcher", m_id }, { "id", id }, { "key", request.field("Idempotency-Key") } });
        const auto finishAt = monotonic_clock::now() + serviceTime();
        const auto deadline = monotonic_clock::now() + milliseconds(std::stoll(request.field("X-Deadline-Ms")));
        while (monotonic_clock::now() < finishAt && monotonic_clock::now() < deadline && !m_cancelled.contains(id))
            co_await sleepFor(std::min(std::chrono::duration_cast<microseconds>(finishAt - monotonic_clock::now()), microseconds(2000)));
        co_await waitWhileFrozen();
        if (boot != m_boot)
            co_return reply(500, request, {});
        --m_inFlight;
        if (m_cancelled.erase(id) > 0)
            co_return reply(499, request, {});
        if (m_cold && ++m_coldReplies >= m_options.coldRequests)
            m_cold = false;
        if (!isSearch)
            co_return reply(200, request, json::object { { "answer", json::object { { "key", request.field("Idempotency-Key") }, { "searcher", m_id }, { "text", request.body } } } });
        co_return makeSearchReply(request, requested);
    }

    // Builds the reply to a search. The hits depend only on the query, the index version and the key range.
    http_reply makeSearchReply(const http_request& request, snapshot_id snapshot) const
    {
        const auto range = instanceRange(snapshot.shardMap, m_instance, m_options.instances);
        const auto query = json::value_to<std::string>(json::parse(request.body).at("query"));
        json::array hits;
        for (std::uint64_t number = 0; number < hitsPerShard; ++number) {
            const auto hash = XXH3_64bits_withSeed(query.data(), query.size(), snapshot.indexVersion * 1000 + range.first + number);
            const auto key = range.first + hash % range.size();
            hits.push_back(json::object { { "score", static_cast<double>(hash % 10000) / 10000 }, { "key", key }, { "text", query + " #" + std::to_string(key) + " v" + std::to_string(snapshot.indexVersion) } });
        }
        return reply(200, request,
            json::object { { "index_version", snapshot.indexVersion }, { "shard_map", snapshot.shardMap }, { "first", range.first }, { "last", range.last }, { "hits", std::move(hits) } });
    }

    asio::io_context& m_io;
    target_options m_options;
    std::uint32_t m_instance;
    std::string m_id;
    asio::ip::tcp::endpoint m_endpoint;
    http_limits m_limits;
    milliseconds m_connectCost;
    journal& m_log;
    counters& m_counts;
    std::mt19937_64& m_random;
    std::unique_ptr<http_server> m_server;
    std::set<snapshot_id> m_heldSnapshots;
    std::set<std::string> m_cancelled;
    std::uint64_t m_boot = 1;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_coldReplies = 0;
    double m_slowFactor = 1;
    bool m_cold = false;
    bool m_frozen = false;
    bool m_draining = false;
    monotonic_time m_crashedUntil {};
};

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "front", "", "Name of the front", setting_kind::text, true, 0, 0, false },
        { "base-port", "", "First port on 127.0.0.1; the control port is the one before", setting_kind::number, true, 1025, 65000, false },
        { "instances", "20", "Number of instances", setting_kind::number, true, 1, 1000, false },
        { "replicas", "2", "Searchers per instance", setting_kind::number, true, 1, 26, false },
        { "slots", "2", "Concurrent requests per searcher", setting_kind::number, true, 1, 1000, false },
        { "connections", "25", "Open connections per searcher", setting_kind::number, true, 1, 10000, false },
        { "connect-ms", "6", "Delay before a new connection is accepted, in milliseconds", setting_kind::number, true, 0, 1000, false },
        { "service-us", "4000", "Median service time, in microseconds", setting_kind::number, true, 1, 10'000'000, false },
        { "straggle-permille", "10", "Stragglers per 1000 requests", setting_kind::number, true, 0, 1000, false },
        { "cold-allowance", "1", "Concurrent requests per cold searcher", setting_kind::number, true, 1, 1000, false },
        { "cold-requests", "20", "Successful replies until a cold searcher is warm; 0: never cold", setting_kind::number, true, 0, 100000, false },
        { "seed", "1", "Seed of the service times", setting_kind::number, true, 0, INT32_MAX, false },
        { "journal", "", "File to append the journal to", setting_kind::text, false, 0, 0, false },
    };
    return table;
}

std::string searcherName(const std::string& front, std::uint32_t instance, std::uint32_t replica)
{
    return front + "-" + std::to_string(instance) + static_cast<char>('a' + replica);
}

int run(int argc, char** argv)
{
    const auto settings = program_settings::read("fake-target", "Runs fake searchers of one front, one port per searcher.", settingsTable(), argc, argv);
    target_options options;
    options.front = settings.text("front");
    options.instances = static_cast<std::uint32_t>(settings.number("instances"));
    options.replicas = static_cast<std::uint32_t>(settings.number("replicas"));
    options.slots = static_cast<std::uint32_t>(settings.number("slots"));
    options.coldAllowance = static_cast<std::uint32_t>(settings.number("cold-allowance"));
    options.coldRequests = static_cast<std::uint32_t>(settings.number("cold-requests"));
    options.serviceUs = static_cast<double>(settings.number("service-us"));
    options.stragglePermille = static_cast<std::uint32_t>(settings.number("straggle-permille"));

    asio::io_context io(1);
    journal log(settings.text("journal"));
    counters counts;
    std::mt19937_64 random(static_cast<std::uint64_t>(settings.number("seed")));
    http_limits limits;
    limits.connections = static_cast<std::size_t>(settings.number("connections"));
    const auto basePort = static_cast<unsigned short>(settings.number("base-port"));
    const auto loopback = asio::ip::make_address("127.0.0.1");

    std::vector<std::unique_ptr<fake_searcher>> searchers;
    for (std::uint32_t instance = 0; instance < options.instances; ++instance) {
        for (std::uint32_t replica = 0; replica < options.replicas; ++replica) {
            const auto port = static_cast<unsigned short>(basePort + instance * options.replicas + replica);
            searchers.push_back(std::make_unique<fake_searcher>(io, options, instance, searcherName(options.front, instance, replica), asio::ip::tcp::endpoint { loopback, port }, limits, milliseconds(settings.number("connect-ms")), log, counts, random));
        }
    }
    http_server control(io.get_executor(), { loopback, static_cast<unsigned short>(basePort - 1) }, {}, [&](http_request request) -> awaitable<http_reply> {
        http_reply reply;
        if (request.target == "/counters") {
            reply.body = json::serialize(json::object { { "searches", counts.searches }, { "runs", counts.runs }, { "over_cold", counts.overCold }, { "over_slots", counts.overSlots }, { "cancels", counts.cancels }, { "highest_cold_in_flight", counts.highestColdInFlight } });
            co_return reply;
        }
        const auto wanted = queryParameter(request.target, "searcher");
        const auto value = queryParameter(request.target, "value");
        std::size_t matched = 0;
        for (const auto& searcher : searchers) {
            if (wanted != "*" && wanted != searcher->id())
                continue;
            ++matched;
            searcher->control(queryParameter(request.target, "action"), value.empty() ? 0 : std::stoull(value));
        }
        reply.status = matched > 0 ? 200 : 404;
        co_return reply;
    });
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
    io.run();
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "fake-target: " << error.what() << "\n";
        return 2;
    }
}
