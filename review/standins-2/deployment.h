// A small deployment for the cases on cold searchers: gateways in zones, one service of a single searcher a request, and
// requesters.

#pragma once

#include "world.h"

namespace world {

constexpr double coldOvershoot = 1.5; // as in the settings files
constexpr double coldSlack = 5;

struct deployment_options {
    int gateways = 2;
    int warmSearchers = 2;
    int requesters = 30;
    ms pause { 80 }; // between the requests of one requester
    int coldPerS = 20;
    double warmupS = 3;
    int boundMs = 3000; // drainMs and configApplyMs
    int zones = 2; // of gateways and requesters
    int maxConns = 40; // of a searcher
    double crashesAt = 1.1; // share of the bound at which a cold searcher crashes
    ms workTime { 5 };
};

class deployment {
public:
    deployment(asio::io_context& io, const case_settings& settings, deployment_options options)
        : m_io(io)
        , m_settings(settings)
        , m_options(options)
        , m_store(io)
    {
        m_store.put("op/config", json::serialize(json::object { { "version", 1 }, { "routes", json::array { describeRoute("lookup", "safe"), describeRoute("order", "unsafe") } },
            { "services", json::array { json::object { { "name", "orders" }, { "healthPath", "/healthz" }, { "maxConns", options.maxConns }, { "protocol", "h1" }, { "tls", false }, { "warmupS", options.warmupS }, { "coldPerS", options.coldPerS } } } },
            { "limits", json::object { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } } }));
        for (int number = 0; number < options.gateways; ++number)
            addGateway();
        for (int number = 0; number < options.warmSearchers; ++number)
            addSearcher(0);
        platform = std::make_unique<entry>(io, gateways);
        for (auto& each : gateways)
            each->start();
    }

    ~deployment()
    {
        for (auto& each : gateways)
            each->end();
    }

    static json::object describeRoute(const std::string& name, const char* type)
    {
        return { { "name", name }, { "host", "search.example" }, { "prefix", "/" + name + "/" }, { "type", type }, { "timeoutMs", 1000 }, { "targetLatencyMs", 250 }, { "priority", 1 }, { "service", "orders" }, { "maxAttempts", 2 } };
    }

    // Adds a gateway without starting it.
    gateway& addGateway()
    {
        const auto number = gateways.size();
        const std::string name = "front-" + std::to_string(number + 1);
        const auto zone = static_cast<char>('a' + static_cast<int>(number) % m_options.zones);
        gateways.push_back(std::make_unique<gateway>(name, m_settings.subnet + "." + std::to_string(11 + number), std::string("zone-") + zone, m_settings.command));
        gateways.back()->writeSettings(m_settings.folder, m_store.addAddress(m_settings.subnet + ".2", name), { m_settings.subnet + ".11", m_settings.subnet + ".12" }, m_options.boundMs);
        return *gateways.back();
    }

    searcher& addSearcher(double warmupS)
    {
        const auto number = searchers.size();
        searchers.push_back(std::make_unique<searcher>(m_io, m_store, m_settings.subnet + ".100", searcher::properties { "i-" + std::to_string(7001 + number), "orders", "zone-d", 4, m_options.workTime, ms(static_cast<int>(warmupS * 1000)), m_options.crashesAt / 1.1 * coldBound() }));
        record.line("searcher %s starts, cold for %.1f s", searchers.back()->id().c_str(), warmupS);
        return *searchers.back();
    }

    awaitable<bool> waitUntilReady(double limitSeconds)
    {
        const auto until = clock_type::now() + ms(static_cast<int>(limitSeconds * 1000));
        while (clock_type::now() < until) {
            if (std::all_of(gateways.begin(), gateways.end(), [](const auto& each) { return each->inRotation; }))
                co_return true;
            co_await sleepFor(ms(20));
        }
        co_return false;
    }

    void startTraffic()
    {
        for (int number = 0; number < m_options.requesters; ++number) {
            const std::size_t keptFor = number % 2 == 0 ? 1 : 20; // half of the requesters open a connection for each request
            // A third of the requests may not be repeated.
            const auto spec = number % 3 == 2 ? request_spec { "search.example", "/order/", "POST", "one brass finial", "", 1000 } : request_spec { "search.example", "/lookup/", "GET", "", "", 1000 };
            m_requesters.push_back(std::make_unique<requester>(m_io, *platform, std::string("zone-") + static_cast<char>('a' + number / 3 % m_options.zones), static_cast<std::size_t>(number), spec, m_options.pause, keptFor, totals, m_stopped));
        }
    }

    void stopTraffic() { m_stopped = true; }
    store& platformStore() { return m_store; }

    // Requests that the rules allow a cold searcher in a second.
    [[nodiscard]] double coldBound() const { return m_options.coldPerS * coldOvershoot + coldSlack; }

    // Writes the result of the rule FAILBACK. Returns 1 if it was broken, 0 if it held, 2 if too little arrived to tell.
    int judgeColdSearchers()
    {
        int verdict = 2;
        for (const auto& each : searchers) {
            const auto busiest = findBusiestSecond(each->coldArrivals());
            if (busiest.count == 0)
                continue;
            record.line("FAILBACK: cold searcher %s got %zu requests in the second from %.3f (%s); %zu while cold; the rule allows %.0f a second", each->id().c_str(), busiest.count, seconds(busiest.begin), text(busiest.byGateway).c_str(), each->coldArrivals().size(), coldBound());
            std::map<int, std::map<std::string, std::size_t>> tenths;
            for (const auto& arrived : each->coldArrivals())
                ++tenths[static_cast<int>(seconds(arrived.at) * 5)][arrived.gateway];
            for (const auto& [fifth, counts] : tenths)
                record.line("    from %.1f s: %s", fifth / 5.0, text(counts).c_str());
            if (verdict != 1)
                verdict = static_cast<double>(busiest.count) > coldBound() ? 1 : 0;
        }
        for (const auto& each : searchers) {
            for (const auto& id : each->lostWork()) {
                const auto found = totals.failed.find(id);
                if (found != totals.failed.end())
                    record.line("    request %s, which %s had taken, ends with %s", id.c_str(), each->id().c_str(), found->second.c_str());
            }
        }
        record.line("answers: %s", text(totals.byStatus).c_str());
        record.line("%s", verdict == 1 ? "BROKEN: FAILBACK" : (verdict == 0 ? "held" : "no request reached a cold searcher"));
        return verdict;
    }

    std::vector<std::unique_ptr<gateway>> gateways;
    std::vector<std::unique_ptr<searcher>> searchers;
    std::unique_ptr<entry> platform;
    request_totals totals;

private:
    asio::io_context& m_io;
    const case_settings& m_settings;
    deployment_options m_options;
    store m_store;
    std::vector<std::unique_ptr<requester>> m_requesters;
    bool m_stopped = false;
};

// Runs a case and returns its result, 2 if it could not run.
template <typename Case>
int runCase(int argc, char** argv, deployment_options options, Case play)
{
    const auto settings = readCase(argc, argv);
    int result = 2;
    try {
        asio::io_context io(1);
        deployment played(io, settings, options);
        asio::co_spawn(
            io, [&]() -> awaitable<void> { result = co_await play(played, settings.trouble); },
            [&](std::exception_ptr error) {
                if (error)
                    record.line("the case failed with an exception");
                io.stop();
            });
        io.run();
        for (auto& each : played.gateways)
            each->end();
        std::cout.flush();
        record.line("exit %d", result);
        ::_exit(result); // the pending coroutines refer to what would be destroyed now
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
    }
    return 2;
}

} // namespace world
