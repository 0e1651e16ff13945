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

// Serves the sub-requests that fronts send for searchers which this node owns.
//
// Its table's mutex comes before cluster_agent's in the lock order.
class search_service {
public:
    search_service(asio::any_io_executor executor, cluster_agent& agent, metrics_registry& metrics);

    void handleBatch(const node_link_handle& link, const search_batch& batch);
    void handleCancel(const node_link_handle& link, const cancel_message& message);

    // A link closed: nobody waits for its searches any more.
    void handleLinkClosed(const node_link_handle& link);

    // Creates and ends runtimes after a change of epoch or document.
    void reconcile();

    // The runtime of an owned searcher, or null.
    [[nodiscard]] std::shared_ptr<searcher_runtime> find(const searcher_id& searcher) const;

    // True when no job is left for a searcher that this node does not own any more.
    [[nodiscard]] bool isReleased() const;

    // True when every owned searcher that takes work is active and has been asked what it holds.
    [[nodiscard]] bool isSettled() const;

    [[nodiscard]] std::size_t openJobCount() const;

    // Answers a front with the digest, or with its fingerprint if the front knows it, and keeps it informed.
    void subscribe(const node_link_handle& link, std::uint64_t known);

    // Tells the subscribed fronts if the digest has changed.
    void publishDigest();

    [[nodiscard]] std::vector<std::shared_ptr<searcher_runtime>> runtimes() const;

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
    std::vector<std::shared_ptr<searcher_runtime>> m_endingRuntimes; // no longer owned, jobs still open
    std::map<front_id, std::shared_ptr<front_latency>> m_frontLatencies;
    std::map<job_key, job_location> m_jobs;
    std::map<searcher_id, bool> m_wasEligible;
    std::set<node_link_handle> m_subscribers;
    std::uint64_t m_publishedFingerprint = 0;
};

// Remaining time of a request that arrives now; the wall time bounds what waited in a paused process.
monotonic_time deadlineOf(const time_budget& budget);

} // namespace limpetpier
