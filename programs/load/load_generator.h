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

// Settings of a load run.
struct load_options {
    std::vector<std::string> fronts; // IP:port of limpet-front processes, or of searchers if direct is set
    std::string front; // name of the front in the document
    bool orders = false; // sends orders instead of searches
    double rate = 0; // mean number of requests per second
    milliseconds duration { 0 };
    std::uint64_t seed = 0;
    std::uint32_t limit = 0; // maximum number of results per search
    std::uint32_t maxAttempts = 1; // per order, all with the same idempotency key
    milliseconds deadline { 0 }; // sent with each request; 0 sends none, so that the front's own applies
    bool balanced = false; // sends only to fronts whose readiness check passes, as a load balancer does
    bool direct = false; // sends target protocol requests to searchers, as a baseline without a front
    std::vector<std::string> watchedNodes; // IP:port of nodes whose revision is sampled
    std::string recordsPath; // appended to; empty: no records
};

// Counts and latencies of a load run. An order counts as one request with the outcome of its last attempt.
struct load_summary {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; // with direct set, every reply counts
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cut = 0; // requests that got no reply
    std::uint64_t subRequests = 0; // of answered searches, as their replies report
    std::uint64_t hedges = 0; // of answered searches, as their replies report
    double coverageSum = 0; // coverage fractions of answered searches, added up
    std::vector<double> latenciesMs; // of answered requests, measured from the intended send time

    // Returns a quantile of latenciesMs in milliseconds, or 0 if there are none. Sorts latenciesMs.
    [[nodiscard]] double quantileMs(double fraction);
};

// Sends requests at exponentially distributed intervals that do not depend on the replies (open loop), and records
// every outcome. The seed determines the intervals, the query texts and the random part of the keys.
class load_generator {
public:
    load_generator(asio::any_io_executor executor, load_options options);

    // Sends requests for the configured duration, then waits for the remaining replies.
    awaitable<void> run();

    // Complete once run() has returned.
    [[nodiscard]] load_summary& summary() { return m_summary; }

private:
    struct front_connections {
        std::string address;
        std::vector<std::unique_ptr<http_connection>> idle;
        bool ready = true;
    };

    awaitable<void> sendSearch(std::uint64_t number, monotonic_time intendedAt);
    awaitable<void> sendOrder(std::uint64_t number, monotonic_time intendedAt);
    awaitable<exchange_result> exchange(front_connections& front, http_request request);
    awaitable<void> watchReadiness(std::size_t position);
    front_connections& chooseFront(std::uint64_t number);
    awaitable<void> sampleRevisions(std::string address);
    awaitable<void> trackRequest(awaitable<void> request);
    http_request searchRequest(const std::string& query) const;
    std::string newKey();
    void record(const std::string& line);

    asio::any_io_executor m_executor;
    load_options m_options;
    load_summary m_summary;
    std::vector<front_connections> m_fronts;
    std::mt19937_64 m_random;
    std::ofstream m_records;
    std::uint64_t m_openRequests = 0;
    bool m_isFinished = false;
};

} // namespace limpetpier
