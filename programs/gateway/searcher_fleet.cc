#include "searcher_fleet.h"

#include <algorithm>

#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

// Cost of sending to another zone, in multiples of the median reply time. Small, so that it decides only between
// searchers of about equal cost.
constexpr double remoteZoneCost = 0.3;

// Limit of ready connections opened in one round of maintenance. Accepting one occupies a slot of the searcher for some
// milliseconds, and all processes may start at the same time.
constexpr std::uint32_t maxOpenedPerRound = 24;

// Time for which a restricted searcher without an entry is kept.
constexpr milliseconds restrictedPoolRetention = send_restriction::maxPushback;

// Limit on the incomplete replies of all searchers together: two of the largest replies. The memory in use can be several
// times this, as buffers grow by doubling.
constexpr std::size_t maxIncompleteReplyBytes = 16U << 20;

// Returns whether two entries with the same id describe the same start of the searcher.
bool isSameStart(const searcher_entry& left, const searcher_entry& right) { return left.startTimeMs == right.startTimeMs && left.address == right.address; }

// Without maintenance for this long the process was suspended. Less than the lease of its entry in the member list.
constexpr milliseconds maxMaintenanceSilence { 4000 };

} // namespace

searcher_fleet::searcher_fleet(asio::any_io_executor executor, const gateway_protocol& protocol, data_centre_id ownZone, deployment_limits limits)
    : m_executor(std::move(executor))
    , m_protocol(protocol)
    , m_ownZone(std::move(ownZone))
    , m_deploymentLimits(limits)
    , m_receiveBudget(std::make_shared<connection_budget>(connection_budget::limits { maxIncompleteReplyBytes }))
    , m_retrySlackShare(limits.retryWindow, maxMaintenanceSilence)
{
}

void searcher_fleet::updateEntries(const searcher_directory& directory, const std::set<searcher_id>& changed, const routing_table& table, const member_share& share)
{
    std::set<service_id> services;
    for (const auto& id : changed) {
        if (const auto existing = m_pools.find(id); existing != m_pools.end())
            services.insert(existing->second->entry().service);
        const auto found = directory.records().find(id);
        if (found == directory.records().end()) {
            remove(id);
            continue;
        }
        addOrUpdate(found->second);
        services.insert(found->second.entry.service);
    }
    for (const auto& service : services)
        updateLimits(service, table, share);
}

void searcher_fleet::updateConfiguration(const routing_table& table, const member_share& share, const std::set<data_centre_id>& evacuated)
{
    m_evacuated = evacuated;
    const auto now = monotonic_clock::now();
    m_retrySlackShare.changeWindow(m_deploymentLimits.retryWindow);
    m_retrySlackShare.set(share.slackShare(m_deploymentLimits.retrySlack), now);
    applyRetryLimits(now);
    for (const auto& [id, pool] : m_pools)
        pool->setEvacuated(evacuated.contains(pool->entry().zone));
    for (const auto& [service, pools] : m_poolsByService)
        updateLimits(service, table, share);
}

void searcher_fleet::applyRetryLimits(monotonic_time now)
{
    m_retrySlack = m_retrySlackShare.usable(now);
    for (auto& [service, budget] : m_retryBudgets)
        budget.changeLimits(m_deploymentLimits.retryShare, m_retrySlack, m_deploymentLimits.retryWindow);
}

void searcher_fleet::addOrUpdate(const searcher_directory::record& record)
{
    const auto& entry = record.entry;
    if (const auto existing = m_pools.find(entry.id); existing != m_pools.end() && existing->second->entry().service != entry.service)
        remove(entry.id); // the id was reassigned to a searcher of another service
    auto& pool = m_pools[entry.id];
    if (!pool || !(pool->entry() == entry))
        logEvent(event::searcher_listed, event_fields().add("searcher", entry.id.value()).add("service", entry.service.value()).add("address", entry.address).add("zone", entry.zone.value()).add("state", entry.draining ? "draining" : "ready").add("cold_ms", entry.coldTimeLeft).add("born", entry.startTimeMs));
    if (!pool) {
        pool = std::make_unique<searcher_connection_pool>(m_executor, m_protocol, entry, m_receiveBudget);
        restoreRestriction(*pool);
        m_maintenanceOrder.push_back(pool.get());
        auto& pools = m_poolsByService[entry.service];
        const auto position = std::lower_bound(pools.begin(), pools.end(), entry.id, [](const searcher_connection_pool* other, const searcher_id& id) { return other->entry().id < id; });
        pools.insert(position, pool.get());
    }
    pool->update(entry, record.coldUntil);
    pool->setEvacuated(m_evacuated.contains(entry.zone));
}

void searcher_fleet::remove(const searcher_id& searcher)
{
    const auto found = m_pools.find(searcher);
    if (found == m_pools.end())
        return;
    auto entry = found->second->entry();
    logEvent(event::searcher_gone, event_fields().add("searcher", entry.id.value()).add("service", entry.service.value()).add("running", found->second->runningCalls()));
    auto& pools = m_poolsByService[entry.service];
    std::erase(pools, found->second.get());
    std::erase(m_maintenanceOrder, found->second.get());
    if (pools.empty())
        m_poolsByService.erase(entry.service);
    entry.draining = true; // running calls finish, no new ones are accepted
    found->second->update(entry, {});
    m_removedPools.push_back({ std::move(found->second), monotonic_clock::now() });
    m_pools.erase(found);
}

// Applies what the searcher stated before its entry was removed, if this is still the same start of it.
void searcher_fleet::restoreRestriction(searcher_connection_pool& pool) const
{
    for (const auto& removed : m_removedPools) {
        if (removed.pool->entry().id == pool.entry().id && isSameStart(removed.pool->entry(), pool.entry()))
            pool.restore(removed.pool->restriction());
    }
}

void searcher_fleet::deleteRemovedPools(monotonic_time now)
{
    std::erase_if(m_removedPools, [&](const removed_pool& removed) {
        const bool isRestricted = !removed.pool->restriction().allowsSend(now) && now - removed.removedAt < restrictedPoolRetention;
        return removed.pool->runningCalls() == 0 && !isRestricted;
    });
}

void searcher_fleet::updateLimits(const service_id& service, const routing_table& table, const member_share& share)
{
    const auto found = m_poolsByService.find(service);
    if (found == m_poolsByService.end())
        return;
    const auto* limits = table.service(service);
    if (limits == nullptr) {
        for (auto* pool : found->second)
            pool->changeLimits({});
        return;
    }
    std::vector<data_centre_id> zones; // of the searchers that accept requests
    for (const auto* pool : found->second) {
        if (pool->acceptsRequests())
            zones.push_back(pool->entry().zone);
    }
    const auto readySelection = share.selectReadySearchers(service, zones, limits->connections);
    std::size_t acceptingIndex = 0;
    for (auto* pool : found->second) {
        const bool keepReady = pool->acceptsRequests() && readySelection[acceptingIndex++];
        const auto coldLimit = share.coldRequestLimit(pool->entry().id, limits->coldRequestsPerSecond * m_deploymentLimits.coldFactor + m_deploymentLimits.coldSlack);
        pool->changeLimits({ share.connectionLimit(limits->connections), keepReady, coldLimit, limits->healthPath });
    }
}

searcher_connection_pool* searcher_fleet::chooseSearcher(const service_id& service, const std::vector<searcher_id>& excluded, monotonic_time now)
{
    const auto found = m_poolsByService.find(service);
    if (found == m_poolsByService.end())
        return nullptr;
    searcher_connection_pool* best = nullptr;
    double bestCost = 0;
    for (auto* pool : found->second) {
        if (std::find(excluded.begin(), excluded.end(), pool->entry().id) != excluded.end() || !pool->isUsable(now))
            continue;
        const double cost = pool->expectedCost(now) + (pool->entry().zone == m_ownZone ? 0 : remoteZoneCost);
        if (best == nullptr || cost < bestCost) {
            best = pool;
            bestCost = cost;
        }
    }
    return best;
}

monotonic_time searcher_fleet::sendableFrom(const service_id& service, const std::vector<searcher_id>& excluded, monotonic_time now) const
{
    auto earliest = monotonic_time::max();
    const auto found = m_poolsByService.find(service);
    if (found == m_poolsByService.end())
        return earliest;
    for (const auto* pool : found->second) {
        if (earliest <= now)
            break;
        if (std::find(excluded.begin(), excluded.end(), pool->entry().id) == excluded.end())
            earliest = std::min(earliest, pool->sendableFrom(now));
    }
    return earliest;
}

bool searcher_fleet::isReachable(const service_id& service, monotonic_time now) const
{
    const auto found = m_poolsByService.find(service);
    return found != m_poolsByService.end() && std::any_of(found->second.begin(), found->second.end(), [&](const searcher_connection_pool* pool) { return pool->isReachable(now); });
}

bool searcher_fleet::canServe(const routing_table& table, monotonic_time now) const
{
    return std::all_of(table.routes().begin(), table.routes().end(), [&](const route& rule) {
        if (!rule.isQuery())
            return std::all_of(rule.trafficSplit.begin(), rule.trafficSplit.end(), [&](const weighted_service& part) { return isReachable(part.service, now); });
        const auto reachable = std::count_if(rule.shards.begin(), rule.shards.end(), [&](const service_id& shard) { return isReachable(shard, now); });
        return static_cast<double>(reachable) >= rule.minCoverage * static_cast<double>(rule.shards.size());
    });
}

searcher_connection_pool* searcher_fleet::find(const searcher_id& searcher)
{
    if (const auto found = m_pools.find(searcher); found != m_pools.end())
        return found->second.get();
    const auto found = std::find_if(m_removedPools.begin(), m_removedPools.end(), [&](const removed_pool& removed) { return removed.pool->entry().id == searcher; });
    return found == m_removedPools.end() ? nullptr : found->pool.get();
}

std::size_t searcher_fleet::searcherCount(const service_id& service) const
{
    const auto found = m_poolsByService.find(service);
    return found == m_poolsByService.end() ? 0 : found->second.size();
}

std::map<service_id, searcher_limits> searcher_fleet::limitsByService() const
{
    std::map<service_id, searcher_limits> result;
    for (const auto& [service, pools] : m_poolsByService)
        result.emplace(service, pools.front()->limits());
    return result;
}

std::map<service_id, double> searcher_fleet::remainingExtraSends(monotonic_time now)
{
    std::map<service_id, double> result;
    for (auto& [service, budget] : m_retryBudgets)
        result.emplace(service, budget.remaining(now));
    return result;
}

retry_allowance& searcher_fleet::retryBudget(const service_id& service)
{
    return m_retryBudgets.try_emplace(service, m_deploymentLimits.retryShare, m_retrySlack, m_deploymentLimits.retryWindow).first->second;
}

void searcher_fleet::maintain(monotonic_time now)
{
    // Continues after the searcher at which the previous round stopped, so that no searcher is starved.
    std::uint32_t opened = 0;
    for (std::size_t visited = 0; visited < m_maintenanceOrder.size() && opened < maxOpenedPerRound; ++visited, ++m_nextMaintenance) {
        if (m_nextMaintenance >= m_maintenanceOrder.size())
            m_nextMaintenance = 0;
        opened += m_maintenanceOrder[m_nextMaintenance]->maintain(now) ? 1 : 0;
    }
    for (const auto& removed : m_removedPools)
        removed.pool->maintain(now);
    if (m_retrySlackShare.usable(now) != m_retrySlack)
        applyRetryLimits(now);
    deleteRemovedPools(now);
}

searcher_fleet::totals searcher_fleet::countTotals(monotonic_time now)
{
    totals result;
    result.searchers = m_pools.size();
    for (const auto& [id, pool] : m_pools) {
        result.usable += pool->isUsable(now) ? 1 : 0;
        result.connections += pool->connectionCount();
    }
    return result;
}

} // namespace limpetpier
