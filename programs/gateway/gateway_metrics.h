#pragma once

#include <set>
#include <string>

#include "limpetpier/coordination/request_admission.h"
#include "limpetpier/transport/metadata_store.h"
#include "limpetpier/transport/metrics.h"
#include "request_handling.h"
#include "workspace_limiter.h"

namespace limpetpier {

// Counters, gauges and latency histograms of a gateway, by route and outcome. The first maxRoutes routes that get a
// request have a label of their own; all others share the label "other", which bounds the number of series.
class gateway_metrics {
public:
    // Counts a finished request with its sends and parts.
    void record(const request_report& ended);

    // Counts a decision on the admission of a request.
    void recordAdmission(const std::string& route, const admission_decision& decision);

    // Counts the decision on a request of a limited workspace, with the time that it took.
    void recordPermit(const permit_decision& decision);

    // Counts a change between reachable and unreachable of the store.
    void recordStoreReachability(bool reachable);

    // Adds the time of a call to the store to the histogram of its kind and result.
    void recordStoreCall(const char* call, store_result result, microseconds elapsed);

    // A service's latest roll-out.
    struct rollout_row {
        service_id service;
        software_version target;
        rollout_phase phase = rollout_phase::running;
        route_evidence answers;
    };

    // Values of the gauges at the time of a scrape.
    struct gauges {
        std::size_t runningRequests = 0;
        std::size_t clientConnections = 0;
        std::size_t clientBytes = 0; // held by requests and replies of clients
        std::size_t clientsGivenUp = 0; // connections closed for lack of memory or connections, since the start
        std::size_t searchers = 0;
        std::size_t usableSearchers = 0;
        std::size_t searcherConnections = 0;
        std::size_t members = 0;
        std::uint64_t tableVersion = 0;
        double viewAgeSeconds = 0; // since the store's last answer; negative before the first
        bool ready = false;
        std::vector<rollout_row> rollouts;
        std::size_t limitsKept = 0; // workspaces whose limits this process keeps
        std::size_t waitingForPermits = 0; // requests
        std::map<service_id, double> extraSendsLeft; // extra sends left in the current window, by service
        std::map<service_id, searcher_limits> shares; // this process's part of the limits of one searcher, by service
    };

    // Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string render(const gauges& values);

    // Routes with a label of their own.
    static constexpr std::size_t maxRoutes = 32;

    // Services whose shares are shown, the first by name. A deployment of many shards gives its services equal limits.
    static constexpr std::size_t maxServices = 32;

private:
    void renderRollouts(const std::vector<rollout_row>& rollouts);
    std::string routeLabel(const std::string& route);

    metrics_registry m_registry;
    std::set<std::string> m_labelledRoutes;
};

} // namespace limpetpier
