#pragma once

#include <set>
#include <string>

#include "limpetpier/transport/metadata_store.h"
#include "limpetpier/transport/metrics.h"
#include "request_handling.h"

namespace limpetpier {

// Counters, gauges and latency histograms of a gateway, by route and outcome. Routes beyond the first maxRoutes that had
// requests share one label, so that the number of series is bounded.
class gateway_metrics {
public:
    void record(const request_report& ended);
    void recordStoreReachability(bool reachable);
    void recordStoreCall(const char* call, store_result result, microseconds elapsed);

    // Gauges as of now.
    struct gauges {
        std::size_t runningRequests = 0;
        std::size_t clientConnections = 0;
        std::size_t searchers = 0;
        std::size_t usableSearchers = 0;
        std::size_t searcherConnections = 0;
        std::size_t members = 0;
        std::uint64_t tableVersion = 0;
        double viewAgeSeconds = 0; // since the store's last answer
        bool ready = false;
        std::map<service_id, double> extraSendsLeft; // extra sends left in the window, by service
        std::map<service_id, searcher_limits> shares; // of the bounds of one searcher, by service
    };
    [[nodiscard]] std::string render(const gauges& now);

    static constexpr std::size_t maxRoutes = 32;
    static constexpr std::size_t maxServices = 32; // the first by name; a deployment of many shards gives them equal limits

private:
    std::string labelOf(const std::string& route);

    metrics_registry m_registry;
    std::set<std::string> m_routes;
};

} // namespace limpetpier
