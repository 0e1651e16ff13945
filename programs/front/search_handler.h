#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>

#include "running_query.h"

namespace limpetpier {

// Answers searches: admission, pinning, fan-out to owners, merge, coverage, deadline.
//
// Each query runs on the strand of its caller's connection. The mutexes of this class are leaves.
class search_handler {
public:
    search_handler(cluster_view& view, link_directory& links);

    awaitable<search_answer> answer(front_route_handle route, search_request request);

    // Messages and broken links from owners.
    void handleReply(const sub_request_reply& reply);
    void handleSlowNotice(const slow_notice& notice);
    void handleLinkClosed(const std::string& address);

    // An owner gives no sign of life although its link is open.
    void handleUnresponsive(const std::string& address);

    // Addresses of owners with open sub-requests.
    [[nodiscard]] std::set<std::string> ownersOfOpenQueries() const;

    [[nodiscard]] std::size_t openQueries() const;

private:
    using query_handle = std::shared_ptr<running_query>;

    std::shared_ptr<front_policy> policyOf(const front_spec& front);
    awaitable<search_answer> runQuery(front_route_handle route, search_request request, std::shared_ptr<front_policy> policy, monotonic_time startedAt);
    pinned_snapshot orderReplicas(pinned_snapshot pinned, front_policy& policy);
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
