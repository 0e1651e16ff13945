#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include "cluster_agent.h"
#include "limpetpier/transport/metrics.h"
#include "searcher_runtime.h"

namespace limpetpier {

// Runs the sub-requests that fronts send for searchers owned by this node, with one searcher_runtime for each searcher.
//
// Its mutex comes before that of cluster_agent in the lock order. The public functions may be called from any thread.
class search_service {
public:
    search_service(asio::any_io_executor executor, cluster_agent& agent, metrics_registry& metrics);

    // Submits the sub-requests of a batch; each is answered over the link with a sub_request_reply.
    void handleBatch(const node_link_handle& link, const search_batch& batch);

    // Cancels sub-requests of a query that came over the same link; ignores unknown ones.
    void handleCancel(const node_link_handle& link, const cancel_message& message);

    // Cancels the searches that came over a closed link, and removes its digest subscription.
    void handleLinkClosed(const node_link_handle& link);

    // Starts, updates and stops runtimes after a change of epoch or document.
    void reconcile();

    // Returns the runtime of an owned searcher, or null.
    [[nodiscard]] std::shared_ptr<searcher_runtime> find(const searcher_id& searcher) const;

    // Returns true when no job remains for a searcher that this node no longer owns.
    [[nodiscard]] bool isReleased() const;

    // Returns true when the state of every owned and eligible searcher has been queried at least once. Pending searchers
    // are not queried.
    [[nodiscard]] bool isSettled() const;

    // Returns the number of queued and running jobs of all runtimes.
    [[nodiscard]] std::size_t openJobCount() const;

    // Sends the digest to a front, without its contents if their fingerprint equals known, and subscribes the front to
    // changes.
    void subscribe(const node_link_handle& link, std::uint64_t known);

    // Sends the digest to the subscribed fronts if it has changed since the last call.
    void publishDigest();

    // Returns the runtimes of the owned searchers.
    [[nodiscard]] std::vector<std::shared_ptr<searcher_runtime>> runtimes() const;

    // Returns a token that is unique in this process.
    gate_token nextToken() { return gate_token { ++m_nextToken }; }

private:
    struct job_key {
        const node_link* link = nullptr;
        query_number query;
        attempt_ref ref;

        auto operator<=>(const job_key&) const = default;
    };

    struct job_location {
        gate_token token;
        std::shared_ptr<searcher_runtime> runtime;
    };

    void submit(const node_link_handle& link, const search_batch& batch, const batch_item& item, monotonic_time deadline);
    [[nodiscard]] digest_reply digest() const;
    [[nodiscard]] std::string tenantOf(const front_id& front) const;
    reason refusalReason(const searcher_spec& searcher) const;

    asio::any_io_executor m_executor;
    cluster_agent& m_agent;
    metrics_registry& m_metrics;
    std::atomic<std::uint64_t> m_nextToken { 0 };

    mutable std::mutex m_mutex;
    std::map<searcher_id, std::shared_ptr<searcher_runtime>> m_runtimes;
    std::vector<std::shared_ptr<searcher_runtime>> m_endingRuntimes; // no longer owned, with open jobs
    std::map<front_id, std::shared_ptr<front_latency>> m_frontLatencies;
    std::map<job_key, job_location> m_jobs;
    std::map<searcher_id, bool> m_wasEligible; // at the last reconcile()
    std::set<node_link_handle> m_subscribers;
    std::uint64_t m_publishedFingerprint = 0;
};

// Returns the deadline of a request that arrives now with this budget. Subtracts the time since the request was sent, by
// the wall clocks, less maxClockSkew: a message may have waited in a process that was paused.
monotonic_time deadlineOf(const time_budget& budget);

} // namespace limpetpier
