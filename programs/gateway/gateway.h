#pragma once

#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>

#include "gateway_metrics.h"
#include "limpetpier/coordination/traffic_split.h"
#include "limpetpier/transport/store_follower.h"
#include "membership.h"
#include "peer_views.h"
#include "request_run.h"

namespace limpetpier {

// Addresses and bounds of a gateway process.
struct gateway_settings {
    node_id node;
    data_centre_id zone;
    std::string clientAddress; // IP:port
    std::string readyAddress; // IP:port
    std::string peerAddress; // IP:port
    std::string metricsAddress; // IP:port; empty for none
    std::string nodeSecret; // shared by the deployment's gateways; without it they give each other no views
    std::vector<std::string> seeds; // IP:port of some gateways, for a process that never reached the store
    shared_bounds bounds;
    milliseconds stopGrace { 6000 }; // from the signal to the forced end
    member_times member;
    milliseconds viewDelay { 700 }; // changes in the store are gathered for this long
    milliseconds memberSettle { 800 }; // at the start, time without a change after which the member list is whole
};

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
    [[nodiscard]] milliseconds viewAge() const; // since the store's last answer; negative before the first
    void handleStore(bool reachable);
    void report(const run_report& report);

    void replaceView(const std::vector<store_item>& items, bool afterOutage);
    void applyChange(const store_item& item, bool afterOutage);
    void applyOperator(const store_item& item);
    void adoptTable(const std::string& text);
    void applySearcher(const store_item& item, bool afterOutage);
    std::optional<searcher_entry> readSearcher(const store_item& item) const;
    void changeMembers();
    [[nodiscard]] std::optional<view_reply> ownView() const;
    void adoptView(const view_reply& view);
    void askPeer(monotonic_time now);
    void settle(monotonic_time now);
    void refreshFleet();

    void maintain();
    void beginStop();
    void continueStop();

    asio::io_context& m_io;
    const gateway_protocol& m_protocol;
    gateway_settings m_settings;
    std::shared_ptr<const routing_table> m_table;
    searcher_directory m_directory;
    std::set<data_centre_id> m_evacuated;
    member_share m_share;
    searcher_fleet m_fleet;
    run_context m_context;
    std::map<std::string, route_record> m_records; // by route name
    std::map<std::string, traffic_split> m_splits; // by route name
    store_follower m_store;
    membership m_membership;
    client_listener m_clients;
    client_listener m_readiness;
    std::unique_ptr<client_listener> m_scrapes;
    std::unique_ptr<peer_views> m_peers;
    std::string m_tableText; // of m_table, as it lies in the store
    std::optional<monotonic_time> m_peerViewAt; // when the store last answered the peer whose view is in force
    monotonic_time m_askPeerAt {};
    std::size_t m_peersAsked = 0;
    gateway_metrics m_metrics;
    bool m_saidReady = false;
    asio::steady_timer m_maintenance;
    asio::steady_timer m_stopTimer;
    asio::signal_set m_signals;
    std::set<searcher_id> m_changedSearchers; // since the fleet was updated
    bool m_rulesChanged = false; // table, members or evacuations, since the fleet was updated
    bool m_settled = false; // the number of members is known well enough to share what is common
    monotonic_time m_begun = monotonic_clock::now();
    monotonic_time m_membersChangedAt = monotonic_clock::now();
    bool m_membersChanged = false;
    bool m_stopping = false;
    bool m_draining = false; // the balancer has taken this process out
    monotonic_time m_drainedAt {}; // no new request is expected after this
    std::uint32_t m_unreadyAnswers = 0; // readiness checks answered since the stop began
    monotonic_time m_stopBegan {};
};

} // namespace limpetpier
