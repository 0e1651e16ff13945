#include "search_handler.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace limpetpier {

namespace {

// Reserved from the deadline for the merge and the response to the caller.
constexpr milliseconds answerMargin { 3 };

// A query whose snapshot is no longer held restarts only if at least this much time is left.
constexpr milliseconds minRestartTime { 20 };
constexpr milliseconds restartDelay { 10 };
constexpr int maxRuns = 3; // each on another snapshot

std::mt19937& randomGenerator()
{
    thread_local std::mt19937 generator { std::random_device {}() };
    return generator;
}

} // namespace

search_handler::search_handler(cluster_view& view, link_directory& links)
    : m_view(view)
    , m_links(links)
    , m_nextQuery(static_cast<std::uint64_t>(wallNow().time_since_epoch().count()) << 20)
{
}

awaitable<search_answer> search_handler::answer(front_route_handle route, search_request request)
{
    const auto startedAt = monotonic_clock::now();
    const auto policy = policyOf(route->spec);
    {
        const std::lock_guard lock(policy->mutex);
        if (!policy->admission.acquire(route->spec.priority)) {
            search_answer shed;
            shed.why = reason::overloaded;
            co_return shed;
        }
    }
    auto answer = co_await runQuery(route, std::move(request), policy, startedAt);
    const bool isOverloaded = std::any_of(answer.coverage.missing.begin(), answer.coverage.missing.end(), [](const missing_shard& missing) {
        return missing.why == reason::queue_full || missing.why == reason::deadline_passed || missing.why == reason::target_shed;
    });
    {
        const std::lock_guard lock(policy->mutex);
        policy->admission.release(isOverloaded, monotonic_clock::now());
    }
    answer.elapsed = std::chrono::duration_cast<microseconds>(monotonic_clock::now() - startedAt);
    co_return answer;
}

awaitable<search_answer> search_handler::runQuery(front_route_handle route, search_request request, std::shared_ptr<front_policy> policy, monotonic_time startedAt)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto deadline = startedAt + request.deadline.value_or(route->spec.deadline) - answerMargin;
    search_answer best;
    best.why = reason::no_owner;
    std::optional<snapshot_id> lostSnapshot;
    for (int run = 0; run < maxRuns; ++run) {
        if (!route || !route->snapshot || route->snapshot->snapshot == lostSnapshot)
            break;
        const query_number number { ++m_nextQuery };
        const auto query = std::make_shared<running_query>(executor, number, route, request, sortReplicasByLoad(*route->snapshot, *policy), policy, m_links, deadline);
        {
            const std::lock_guard lock(m_mutex);
            m_queries[number] = query;
        }
        co_await query->run();
        {
            const std::lock_guard lock(m_mutex);
            m_queries.erase(number);
        }
        const auto& plan = query->plan();
        auto coverage = plan.coverage();
        best.subRequests += plan.subRequestsSent();
        best.hedges += plan.hedgesSent();
        if (best.result != outcome::answered || coverage.fraction > best.coverage.fraction) {
            best.result = outcome::answered;
            best.why = reason::none;
            best.snapshot = plan.snapshot();
            best.coverage = std::move(coverage);
            best.hits = plan.bestHits(request.limit);
        }
        if (!plan.snapshotLost() || monotonic_clock::now() + minRestartTime > deadline)
            break;
        lostSnapshot = plan.snapshot();
        m_view.refresh();
        asio::steady_timer timer(executor, restartDelay);
        co_await timer.async_wait(asio::use_awaitable);
        route = m_view.route(route->spec.id);
    }
    const bool isBelowMinCoverage = best.result == outcome::answered && route && route->spec.shortfall == shortfall_policy::refuse && best.coverage.fraction < route->spec.minCoverage;
    if (isBelowMinCoverage) {
        best.result = outcome::outcome_unknown;
        best.why = reason::coverage_short;
        best.hits.clear();
    }
    co_return best;
}

// Sorts the replicas of each piece by open sub-requests, fewest first; shuffles replicas with equal counts.
pinned_snapshot search_handler::sortReplicasByLoad(pinned_snapshot pinned, front_policy& policy)
{
    const std::lock_guard lock(policy.mutex);
    const auto loadOf = [&](const searcher_id& searcher) {
        const auto outstanding = policy.outstanding.find(searcher);
        return outstanding == policy.outstanding.end() ? 0 : outstanding->second;
    };
    for (auto& piece : pinned.pieces) {
        std::shuffle(piece.replicas.begin(), piece.replicas.end(), randomGenerator());
        std::stable_sort(piece.replicas.begin(), piece.replicas.end(), [&](const searcher_id& left, const searcher_id& right) { return loadOf(left) < loadOf(right); });
    }
    return pinned;
}

std::shared_ptr<front_policy> search_handler::policyOf(const front_spec& front)
{
    const std::lock_guard lock(m_mutex);
    auto& policy = m_policies[front.id];
    if (!policy || policy->hedgeBudget != front.hedgeBudget)
        policy = std::make_shared<front_policy>(front.hedgeBudget);
    return policy;
}

search_handler::query_handle search_handler::find(query_number query) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_queries.find(query);
    return found == m_queries.end() ? nullptr : found->second;
}

void search_handler::handleReply(const sub_request_reply& reply)
{
    if (const auto query = find(reply.query))
        query->postReply(reply);
}

void search_handler::handleSlowNotice(const slow_notice& notice)
{
    if (const auto query = find(notice.query))
        query->postSlowAttempt(notice.ref);
}

void search_handler::handleLinkClosed(const std::string& address)
{
    for (const auto& query : queries())
        query->postLinkClosed(address);
}

void search_handler::handleUnresponsive(const std::string& address)
{
    for (const auto& query : queries())
        query->postUnresponsive(address);
}

std::set<std::string> search_handler::ownersOfOpenQueries() const
{
    std::set<std::string> addresses;
    std::set<const front_route*> seen;
    for (const auto& query : queries()) {
        if (!seen.insert(&query->route()).second)
            continue;
        for (const auto& [searcher, address] : query->route().ownerAddresses)
            addresses.insert(address);
    }
    return addresses;
}

std::vector<search_handler::query_handle> search_handler::queries() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<query_handle> result;
    result.reserve(m_queries.size());
    for (const auto& [number, query] : m_queries)
        result.push_back(query);
    return result;
}

std::size_t search_handler::openQueries() const
{
    const std::lock_guard lock(m_mutex);
    return m_queries.size();
}

} // namespace limpetpier
