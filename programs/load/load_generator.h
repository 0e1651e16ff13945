#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "limpetpier/transport/http.h"

namespace limpetpier {

struct load_options {
    std::vector<std::string> fronts; // HTTP addresses of limpet-front processes, or of one searcher when direct
    std::string front; // name in the document
    bool orders = false;
    double rate = 0; // requests a second
    milliseconds duration { 0 };
    std::uint64_t seed = 0;
    std::uint32_t limit = 0;
    std::uint32_t maxAttempts = 1; // tries of one order with the same key
    milliseconds deadline { 0 }; // 0: the front's own
    bool balanced = false; // send only to fronts that say they are ready, as a balancer does
    bool direct = false; // speak the target protocol to a searcher, as a baseline
    std::vector<std::string> watchedNodes; // HTTP addresses whose revision is sampled
    std::string recordsPath;
};

struct load_summary {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cut = 0; // no reply at all
    std::uint64_t subRequests = 0;
    std::uint64_t hedges = 0;
    double coverageSum = 0;
    std::vector<double> latenciesMs; // of answered requests, from the intended send time

    // Quantile of the answered latencies; 0 without any.
    [[nodiscard]] double quantileMs(double fraction);
};

// Sends requests at seeded random times that do not depend on the answers (open loop) and records every outcome.
class load_generator {
public:
    load_generator(asio::any_io_executor executor, load_options options);

    // Runs to the end, the last answers included.
    awaitable<void> run();

    [[nodiscard]] load_summary& summary() { return m_summary; }

private:
    struct pool {
        std::string address;
        std::vector<std::unique_ptr<http_connection>> idle;
        bool ready = true;
    };

    awaitable<void> sendSearch(std::uint64_t number, monotonic_time intendedAt);
    awaitable<void> sendOrder(std::uint64_t number, monotonic_time intendedAt);
    awaitable<exchange_result> exchange(pool& target, http_request request);
    awaitable<void> watchReadiness(std::size_t position);
    pool& choosePool(std::uint64_t number);
    awaitable<void> watchNode(std::string address);
    awaitable<void> finishOne(awaitable<void> work);
    http_request searchRequest(const std::string& query) const;
    std::string newKey();
    void record(const std::string& line);

    asio::any_io_executor m_executor;
    load_options m_options;
    load_summary m_summary;
    std::vector<pool> m_pools;
    std::mt19937_64 m_random;
    std::ofstream m_records;
    std::uint64_t m_open = 0;
    bool m_ended = false;
};

} // namespace limpetpier
