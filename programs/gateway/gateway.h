#pragma once

#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>

#include "deployment_view.h"
#include "gateway_metrics.h"
#include "limpetpier/coordination/traffic_split.h"
#include "request_handling.h"

namespace limpetpier {

// Answers clients by asking the searchers of the deployment. One thread.
class gateway {
public:
    gateway(asio::io_context& io, const gateway_protocol& protocol, metadata_store& store, gateway_settings settings);

    void start();

    // Takes over changed bounds and times; addresses stay as they were at the start.
    void changeSettings(const gateway_settings& settings);

private:
    void handleRequest(http_request message, client_call call);
    void route(std::shared_ptr<client_request> request, client_call call);
    void handleReady(client_call call);
    void handleMetrics(const http_request& request, client_call call);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] bool isLost() const;
    void handleStore(bool reachable);
    void report(const request_report& report);

    void refreshFleet();

    void maintain();
    void beginStop();
    void continueStop();

    asio::io_context& m_io;
    const gateway_protocol& m_protocol;
    gateway_settings m_settings;
    searcher_fleet m_fleet;
    request_handler_context m_context;
    std::map<std::string, route_statistics> m_records; // by route name
    std::map<std::string, traffic_split> m_splits; // by route name
    deployment_view m_view;
    client_listener m_clients;
    client_listener m_readiness;
    std::unique_ptr<client_listener> m_scrapes;
    gateway_metrics m_metrics;
    bool m_saidReady = false;
    asio::steady_timer m_maintenance;
    asio::steady_timer m_stopTimer;
    asio::signal_set m_signals;
    bool m_stopping = false;
    bool m_draining = false; // the balancer has taken this process out
    monotonic_time m_drainedAt {}; // no new request is expected after this
    std::uint32_t m_unreadyAnswers = 0; // readiness checks answered since the stop began
    monotonic_time m_stopBegan {};
};

} // namespace limpetpier
