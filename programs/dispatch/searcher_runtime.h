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

// Result of a searcher_job.
struct job_result {
    outcome result = outcome::outcome_unknown;
    reason why = reason::none;
    target_reply reply;
    microseconds serviceTime { 0 }; // duration of the exchange with the searcher; 0 if there was none
};

// Request to one searcher, with the callbacks for its progress. The callbacks run on the strand of the runtime.
struct searcher_job {
    target_request request;
    monotonic_time deadline;
    bool hedge = false;
    std::uint32_t priority = 0;
    microseconds slowAfter { 0 }; // service time after which onSlow is called; 0: never
    std::function<void(const job_result&)> onFinished; // called exactly once
    std::function<void()> onSlow; // called at most once, while the job runs
};

// Median service time of the requests to the searchers of one front, shared by their runtimes. Thread-safe; its mutex is
// a leaf in the lock order.
class front_latency {
public:
    // Adds the service time of a request with a complete reply.
    void recordServiceTime(microseconds serviceTime);

    // Returns the median, or nothing before it is known.
    [[nodiscard]] std::optional<microseconds> medianServiceTime() const;

private:
    mutable std::mutex m_mutex;
    latency_histogram m_serviceTimes;
};

// Sends an owner's jobs to one searcher and monitors the searcher's state.
//
// Jobs wait in a searcher_gate for a slot. The runtime queries the searcher's state at a fixed interval, and detects
// connections that have gone silent: if a request takes much longer than usual, it queries the state on another
// connection.
//
// All state belongs to one strand; the public functions may be called from any thread.
class searcher_runtime : public std::enable_shared_from_this<searcher_runtime> {
public:
    // refusalReason is called immediately before every send, from the strand; any value but reason::none forbids the
    // send and becomes the reason of the refused job.
    searcher_runtime(asio::any_io_executor executor, const front_spec& front, searcher_spec searcher, std::shared_ptr<front_latency> frontLatency, std::function<reason()> refusalReason);
    ~searcher_runtime();
    searcher_runtime(const searcher_runtime&) = delete;
    searcher_runtime& operator=(const searcher_runtime&) = delete;

    // Starts to query the searcher's state.
    void start();

    // Refuses queued jobs and all later ones; running jobs finish. The runtime cannot be started again.
    void stop();

    // Queues a job under a token that must be unique. A job that cannot be queued ends with not_run and a reason.
    void submit(gate_token token, searcher_job job);

    // Ends a queued job, or sends a cancellation to the searcher for a running one. Ignores unknown tokens.
    void cancel(gate_token token);

    // Refuses the queued jobs if refusalReason now forbids sending.
    void refuseQueuedIfBlocked();

    // Applies the slots, connections and cold allowance of a changed document.
    void changeLimits(const front_spec& front);

    // Notes that operators have put the searcher back into service, which resets the gate to one request at a time.
    void handleReturnToService();

    // Returns what the fronts are told about the searcher: whether it serves requests, and its snapshots.
    [[nodiscard]] searcher_report report() const;

    // Returns the state of the gate's cold ramp.
    [[nodiscard]] ramp_state rampState() const;

    // Returns true once the searcher's state has been queried, whether or not it replied.
    [[nodiscard]] bool hasQueriedState() const { return m_hasQueriedState; }

    // Returns the number of queued and running jobs.
    [[nodiscard]] std::size_t openJobCount() const;

    // Returns the searcher's id and address as given at construction.
    [[nodiscard]] const searcher_spec& spec() const { return m_spec; }

private:
    struct open_job {
        explicit open_job(searcher_job submitted)
            : job(std::move(submitted))
        {
        }

        searcher_job job;
        bool cancelRequested = false;
        bool mayResend = false; // the search was cancelled at the target because its connection went silent
        std::shared_ptr<http_connection> connection; // null until the request is sent
    };

    awaitable<void> maintain(std::shared_ptr<searcher_runtime> self);
    awaitable<void> refreshState();
    awaitable<void> runJob(gated_request item, std::shared_ptr<searcher_runtime> self);
    awaitable<void> notifyIfSlow(gate_token token, microseconds delay, std::shared_ptr<searcher_runtime> self);
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
