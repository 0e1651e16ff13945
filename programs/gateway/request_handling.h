#pragma once

#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "limpetpier/coordination/gather_policy.h"
#include "limpetpier/coordination/latency_histogram.h"
#include "limpetpier/transport/client_listener.h"
#include "searcher_fleet.h"

namespace limpetpier {

// What a route's sends and answers have taken lately.
struct route_statistics {
    latency_histogram replyTimes;
    answer_delay answerDelay; // of queries over many shards

    // Time without a reply after which a send is hedged.
    [[nodiscard]] microseconds hedgeDelay(const route& route) const;

    // Time of an ordinary reply.
    [[nodiscard]] microseconds medianReplyTime(const route& route) const;
};

// How a request ended, for the log and the metrics.
struct request_report {
    std::string requestId;
    std::string route;
    table_version tableVersion; // in force when the request came
    std::string outcome;
    unsigned status = 0;
    milliseconds elapsed { 0 };
    std::uint32_t sends = 0;
    std::uint32_t hedges = 0;
    std::uint32_t notExecutedSends = 0; // sends that a searcher did not run
    std::map<std::string, std::uint32_t> failedSends; // by how they ended
    std::map<std::string, std::uint32_t> extraSends; // by why they were sent
    std::size_t missingParts = 0;
    std::size_t parts = 0;
};

// What the runs of one process share.
struct request_handler_context {
    asio::any_io_executor executor;
    const gateway_protocol& protocol;
    searcher_fleet& fleet;
    std::function<void(const request_report&)> report;
    std::size_t activeRequests = 0;
};

// A request as it enters a run.
struct accepted_request {
    std::shared_ptr<const client_request> clientRequest;
    std::shared_ptr<const routing_table> routingTable; // keeps the route alive
    const route* matchedRoute = nullptr;
    route_statistics* statistics = nullptr;
    monotonic_time arrivedAt;
    monotonic_time deadline; // the client's time or the route's, whichever ends first
    client_call clientCall;
};

// Sends a request to one searcher of its service and passes on the answer.
void startSingleSearcherRequest(request_handler_context& context, accepted_request request, const service_id& service);

// Sends a query to one searcher of each shard and merges what comes in.
void startQuery(request_handler_context& context, accepted_request request);

} // namespace limpetpier
