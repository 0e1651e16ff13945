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

// What the queries of one front share. Its mutex is a leaf.
struct front_policy {
    explicit front_policy(double budget);

    const double hedgeBudget; // a change of it in the document starts a new policy
    std::mutex mutex;
    hedge_policy hedges;
    ratio_budget retries;
    concurrency_limit admission;
    std::map<searcher_id, std::uint32_t> outstanding;
};

// One pinned run of one query: carries out what its plan decides.
//
// The post functions may be called from any thread; everything else runs on the query's strand.
class running_query : public std::enable_shared_from_this<running_query> {
public:
    running_query(asio::any_io_executor executor, query_number number, const front_route_handle& route, const search_request& request, pinned_snapshot pinned, std::shared_ptr<front_policy> policy, link_directory& links, monotonic_time deadline);

    // Runs until every piece is settled or the deadline has come.
    awaitable<void> run();

    void postReply(const sub_request_reply& reply);
    void postSlowAttempt(attempt_ref ref);

    // Every open try that went over the link has no answer to come.
    void postLinkClosed(const std::string& address);

    // The owner at the address gives no sign of life.
    void postUnresponsive(const std::string& address);

    // Addresses that the query was routed to.
    [[nodiscard]] const front_route& route() const { return *m_route; }

    [[nodiscard]] const fan_out_plan& plan() const { return m_plan; }

private:
    struct place {
        searcher_id searcher;
        std::string address;
    };

    void onReply(const sub_request_reply& reply);

    // Lets the plan decide under the front's lock, then does what it decided.
    template <typename Decision>
    void act(const Decision& decide);

    [[nodiscard]] std::vector<attempt_ref> waitingAt(const std::string& address) const;
    void sendAll(const std::vector<sub_request>& sends, microseconds slowAfter);
    void sendLater(const sub_request& send, const std::string& address, microseconds slowAfter);
    void sendBatch(const std::string& address, search_batch& batch, microseconds slowAfter);
    void sendCancels(const std::vector<sub_request_cancellation>& cancels);

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

} // namespace limpetpier
