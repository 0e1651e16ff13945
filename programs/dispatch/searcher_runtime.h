#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "connection_pool.h"
#include "limpetpier/coordination/searcher_gate.h"
#include "limpetpier/protocol/target_protocol.h"
#include "limpetpier/state/operator_document.h"

namespace limpetpier {

// How a job ended.
struct job_result {
    outcome result = outcome::outcome_unknown;
    reason why = reason::none;
    target_reply reply;
    microseconds serviceTime { 0 };
};

// A request for one searcher, with what to do when it ends.
struct searcher_job {
    target_request request;
    monotonic_time deadline;
    bool hedge = false;
    std::uint32_t priority = 0;
    microseconds slowAfter { 0 }; // 0: no notice wanted
    std::function<void(const job_result&)> onFinished; // called exactly once
    std::function<void()> onSlow;
};

// Usual service time of the warm searchers of one front, shared by their runtimes. Its mutex is a leaf.
class front_latency {
public:
    void recordServiceTime(microseconds serviceTime);
    [[nodiscard]] std::optional<microseconds> medianServiceTime() const;

private:
    mutable std::mutex m_mutex;
    latency_histogram m_serviceTimes;
};

// Owner's side of one searcher: its gate, its connections and its condition.
//
// All state belongs to one strand; the public functions may be called from any thread.
class searcher_runtime : public std::enable_shared_from_this<searcher_runtime> {
public:
    // maySend is asked right before every send; false means that nothing may be sent at this moment.
    searcher_runtime(asio::any_io_executor executor, const front_spec& front, searcher_spec searcher, std::shared_ptr<front_latency> frontLatency, std::function<reason()> refusalReason);
    ~searcher_runtime();
    searcher_runtime(const searcher_runtime&) = delete;
    searcher_runtime& operator=(const searcher_runtime&) = delete;

    void start();

    // Ends maintenance; queued jobs are refused and running ones finish.
    void stop();

    // Queues a job and returns its token through the job's own callbacks.
    void submit(gate_token token, searcher_job job);

    // Withdraws a queued job, or asks the searcher to stop a running one.
    void cancel(gate_token token);

    // Refuses queued jobs when the node may not send any more.
    void refuseQueuedIfBlocked();

    // The document states other slots, connections or cold allowance.
    void changeLimits(const front_spec& front);

    // The searcher comes back into service after operators took it out.
    void handleReturnToService();

    [[nodiscard]] searcher_report report() const;
    [[nodiscard]] ramp_state rampState() const;

    // True once the searcher was asked what it holds, whether or not it answered.
    [[nodiscard]] bool hasQueriedState() const { return m_hasQueriedState; }

    // Jobs queued or running.
    [[nodiscard]] std::size_t openJobCount() const;

    [[nodiscard]] const searcher_spec& spec() const { return m_spec; }

private:
    struct open_job {
        explicit open_job(searcher_job submitted)
            : job(std::move(submitted))
        {
        }

        searcher_job job;
        bool cancelRequested = false;
        bool mayResend = false; // the search may be sent again on another connection
        std::shared_ptr<http_connection> connection;
    };

    awaitable<void> maintain(std::shared_ptr<searcher_runtime> self);
    awaitable<void> refreshState();
    awaitable<void> runJob(gated_request item, std::shared_ptr<searcher_runtime> self);
    awaitable<void> notifyIfSlow(gate_token token, microseconds after, std::shared_ptr<searcher_runtime> self);
    awaitable<void> checkForStall(gate_token token, std::shared_ptr<searcher_runtime> self);
    awaitable<void> sendCancel(std::string requestId, std::shared_ptr<searcher_runtime> self);
    awaitable<bool> respondsOn(std::shared_ptr<http_connection> connection);
    awaitable<exchange_result> exchangeWithResend(gate_token token, std::shared_ptr<http_connection>& connection, target_request& request, monotonic_time deadline);
    awaitable<void> replaceSilentConnections(std::shared_ptr<http_connection> newConnection);
    void startQueuedJobs();
    void finishJob(gate_token token, const job_result& result);
    void refuseQueued(reason why);
    void recordBootId(boot_id boot);
    void markUnreachable();
    void closeRunningSearches();
    [[nodiscard]] milliseconds stallDelay() const;
    void removeHeldSnapshot(snapshot_id snapshot);
    void updateReport();
    job_result evaluateExchange(const target_request& request, const exchange_result& exchanged, slot_outcome& slot);

    asio::any_io_executor m_executor; // a strand
    searcher_spec m_spec;
    std::shared_ptr<front_latency> m_frontLatency;
    std::function<reason()> m_refusalReason;
    searcher_gate m_gate;
    std::map<gate_token, open_job> m_jobs;
    connection_pool m_connections;
    boot_id m_boot;
    bool m_reachable = false;
    bool m_draining = false;
    bool m_stopped = false;
    std::uint32_t m_failedRefreshes = 0;
    std::atomic<bool> m_hasQueriedState { false };
    bool m_checkingStall = false;
    std::vector<held_snapshot> m_heldSnapshots;
    ramp_state m_lastLoggedState = ramp_state::probing;

    mutable std::mutex m_reportMutex; // leaf in the lock order
    searcher_report m_report;
    std::size_t m_openJobCount = 0;
    ramp_state m_reportedState = ramp_state::probing;
};

} // namespace limpetpier
