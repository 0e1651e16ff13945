#include "searcher_fleet.h"

#include <algorithm>

#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

// Cost of leaving the own zone, in multiples of an ordinary reply's time: decides between equals only.
constexpr double otherZoneCost = 0.3;

} // namespace

searcher_fleet::searcher_fleet(asio::any_io_executor executor, const gateway_protocol& protocol, data_centre_id ownZone, shared_bounds bounds)
    : m_executor(std::move(executor))
    , m_protocol(protocol)
    , m_ownZone(std::move(ownZone))
    , m_bounds(bounds)
{
}

void searcher_fleet::update(const searcher_directory& directory, const routing_table& table, const member_share& share, const std::set<data_centre_id>& evacuated)
{
    drop(directory);
    m_services.clear();
    for (const auto& [id, record] : directory.records()) {
        auto& pool = m_pools[id];
        if (!pool || !(pool->entry() == record.entry))
            logEvent(event::searcher_listed, event_fields().add("searcher", id.value()).add("service", record.entry.service.value()).add("address", record.entry.address).add("zone", record.entry.zone.value()).add("state", record.entry.draining ? "draining" : "ready").add("cold_ms", record.entry.coldLeft).add("born", record.entry.born));
        if (!pool)
            pool = std::make_unique<searcher_pool>(m_executor, m_protocol, record.entry);
        pool->update(record.entry, record.coldUntil);
        pool->setEvacuated(evacuated.contains(record.entry.zone));
        m_services[record.entry.service].push_back(pool.get());
    }
    changeLimits(table, share);
}

void searcher_fleet::drop(const searcher_directory& directory)
{
    for (auto item = m_pools.begin(); item != m_pools.end();) {
        if (directory.records().contains(item->first)) {
            ++item;
            continue;
        }
        auto entry = item->second->entry();
        logEvent(event::searcher_gone, event_fields().add("searcher", entry.id.value()).add("service", entry.service.value()).add("running", item->second->runningCalls()));
        entry.draining = true; // finishes what runs, takes nothing more
        item->second->update(entry, {});
        m_leaving.push_back(std::move(item->second));
        item = m_pools.erase(item);
    }
}

void searcher_fleet::changeLimits(const routing_table& table, const member_share& share)
{
    m_retrySlack = share.slack(m_bounds.retrySlack);
    for (auto& [service, allowance] : m_allowances)
        allowance.changeSlack(m_retrySlack);
    for (const auto& [service, pools] : m_services) {
        const auto* limits = table.service(service);
        const auto all = static_cast<std::size_t>(std::count_if(pools.begin(), pools.end(), [](const searcher_pool* pool) { return !pool->entry().draining; }));
        std::size_t index = 0;
        for (auto* pool : pools) {
            if (limits == nullptr) {
                pool->changeLimits(0, 0, {});
                continue;
            }
            const auto cold = share.coldRequests(pool->entry().id, limits->coldPerSecond * m_bounds.coldFactor + m_bounds.coldSlack);
            pool->changeLimits(share.connections(service, index, all, limits->connections), cold, limits->healthPath);
            if (!pool->entry().draining)
                ++index;
        }
    }
}

searcher_pool* searcher_fleet::choose(const service_id& service, const std::vector<searcher_id>& excluded, monotonic_time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return nullptr;
    searcher_pool* best = nullptr;
    double bestCost = 0;
    for (auto* pool : found->second) {
        if (std::find(excluded.begin(), excluded.end(), pool->entry().id) != excluded.end() || !pool->isUsable(now))
            continue;
        const double cost = pool->cost(now) + (pool->entry().zone == m_ownZone ? 0 : otherZoneCost);
        if (best == nullptr || cost < bestCost) {
            best = pool;
            bestCost = cost;
        }
    }
    return best;
}

bool searcher_fleet::hasOther(const service_id& service, const std::vector<searcher_id>& excluded) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && std::any_of(found->second.begin(), found->second.end(), [&](const searcher_pool* pool) {
        return !pool->entry().draining && std::find(excluded.begin(), excluded.end(), pool->entry().id) == excluded.end();
    });
}

bool searcher_fleet::isReachable(const service_id& service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && std::any_of(found->second.begin(), found->second.end(), [](const searcher_pool* pool) { return pool->isReachable(); });
}

bool searcher_fleet::canServe(const routing_table& table) const
{
    return std::all_of(table.routes().begin(), table.routes().end(), [&](const route& rule) {
        if (!rule.isQuery())
            return std::all_of(rule.split.begin(), rule.split.end(), [&](const weighted_service& part) { return isReachable(part.service); });
        const auto reachable = std::count_if(rule.shards.begin(), rule.shards.end(), [&](const service_id& shard) { return isReachable(shard); });
        return static_cast<double>(reachable) >= rule.leastCoverage * static_cast<double>(rule.shards.size());
    });
}

searcher_pool* searcher_fleet::find(const searcher_id& searcher)
{
    if (const auto found = m_pools.find(searcher); found != m_pools.end())
        return found->second.get();
    const auto leaving = std::find_if(m_leaving.begin(), m_leaving.end(), [&](const auto& pool) { return pool->entry().id == searcher; });
    return leaving == m_leaving.end() ? nullptr : leaving->get();
}

std::size_t searcher_fleet::count(const service_id& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.size();
}

std::map<service_id, double> searcher_fleet::extraLeft(monotonic_time now)
{
    std::map<service_id, double> result;
    for (auto& [service, allowance] : m_allowances)
        result.emplace(service, allowance.left(now));
    return result;
}

retry_allowance& searcher_fleet::allowance(const service_id& service)
{
    return m_allowances.try_emplace(service, m_bounds.retryShare, m_retrySlack, m_bounds.retryWindow).first->second;
}

void searcher_fleet::maintain(monotonic_time now)
{
    for (const auto& [id, pool] : m_pools)
        pool->maintain(now);
    for (const auto& pool : m_leaving)
        pool->maintain(now);
    std::erase_if(m_leaving, [](const auto& pool) { return pool->runningCalls() == 0; });
}

searcher_fleet::totals searcher_fleet::count(monotonic_time now)
{
    totals result;
    result.searchers = m_pools.size();
    for (const auto& [id, pool] : m_pools) {
        result.usable += pool->isUsable(now) ? 1 : 0;
        result.connections += pool->openConnections();
    }
    return result;
}

} // namespace limpetpier
