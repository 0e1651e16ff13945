#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>

#include "cluster_view.h"
#include "limpetpier/coordination/admission.h"
#include "limpetpier/coordination/fan_out_plan.h"
#include "limpetpier/protocol/caller_protocol.h"

namespace limpetpier {

// Hedging, retry and admission limits that the queries of one front share, and their open sub-requests. Its mutex is a
// leaf in the lock order and guards all members but hedgeBudget.
struct front_policy {
    explicit front_policy(double budget);

    const double hedgeBudget; // a changed value in the document creates a new front_policy
    std::mutex mutex;
    hedge_policy hedges;
    ratio_budget retries;
    concurrency_limit admission;
    std::map<searcher_id, std::uint32_t> outstanding; // open sub-requests of each searcher
};

// Runs one query on one pinned snapshot: sends the sub-requests and cancellations of its plan.
//
// The post functions may be called from any thread; everything else runs on the query's strand. The request must outlive
// run().
class running_query : public std::enable_shared_from_this<running_query> {
public:
    running_query(asio::any_io_executor executor, query_number number, const front_route_handle& route, const search_request& request, pinned_snapshot pinned, std::shared_ptr<front_policy> policy, link_directory& links, monotonic_time deadline);

    // Runs until every piece is answered or has failed, or until the deadline.
    awaitable<void> run();

    // Handles the reply to a sub-request.
    void postReply(const sub_request_reply& reply);
    // Handles an attempt that exceeded the hedging threshold.
    void postSlowAttempt(attempt_ref ref);

    // Ends every open attempt at the address with outcome_unknown and the reason link_lost.
    void postLinkClosed(const std::string& address);

    // Sends the open attempts at an unresponsive owner to other replicas, within the retry budget.
    void postUnresponsive(const std::string& address);

    // The route that the query uses.
    [[nodiscard]] const front_route& route() const { return *m_route; }

    [[nodiscard]] const fan_out_plan& plan() const { return m_plan; }

private:
    struct attempt_location {
        searcher_id searcher;
        std::string address;
    };

    void onReply(const sub_request_reply& reply);

    // Calls decide, which returns sub-requests, under the lock of the front_policy; then sends them and the
    // cancellations.
    template <typename Decision>
    void applyDecision(const Decision& decide);

    [[nodiscard]] std::vector<attempt_ref> openAttemptsAt(const std::string& address) const;
    void sendAll(const std::vector<sub_request>& sends, microseconds slowAfter);
    void sendDelayed(const sub_request& send, const std::string& address, microseconds slowAfter);
    void sendBatch(const std::string& address, search_batch& batch, microseconds slowAfter);
    void sendCancels(const std::vector<sub_request_cancellation>& cancels);

    asio::steady_timer m_completionTimer;
    asio::any_io_executor m_executor;
    query_number m_number;
    front_route_handle m_route;
    const search_request& m_request;
    std::shared_ptr<front_policy> m_policy;
    fan_out_plan m_plan;
    link_directory& m_links;
    monotonic_time m_deadline;
    std::map<attempt_ref, attempt_location> m_openAttempts; // attempts without a reply
    bool m_ended = false;
};

} // namespace limpetpier
