#pragma once

#include <memory>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "limpetpier/coordination/client_wait_estimate.h"
#include "limpetpier/coordination/gather_policy.h"
#include "limpetpier/coordination/latency_histogram.h"
#include "limpetpier/state/workspace.h"
#include "limpetpier/transport/client_listener.h"
#include "searcher_fleet.h"

namespace limpetpier {

// Recent latencies of a route.
struct route_statistics {
    latency_histogram replyTimes;
    answer_delay answerDelay; // only of queries over many shards
    client_wait_estimate clientWait;

    // Returns the time without a reply after which a send is hedged. It never exceeds half of the route's latency
    // objective.
    [[nodiscard]] microseconds hedgeDelay(const route& route) const;

    // Returns the median reply time, or an eighth of the latency objective while there are no samples.
    [[nodiscard]] microseconds medianReplyTime(const route& route) const;
};

// Result of one client request, for the log and the metrics.
struct request_report {
    std::string requestId;
    std::string route;
    table_version tableVersion; // of the routing table in force when the request arrived
    std::string outcome; // as logged, such as "answered"
    unsigned status = 0; // HTTP status; 0 if the client disconnected
    milliseconds elapsed { 0 };
    std::uint32_t sends = 0; // including hedges and retries
    std::uint32_t hedges = 0;
    std::uint32_t notExecutedSends = 0; // sends that were never written or that the searcher rejected without execution
    std::map<std::string, std::uint32_t> failedSends; // by kind of failure
    std::map<std::string, std::uint32_t> extraSends; // hedges and retries by reason
    std::size_t missingParts = 0; // shards without a result in the answer
    std::size_t parts = 0; // shards of a query; 0 for other requests
    service_id admittedTo {}; // as in accepted_request
    monotonic_time admittedAt {}; // as in accepted_request
    bool lackedSearchers = false; // failed because too few searchers could be sent to or replied
};

class gateway_request_handler;

// State that all request handlers of one process share.
struct request_handler_context {
    asio::any_io_executor executor;
    const gateway_protocol& protocol;
    searcher_fleet& fleet;
    std::function<void(const request_report&)> report; // called once for each request, when it ends
    std::set<gateway_request_handler*> handlers {}; // those that exist; each adds and removes itself
};

// A client request with its matched route, as passed to a handler.
struct accepted_request {
    std::shared_ptr<const client_request> clientRequest;
    std::shared_ptr<const routing_table> routingTable; // owns matchedRoute
    const route* matchedRoute = nullptr;
    route_statistics* statistics = nullptr;
    monotonic_time arrivedAt;
    milliseconds clientWaited; // before the request arrived, as estimated
    monotonic_time deadline; // the earlier of the client's and the route's deadline
    client_call clientCall;
    workspace_id workspace {}; // named by the client's key; empty if the configuration has no workspaces or the route needs no key
    monotonic_time admittedAt {}; // if its admission was decided
    service_id admittedTo {}; // names the requests that it competes with; empty if its admission was not decided
    std::uint32_t priority = 0; // of the workspace or, if it has none, of the route; 0 is the highest
};

// Sends a request to one searcher of the service and forwards its reply. Hedges and retries it on other searchers where
// the route's repeat rule permits.
void startSingleSearcherRequest(request_handler_context& context, accepted_request request, const service_id& service);

// Sends a query to one searcher of each shard of its route and merges the replies into one answer.
void startQuery(request_handler_context& context, accepted_request request);

} // namespace limpetpier
