#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "limpetpier/coordination/member_share.h"
#include "limpetpier/coordination/retry_allowance.h"
#include "searcher_connection_pool.h"

namespace limpetpier {

// Bounds that count over all processes of the deployment.
struct deployment_limits {
    double retryShare = 0.1; // extra sends for each request to a service
    double retrySlack = 0; // extra sends in a window besides the share
    milliseconds retryWindow { 10'000 };
    double coldFactor = 1; // of a service's cold allowance
    double coldSlack = 0; // requests a second to a cold searcher besides it
};

// All searchers that this process may send to, by service.
class searcher_fleet {
public:
    searcher_fleet(asio::any_io_executor executor, const gateway_protocol& protocol, data_centre_id ownZone, deployment_limits bounds);

    // Takes over changed entries of the directory. Costs only what they are.
    void updateEntries(const searcher_directory& directory, const std::set<searcher_id>& changed, const routing_table& table, const member_share& share);

    // Takes over a change of the table, the members or the zones to be emptied, for all searchers.
    void updateConfiguration(const routing_table& table, const member_share& share, const std::set<data_centre_id>& evacuated);

    // Takes effect with the next update.
    void setDeploymentLimits(const deployment_limits& bounds) { m_deploymentLimits = bounds; }

    // Best searcher of a service to send to now; null if there is none. The excluded ones are not considered.
    searcher_connection_pool* chooseSearcher(const service_id& service, const std::vector<searcher_id>& excluded, monotonic_time now);

    // True if the service has a searcher besides the excluded ones, usable now or not.
    [[nodiscard]] bool hasAlternative(const service_id& service, const std::vector<searcher_id>& excluded) const;

    // True if the service has a searcher that can be reached.
    [[nodiscard]] bool isReachable(const service_id& service) const;

    // True if this process can serve every route of the table: a single-searcher route needs each of its services, a
    // query its least coverage.
    [[nodiscard]] bool canServe(const routing_table& table) const;

    // Null once the searcher has left the directory.
    searcher_connection_pool* find(const searcher_id& searcher);

    // Searchers of a service that are listed.
    [[nodiscard]] std::size_t searcherCount(const service_id& service) const;

    // This process's part of the bounds of one searcher, by service.
    [[nodiscard]] std::map<service_id, searcher_limits> limitsByService() const;

    // Extra sends left in the window, by service.
    [[nodiscard]] std::map<service_id, double> remainingExtraSends(monotonic_time now);

    retry_allowance& retryBudget(const service_id& service);

    void maintain(monotonic_time now);

    struct totals {
        std::size_t searchers = 0;
        std::size_t usable = 0;
        std::size_t connections = 0;
    };
    [[nodiscard]] totals countTotals(monotonic_time now);

private:
    void addOrUpdate(const searcher_directory::record& record);
    void remove(const searcher_id& searcher);
    void updateLimits(const service_id& service, const routing_table& table, const member_share& share);

    asio::any_io_executor m_executor;
    const gateway_protocol& m_protocol;
    data_centre_id m_ownZone;
    deployment_limits m_deploymentLimits;
    double m_retrySlack = 0; // this process's part
    std::set<data_centre_id> m_evacuated;
    std::map<searcher_id, std::unique_ptr<searcher_connection_pool>> m_pools;
    std::vector<searcher_connection_pool*> m_maintenanceOrder; // all of m_pools, for maintenance
    std::size_t m_nextMaintenance = 0; // index of the next one
    std::map<service_id, std::vector<searcher_connection_pool*>> m_poolsByService; // by searcher id within a service
    std::map<service_id, retry_allowance> m_retryBudgets;
    std::vector<std::unique_ptr<searcher_connection_pool>> m_removedPools; // gone from the directory, with calls running
};

} // namespace limpetpier
