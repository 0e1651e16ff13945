#include "search_handler.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace limpetpier {

namespace {

// Retries earned by each answered sub-request, and how many may be saved up.
constexpr double retryShare = 0.1;
constexpr double retryBurst = 50;

// Time kept back for the merge and the way to the caller.
constexpr milliseconds answerMargin { 3 };

// A query whose snapshot vanished starts again only with this much time left.
constexpr milliseconds leastRestartTime { 20 };
constexpr milliseconds restartPause { 10 };
constexpr int maxPins = 3;

std::mt19937& random()
{
    thread_local std::mt19937 generator { std::random_device {}() };
    return generator;
}

} // namespace

search_handler::front_policy::front_policy(double budget)
    : hedgeBudget(budget)
    , hedges(budget)
    , retries(retryShare, retryBurst)
{
}

// One pinned run of one query. All members are used on the query's strand only.
class search_handler::running_query : public std::enable_shared_from_this<running_query> {
public:
    running_query(asio::any_io_executor executor, query_number number, const front_route_handle& route, const search_request& request, pinned_snapshot pinned, std::shared_ptr<front_policy> policy, link_directory& links, monotonic_time deadline)
        : m_done(executor, deadline)
        , m_executor(std::move(executor))
        , m_number(number)
        , m_route(route)
        , m_request(request)
        , m_policy(std::move(policy))
        , m_plan(std::move(pinned), m_policy->hedges, m_policy->retries)
        , m_links(links)
        , m_deadline(deadline)
    {
    }

    // Runs until every piece is settled or the deadline has come.
    awaitable<void> run()
    {
        act([this] { return m_plan.start(); });
        if (!m_plan.complete()) {
            boost::system::error_code ignored;
            co_await m_done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        m_ended = true;
        std::vector<sub_cancel> cancels;
        {
            const std::lock_guard lock(m_policy->mutex);
            cancels = m_plan.abandon();
        }
        sendCancels(cancels);
        const std::lock_guard lock(m_policy->mutex);
        for (const auto& [ref, place] : m_places)
            --m_policy->outstanding[place.searcher];
    }

    void postReply(const sub_reply& reply)
    {
        asio::post(m_executor, [self = shared_from_this(), reply] { self->onReply(reply); });
    }

    void postSlow(attempt_ref ref)
    {
        asio::post(m_executor, [self = shared_from_this(), ref] {
            self->act([&] { return self->m_plan.onSlow(ref); });
        });
    }

    // Every open try that went over the link has no answer to come.
    void postClosed(const std::string& address)
    {
        asio::post(m_executor, [self = shared_from_this(), address] {
            std::vector<attempt_ref> lost;
            for (const auto& [ref, place] : self->m_places) {
                if (place.address == address)
                    lost.push_back(ref);
            }
            for (const auto& ref : lost)
                self->onReply({ self->m_number, ref, outcome::outcome_unknown, reason::link_lost, {}, {}, 0 });
        });
    }

    void postQuiet(const std::string& address)
    {
        asio::post(m_executor, [self = shared_from_this(), address] {
            std::vector<attempt_ref> waiting;
            for (const auto& [ref, place] : self->m_places) {
                if (place.address == address)
                    waiting.push_back(ref);
            }
            for (const auto& ref : waiting)
                self->act([&] { return self->m_plan.onQuietOwner(ref); });
        });
    }

    // Addresses that the query was routed to.
    [[nodiscard]] const front_route& route() const { return *m_route; }

    [[nodiscard]] const fan_out_plan& plan() const { return m_plan; }

private:
    struct place {
        searcher_id searcher;
        std::string address;
    };

    void onReply(const sub_reply& reply)
    {
        const auto found = m_places.find(reply.ref);
        if (found == m_places.end())
            return;
        {
            const std::lock_guard lock(m_policy->mutex);
            --m_policy->outstanding[found->second.searcher];
            if (reply.result == outcome::answered)
                m_policy->hedges.recordService(microseconds { reply.serviceUs });
        }
        m_places.erase(found);
        act([&] { return m_plan.onReply({ reply.ref, reply.result, reply.why, reply.from, reply.hits }); });
    }

    // Lets the plan decide under the front's lock, then does what it decided.
    template <typename Decision>
    void act(const Decision& decide)
    {
        if (m_ended)
            return;
        std::vector<sub_send> sends;
        std::vector<sub_cancel> cancels;
        microseconds slowAfter { 0 };
        {
            const std::lock_guard lock(m_policy->mutex);
            sends = decide();
            cancels = m_plan.takeCancels();
            const auto threshold = m_policy->hedges.threshold();
            slowAfter = threshold == hedge_policy::maximum() ? microseconds { 0 } : threshold;
            for (const auto& send : sends)
                ++m_policy->outstanding[send.searcher];
        }
        sendAll(sends, slowAfter);
        sendCancels(cancels);
        if (m_plan.complete())
            m_done.cancel();
    }

    void sendAll(const std::vector<sub_send>& sends, microseconds slowAfter)
    {
        std::map<std::string, search_batch> batches;
        for (const auto& send : sends) {
            const auto owner = m_route->ownerAddresses.find(send.searcher);
            const auto address = owner == m_route->ownerAddresses.end() ? std::string() : owner->second;
            m_places[send.ref] = { send.searcher, address };
            if (send.delay.count() > 0)
                sendLater(send, address, slowAfter);
            else
                batches[address].items.push_back({ send.ref, send.searcher, send.hedge });
        }
        for (auto& [address, batch] : batches)
            sendBatch(address, batch, slowAfter);
    }

    void sendLater(const sub_send& send, const std::string& address, microseconds slowAfter)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_executor, send.delay);
        timer->async_wait([self = shared_from_this(), timer, send, address, slowAfter](const boost::system::error_code&) {
            if (self->m_ended)
                return;
            search_batch batch;
            batch.items.push_back({ send.ref, send.searcher, send.hedge });
            self->sendBatch(address, batch, slowAfter);
        });
    }

    void sendBatch(const std::string& address, search_batch& batch, microseconds slowAfter)
    {
        if (address.empty()) {
            for (const auto& item : batch.items)
                postReply({ m_number, item.ref, outcome::not_run, reason::no_owner, {}, {}, 0 });
            return;
        }
        batch.query = m_number;
        batch.front = m_route->spec.id;
        batch.text = m_request.query;
        batch.limit = m_request.limit;
        batch.priority = m_route->spec.priority;
        const auto left = std::chrono::duration_cast<microseconds>(m_deadline - monotonic_clock::now());
        batch.budget = { left.count(), wallNow().time_since_epoch().count() };
        batch.slowAfterUs = slowAfter.count();
        batch.snapshot = m_plan.snapshot();
        m_links.send(address, batch);
    }

    void sendCancels(const std::vector<sub_cancel>& cancels)
    {
        std::map<std::string, cancel_message> messages;
        for (const auto& cancel : cancels) {
            const auto found = m_places.find(cancel.ref);
            if (found != m_places.end() && !found->second.address.empty())
                messages[found->second.address].refs.push_back(cancel.ref);
        }
        for (auto& [address, message] : messages) {
            message.query = m_number;
            m_links.send(address, message);
        }
    }

    asio::steady_timer m_done;
    asio::any_io_executor m_executor;
    query_number m_number;
    front_route_handle m_route;
    const search_request& m_request;
    std::shared_ptr<front_policy> m_policy;
    fan_out_plan m_plan;
    link_directory& m_links;
    monotonic_time m_deadline;
    std::map<attempt_ref, place> m_places; // tries without a reply so far
    bool m_ended = false;
};

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
    const bool metOverload = std::any_of(answer.coverage.missing.begin(), answer.coverage.missing.end(), [](const missing_shard& gap) {
        return gap.why == reason::queue_full || gap.why == reason::deadline_passed || gap.why == reason::target_shed;
    });
    {
        const std::lock_guard lock(policy->mutex);
        policy->admission.release(metOverload, monotonic_clock::now());
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
    std::optional<snapshot_id> lost;
    for (int pin = 0; pin < maxPins; ++pin) {
        if (!route || !route->snapshot || route->snapshot->snapshot == lost)
            break;
        const query_number number { ++m_nextQuery };
        const auto query = std::make_shared<running_query>(executor, number, route, request, orderReplicas(*route->snapshot, *policy), policy, m_links, deadline);
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
        if (!plan.snapshotLost() || monotonic_clock::now() + leastRestartTime > deadline)
            break;
        lost = plan.snapshot();
        m_view.refresh();
        asio::steady_timer timer(executor, restartPause);
        co_await timer.async_wait(asio::use_awaitable);
        route = m_view.route(route->spec.id);
    }
    const bool isShort = best.result == outcome::answered && route && route->spec.shortfall == shortfall_policy::refuse && best.coverage.fraction < route->spec.leastCoverage;
    if (isShort) {
        best.result = outcome::outcome_unknown;
        best.why = reason::coverage_short;
        best.hits.clear();
    }
    co_return best;
}

// Puts the replica with the least work first in each piece.
pinned_snapshot search_handler::orderReplicas(pinned_snapshot pinned, front_policy& policy)
{
    const std::lock_guard lock(policy.mutex);
    const auto loadOf = [&](const searcher_id& searcher) {
        const auto outstanding = policy.outstanding.find(searcher);
        return outstanding == policy.outstanding.end() ? 0 : outstanding->second;
    };
    for (auto& piece : pinned.pieces) {
        std::shuffle(piece.replicas.begin(), piece.replicas.end(), random());
        std::stable_sort(piece.replicas.begin(), piece.replicas.end(), [&](const searcher_id& left, const searcher_id& right) { return loadOf(left) < loadOf(right); });
    }
    return pinned;
}

std::shared_ptr<search_handler::front_policy> search_handler::policyOf(const front_spec& front)
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

void search_handler::handleReply(const sub_reply& reply)
{
    if (const auto query = find(reply.query))
        query->postReply(reply);
}

void search_handler::handleSlow(const slow_notice& notice)
{
    if (const auto query = find(notice.query))
        query->postSlow(notice.ref);
}

void search_handler::handleClosed(const std::string& address)
{
    for (const auto& query : queries())
        query->postClosed(address);
}

void search_handler::handleQuiet(const std::string& address)
{
    for (const auto& query : queries())
        query->postQuiet(address);
}

std::set<std::string> search_handler::busyAddresses() const
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
