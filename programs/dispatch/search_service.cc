#include "search_service.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "limpetpier/coordination/ownership.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

monotonic_time deadlineOf(const time_budget& budget)
{
    const auto now = monotonic_clock::now();
    const wall_time sentAt { milliseconds { budget.sentAtWallMs } };
    const auto transitTime = std::max(milliseconds { 0 }, std::chrono::duration_cast<milliseconds>(wallNow() - sentAt) - maxClockSkew);
    return now + microseconds { budget.remainingUs } - transitTime;
}

namespace {

// Returns a hash of the digest's contents. It is never 0, the value that stands for "no digest known".
std::uint64_t fingerprintOf(const digest_reply& digest)
{
    std::string text = std::to_string(digest.epoch.value()) + "/" + std::to_string(digest.revision.value()) + (digest.acceptsRequests ? "+" : "-");
    for (const auto& report : digest.searchers) {
        text.append(report.searcher.value()).append(report.serving ? "+" : "-");
        for (const auto& held : report.held) {
            for (const auto number : { held.snapshot.indexVersion, held.snapshot.shardMap, held.range.first, held.range.last })
                text.append(std::to_string(number)).append(",");
        }
    }
    return XXH3_64bits(text.data(), text.size()) | 1;
}

} // namespace

search_service::search_service(asio::any_io_executor executor, cluster_agent& agent, metrics_registry& metrics)
    : m_executor(std::move(executor))
    , m_agent(agent)
    , m_metrics(metrics)
{
}

void search_service::handleBatch(const node_link_handle& link, const search_batch& batch)
{
    const auto deadline = deadlineOf(batch.budget);
    for (const auto& item : batch.items)
        submit(link, batch, item, deadline);
}

void search_service::submit(const node_link_handle& link, const search_batch& batch, const batch_item& item, monotonic_time deadline)
{
    const auto runtime = find(item.searcher);
    if (!runtime) {
        link->send(sub_request_reply { batch.query, item.ref, outcome::not_run, reason::not_owner, {}, {}, 0 });
        return;
    }
    const auto token = nextToken();
    const job_key key { link.get(), batch.query, item.ref };
    {
        const std::lock_guard lock(m_mutex);
        m_jobs[key] = { token, runtime };
    }
    searcher_job job;
    job.request.requestId = m_agent.self().value() + "-" + std::to_string(token.value());
    job.request.text = batch.text;
    job.request.limit = batch.limit;
    job.request.snapshot = batch.snapshot;
    job.deadline = deadline;
    job.hedge = item.hedge;
    job.priority = batch.priority;
    job.slowAfter = item.hedge ? microseconds { 0 } : microseconds { batch.slowAfterUs };
    job.onSlow = [link, query = batch.query, ref = item.ref] { link->send(slow_notice { query, ref }); };
    job.onFinished = [this, link, key, front = batch.front](const job_result& result) {
        const metric_labels labels { tenantOf(front), front.value(), std::string(toText(result.result)) };
        if (result.serviceTime.count() > 0)
            m_metrics.observe("limpet_service_seconds", labels, std::chrono::duration<double>(result.serviceTime).count());
        else
            m_metrics.add("limpet_refused_sub_requests_total", metric_labels { labels.tenant, labels.front, std::string(toText(result.why)) }, 1);
        {
            const std::lock_guard lock(m_mutex);
            m_jobs.erase(key);
        }
        link->send(sub_request_reply { key.query, key.ref, result.result, result.why, result.reply.from, result.reply.hits, result.serviceTime.count() });
    };
    runtime->submit(token, std::move(job));
}

// Returns the tenant of a front; empty if the document does not contain the front.
std::string search_service::tenantOf(const front_id& front) const
{
    const auto document = m_agent.document();
    const auto found = document->fronts.find(front);
    return found == document->fronts.end() ? std::string() : found->second.tenant.value();
}

void search_service::handleCancel(const node_link_handle& link, const cancel_message& message)
{
    for (const auto& ref : message.refs) {
        job_location location;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_jobs.find({ link.get(), message.query, ref });
            if (found == m_jobs.end())
                continue;
            location = found->second;
        }
        location.runtime->cancel(location.token);
    }
}

void search_service::handleLinkClosed(const node_link_handle& link)
{
    std::vector<job_location> locations;
    {
        const std::lock_guard lock(m_mutex);
        m_subscribers.erase(link);
        for (const auto& [key, location] : m_jobs) {
            if (key.link == link.get())
                locations.push_back(location);
        }
    }
    for (const auto& location : locations)
        location.runtime->cancel(location.token);
}

// Returns why this node may not send to the searcher now, or reason::none.
reason search_service::refusalReason(const searcher_spec& searcher) const
{
    const auto document = m_agent.document();
    if (!document->eligibleSearchers.contains(searcher.id))
        return reason::withdrawn;
    if (!m_agent.owns(searcher.id))
        return reason::not_owner;
    return m_agent.maySend(searcher.id, monotonic_clock::now()) ? reason::none : reason::right_stale;
}

void search_service::reconcile()
{
    const auto document = m_agent.document();
    std::vector<std::shared_ptr<searcher_runtime>> started;
    std::vector<std::shared_ptr<searcher_runtime>> changed;
    std::vector<std::shared_ptr<searcher_runtime>> ended;
    std::vector<std::shared_ptr<searcher_runtime>> returned;
    {
        const std::lock_guard lock(m_mutex);
        std::map<searcher_id, std::shared_ptr<searcher_runtime>> runtimesById;
        for (const auto& [id, front] : document->fronts) {
            auto& frontLatency = m_frontLatencies[id];
            if (!frontLatency)
                frontLatency = std::make_shared<front_latency>();
            for (const auto& searcher : front.searchers) {
                if (!m_agent.owns(searcher.id))
                    continue;
                const auto known = m_runtimes.find(searcher.id);
                if (known != m_runtimes.end() && known->second->spec().address == searcher.address) {
                    runtimesById[searcher.id] = known->second;
                    changed.push_back(known->second);
                    known->second->changeLimits(front);
                    const bool eligible = document->isEligible(searcher);
                    if (eligible && !std::exchange(m_wasEligible[searcher.id], eligible))
                        returned.push_back(known->second);
                    m_wasEligible[searcher.id] = eligible;
                    continue;
                }
                auto runtime = std::make_shared<searcher_runtime>(m_executor, front, searcher, frontLatency, [this, searcher] { return refusalReason(searcher); });
                m_wasEligible[searcher.id] = document->isEligible(searcher);
                runtimesById[searcher.id] = runtime;
                started.push_back(runtime);
            }
        }
        for (const auto& [id, runtime] : m_runtimes) {
            const auto kept = runtimesById.find(id);
            if (kept == runtimesById.end() || kept->second != runtime)
                ended.push_back(runtime);
        }
        m_runtimes = std::move(runtimesById);
        std::erase_if(m_endingRuntimes, [](const auto& runtime) { return runtime->openJobCount() == 0; });
        m_endingRuntimes.insert(m_endingRuntimes.end(), ended.begin(), ended.end());
    }
    for (const auto& runtime : started)
        runtime->start();
    for (const auto& runtime : returned)
        runtime->handleReturnToService();
    for (const auto& runtime : changed)
        runtime->refuseQueuedIfBlocked();
    for (const auto& runtime : ended)
        runtime->stop();
}

std::shared_ptr<searcher_runtime> search_service::find(const searcher_id& searcher) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runtimes.find(searcher);
    return found == m_runtimes.end() ? nullptr : found->second;
}

bool search_service::isReleased() const
{
    const std::lock_guard lock(m_mutex);
    const bool ended = std::all_of(m_endingRuntimes.begin(), m_endingRuntimes.end(), [](const auto& runtime) { return runtime->openJobCount() == 0; });
    return ended && std::all_of(m_runtimes.begin(), m_runtimes.end(), [&](const auto& entry) { return m_agent.owns(entry.first) || entry.second->openJobCount() == 0; });
}

bool search_service::isSettled() const
{
    const auto document = m_agent.document();
    const auto all = runtimes();
    return std::all_of(all.begin(), all.end(), [&](const auto& runtime) { return runtime->hasQueriedState() || !document->eligibleSearchers.contains(runtime->spec().id); });
}

std::size_t search_service::openJobCount() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t open = 0;
    for (const auto& [id, runtime] : m_runtimes)
        open += runtime->openJobCount();
    for (const auto& runtime : m_endingRuntimes)
        open += runtime->openJobCount();
    return open;
}

digest_reply search_service::digest() const
{
    digest_reply digest;
    digest.from = m_agent.self();
    digest.epoch = m_agent.epoch()->number;
    digest.revision = m_agent.document()->revision;
    digest.acceptsRequests = m_agent.rightIsFresh(monotonic_clock::now());
    for (const auto& runtime : runtimes())
        digest.searchers.push_back(runtime->report());
    digest.fingerprint = fingerprintOf(digest);
    return digest;
}

void search_service::subscribe(const node_link_handle& link, std::uint64_t known)
{
    {
        const std::lock_guard lock(m_mutex);
        m_subscribers.insert(link);
    }
    auto reply = digest();
    if (reply.fingerprint == known) {
        reply.unchanged = true;
        reply.searchers.clear();
    }
    link->send(reply);
}

void search_service::publishDigest()
{
    const auto newDigest = digest();
    std::set<node_link_handle> receivers;
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_publishedFingerprint, newDigest.fingerprint) == newDigest.fingerprint)
            return;
        receivers = m_subscribers;
    }
    for (const auto& link : receivers)
        link->send(newDigest);
}

std::vector<std::shared_ptr<searcher_runtime>> search_service::runtimes() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<searcher_runtime>> result;
    for (const auto& [id, runtime] : m_runtimes)
        result.push_back(runtime);
    return result;
}

} // namespace limpetpier
