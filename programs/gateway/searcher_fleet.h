#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "limpetpier/coordination/member_share.h"
#include "limpetpier/coordination/retry_allowance.h"
#include "limpetpier/coordination/sustained_share.h"
#include "searcher_connection_pool.h"

namespace limpetpier {

// Limits that all gateway processes of the deployment share.
struct deployment_limits {
    double retryShare = 0.1; // extra sends per request to a service
    double retrySlack = 0; // extra sends per window in addition to retryShare
    milliseconds retryWindow { 10'000 }; // sliding window of the retry budget
    double coldFactor = 1; // multiplies the service's limit for cold searchers
    double coldSlack = 0; // requests per second to a cold searcher in addition to that
    milliseconds limitWindow { 0 }; // over which the requests of a workspace are counted; 0 disables the limits of workspaces
    double limitOvershoot = 0; // tolerated beyond a workspace's limit, as a share of it
    double limitSlack = 0; // requests tolerated per window in addition to that
};

// Connection pools of all searchers that this process may send to, grouped by service.
class searcher_fleet {
public:
    // protocol must outlive the fleet. ownZone is preferred when searchers are otherwise about equal.
    searcher_fleet(asio::any_io_executor executor, const gateway_protocol& protocol, data_centre_id ownZone, deployment_limits limits);

    // Adds, updates or removes the searchers whose directory entries changed, and updates the limits of their services.
    // Does no work for services without a change.
    void updateEntries(const searcher_directory& directory, const std::set<searcher_id>& changed, const routing_table& table, const member_share& share);

    // Applies a changed routing table, member list or set of evacuated zones to all searchers.
    void updateConfiguration(const routing_table& table, const member_share& share, const std::set<data_centre_id>& evacuated);

    // Replaces the deployment limits. Takes effect with the next call of updateConfiguration() or, for the searchers of
    // changed services, updateEntries().
    void setDeploymentLimits(const deployment_limits& limits) { m_deploymentLimits = limits; }

    // Returns the usable searcher of a service with the lowest expected cost, or null if there is none. Searchers in
    // excluded are skipped.
    searcher_connection_pool* chooseSearcher(const service_id& service, const std::vector<searcher_id>& excluded, monotonic_time now);

    // Returns the earliest time at which a searcher of the service that is not excluded may be sent a request, even if
    // its connections are busy now; the maximum if there is none.
    [[nodiscard]] monotonic_time sendableFrom(const service_id& service, const std::vector<searcher_id>& excluded, monotonic_time now) const;

    // Returns true if any searcher of the service is reachable.
    [[nodiscard]] bool isReachable(const service_id& service, monotonic_time now) const;

    // Returns true if this process can serve every route of the table: each service of a single-searcher route must be
    // reachable, and enough shards of a query for its minimum coverage.
    [[nodiscard]] bool canServe(const routing_table& table, monotonic_time now) const;

    // Returns the pool of a searcher; null if the searcher is not listed and has no running calls.
    searcher_connection_pool* find(const searcher_id& searcher);

    // Returns the number of listed searchers of a service.
    [[nodiscard]] std::size_t searcherCount(const service_id& service) const;

    // Returns this process's share of the limits of one searcher, by service.
    [[nodiscard]] std::map<service_id, searcher_limits> limitsByService() const;

    // Returns the extra sends left in the current window, by service.
    [[nodiscard]] std::map<service_id, double> remainingExtraSends(monotonic_time now);

    // Returns the budget for hedges and retries to a service. Creates it on first use; the reference stays valid.
    retry_allowance& retryBudget(const service_id& service);

    // Closes idle and expired connections, opens a limited number of ready ones, and deletes the pools of removed
    // searchers without running calls. To be called periodically.
    void maintain(monotonic_time now);

    // Numbers over all listed searchers.
    struct totals {
        std::size_t searchers = 0;
        std::size_t usable = 0;
        std::size_t connections = 0;
    };

    // Returns the totals at this moment.
    [[nodiscard]] totals countTotals(monotonic_time now);

private:
    void addOrUpdate(const searcher_directory::record& record);
    void remove(const searcher_id& searcher);
    void restoreRestriction(searcher_connection_pool& pool) const;
    void deleteRemovedPools(monotonic_time now);

    // A searcher that is no longer listed. Kept while calls are running, and while it is restricted: its entry may appear
    // again.
    struct removed_pool {
        std::unique_ptr<searcher_connection_pool> pool;
        monotonic_time removedAt;
    };
    void applyRetryLimits(monotonic_time now);
    void updateLimits(const service_id& service, const routing_table& table, const member_share& share);

    asio::any_io_executor m_executor;
    const gateway_protocol& m_protocol;
    data_centre_id m_ownZone;
    deployment_limits m_deploymentLimits;
    std::shared_ptr<connection_budget> m_receiveBudget; // of the connections to all searchers
    sustained_share m_retrySlackShare; // this process's part of the slack
    double m_retrySlack = 0; // of that part, what may be used now
    std::set<data_centre_id> m_evacuated;
    std::map<searcher_id, std::unique_ptr<searcher_connection_pool>> m_pools;
    std::vector<searcher_connection_pool*> m_maintenanceOrder; // all of m_pools
    std::size_t m_nextMaintenance = 0; // index in m_maintenanceOrder
    std::map<service_id, std::vector<searcher_connection_pool*>> m_poolsByService; // each ordered by searcher id
    std::map<service_id, retry_allowance> m_retryBudgets;
    std::vector<removed_pool> m_removedPools;
};

} // namespace limpetpier
