#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>

#include "running_query.h"

namespace limpetpier {

// Answers searches: admits or sheds the query, pins a snapshot, sends sub-requests to the owners, merges the replies and
// checks coverage, all within the deadline.
//
// Each query runs on the strand of its caller's connection. The mutexes of this class are leaves in the lock order.
class search_handler {
public:
    search_handler(cluster_view& view, link_directory& links);

    // Runs a search. A query that is not admitted is answered with not_run and the reason overloaded.
    awaitable<search_answer> answer(front_route_handle route, search_request request);

    // Pass messages of owners and closed links to the queries concerned. May be called from any thread.
    void handleReply(const sub_request_reply& reply);
    void handleSlowNotice(const slow_notice& notice);
    void handleLinkClosed(const std::string& address);

    // An owner doesn't respond although its link is open: tries its sub-requests at other replicas.
    void handleUnresponsive(const std::string& address);

    // Addresses of all owners in the routes of open queries.
    [[nodiscard]] std::set<std::string> ownersOfOpenQueries() const;

    // Number of queries that are running.
    [[nodiscard]] std::size_t openQueries() const;

private:
    using query_handle = std::shared_ptr<running_query>;

    std::shared_ptr<front_policy> policyOf(const front_spec& front);
    awaitable<search_answer> runQuery(front_route_handle route, search_request request, std::shared_ptr<front_policy> policy, monotonic_time startedAt);
    pinned_snapshot sortReplicasByLoad(pinned_snapshot pinned, front_policy& policy);
    [[nodiscard]] query_handle find(query_number query) const;
    [[nodiscard]] std::vector<query_handle> queries() const;

    cluster_view& m_view;
    link_directory& m_links;
    std::atomic<std::uint64_t> m_nextQuery;

    mutable std::mutex m_mutex;
    std::map<query_number, query_handle> m_queries;
    std::map<front_id, std::shared_ptr<front_policy>> m_policies;
};

} // namespace limpetpier
