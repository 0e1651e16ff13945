#pragma once

#include <map>
#include <string>

#include "deployment_view.h"
#include "searcher_fleet.h"

namespace limpetpier {

// Carries out the roll-outs of a deployment: passes the stored orders, states and reports to the decisions in the fleet,
// stores this process's reports and, where this process is responsible for a service, the states.
class rollouts {
public:
    // All arguments must outlive this object.
    rollouts(const gateway_protocol& protocol, metadata_store& store, const gateway_settings& settings, searcher_fleet& fleet);

    // Applies changed items, searchers, members and configuration. Call it before the fleet learns of changed searchers.
    void update(const deployment_view& view, monotonic_time now);

    // Evaluates the roll-outs and stores what is due. Call it about every 100 ms.
    void maintain(const deployment_view& view, monotonic_time now);

    // Returns true while a service has an order without a final status.
    [[nodiscard]] bool isAnyActive() const;

    // State of one roll-out, for metrics.
    struct row {
        service_id service;
        software_version target;
        rollout_phase phase = rollout_phase::running;
        route_evidence answers; // over all routes, as reported by all processes
    };
    [[nodiscard]] std::vector<row> rows() const;

private:
    // What was read from and written to the store for one service.
    struct service_state {
        store_revision orderRevision;
        store_revision statusRevision;
        std::map<node_id, store_revision> reportRevisions; // of the reports that were applied
        rollout_report publishedReport;
        monotonic_time publishedAt {};
        bool statusWritePending = false;
        store_revision writtenOver; // status revision that was replaced by this process's last write
        bool written = false; // the write at writtenOver was acknowledged; its result was not read yet
        monotonic_time nextStatusWrite {};
        monotonic_time nextCleaning {};
        bool reportedBad = false;
    };

    void applyItems(const service_id& service, const deployment_view& view, monotonic_time now);
    void applyOrder(const service_id& service, rollout_control& control, service_state& state, const deployment_view& view, monotonic_time now);
    void applyStatus(const service_id& service, rollout_control& control, service_state& state, const deployment_view& view, monotonic_time now);
    void applyReports(const service_id& service, rollout_control& control, service_state& state, const deployment_view& view);
    void applyVersions(const service_id& service, rollout_control& control, const deployment_view& view, monotonic_time now) const;
    void writeStatus(const service_id& service, const rollout_status& status, monotonic_time now);
    [[nodiscard]] static bool isReportDue(const service_state& state, const rollout_report& report, monotonic_time now);
    void publishReports(monotonic_time now);
    void removeReports(const service_id& service, const deployment_view& view, monotonic_time now);
    [[nodiscard]] std::size_t rank(const service_id& service, const deployment_view& view) const;
    [[nodiscard]] std::string reportPrefix(const service_id& service) const;
    [[nodiscard]] rollout_limits limitsFor(const service_id& service, const routing_table* table) const;

    const gateway_protocol& m_protocol;
    metadata_store& m_store;
    const gateway_settings& m_settings;
    searcher_fleet& m_fleet;
    std::map<service_id, service_state> m_states;
    monotonic_time m_nextReportWrite {};
    bool m_hasRead = false; // items were applied before
};

} // namespace limpetpier
