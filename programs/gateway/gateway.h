#pragma once

#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>

#include "deployment_view.h"
#include "gateway_metrics.h"
#include "limpetpier/coordination/stop_schedule.h"
#include "limpetpier/coordination/traffic_split.h"
#include "request_gate.h"
#include "request_handling.h"
#include "rollouts.h"
#include "workspace_limiter.h"

namespace limpetpier {

// Serves client requests by sending them to the searchers of the deployment. Runs on a single thread.
class gateway {
public:
    // The listeners of clients and readiness checks open here. Throws if an address is malformed or can't be bound.
    gateway(asio::io_context& io, const gateway_protocol& protocol, metadata_store& store, gateway_settings settings);

    // Starts to follow the store and to handle termination signals; opens the listener for metrics if it has an
    // address.
    void start();

    // Applies changed shared limits and the stop grace period. All other settings keep their values until a restart.
    void changeSettings(const gateway_settings& settings);

private:
    void handleRequest(http_request message, client_call call);
    void route(std::shared_ptr<client_request> request, client_call call);

    // Answers a request whose key does not permit the route.
    void refuseUnauthorized(const client_request& request, const limpetpier::route& rule, client_call& call);

    // Decides whether a request with a route may start now. May answer it with a refusal, or start it later.
    void admit(accepted_request run);

    // Starts a request if the limit of its workspace lets it, which other gateways may have to be asked.
    void startWithinLimit(accepted_request run);
    void refuseBeyondLimit(accepted_request& run, const permit_decision& decision);
    void startRequest(accepted_request run);
    void refuse(accepted_request run, monotonic_time returnAt);
    void recordAdmission(const accepted_request& run, const request_gate::verdict& verdict);

    void handleReady(client_call call);
    void handleMetrics(const http_request& request, client_call call);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] bool isIsolated() const;
    void handleStoreReachability(bool reachable);
    void report(const request_report& report);

    void refreshFleet();

    void maintain();
    void beginStop();
    void continueStop();
    void answerRunningRequests();

    asio::io_context& m_io;
    const gateway_protocol& m_protocol;
    gateway_settings m_settings;
    searcher_fleet m_fleet;
    request_handler_context m_context;
    std::map<std::string, route_statistics> m_routeRecords; // by route name
    std::map<std::string, traffic_split> m_trafficSplits; // by route name
    request_gate m_gate;
    deployment_view m_view;
    rollouts m_rollouts;
    workspace_limiter m_limiter;
    std::shared_ptr<connection_budget> m_readinessBudget;
    std::shared_ptr<connection_budget> m_metricsBudget;
    std::shared_ptr<connection_budget> m_clientBudget;
    client_listener m_clientListener;
    client_listener m_readinessListener;
    std::unique_ptr<client_listener> m_metricsListener;
    gateway_metrics m_metrics;
    bool m_lastReportedReady = false;
    asio::steady_timer m_maintenanceTimer;
    asio::steady_timer m_stopTimer;
    asio::signal_set m_signals;
    std::optional<stop_schedule> m_stop; // set once the process is stopping
    bool m_draining = false; // the load balancer has removed this process
    monotonic_time m_arrivalsEndAt {}; // no new request is expected after this time
    std::uint32_t m_unreadyReplies = 0; // readiness checks answered since the stop began, all with 503
};

} // namespace limpetpier
