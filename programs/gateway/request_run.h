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
struct route_record {
    latency_histogram replies;
    answer_delay answers; // of queries over many shards

    // Time without a reply after which a send is hedged.
    [[nodiscard]] microseconds hedgeAfter(const route& route) const;

    // Time of an ordinary reply.
    [[nodiscard]] microseconds ordinary(const route& route) const;
};

// How a request ended, for the log and the metrics.
struct run_report {
    std::string requestId;
    std::string route;
    table_version table; // in force when the request came
    std::string outcome;
    unsigned status = 0;
    milliseconds elapsed { 0 };
    std::uint32_t sends = 0;
    std::uint32_t hedges = 0;
    std::uint32_t refusals = 0; // sends that a searcher did not run
    std::map<std::string, std::uint32_t> failedSends; // by how they ended
    std::map<std::string, std::uint32_t> extraSends; // by why they were sent
    std::size_t missingParts = 0;
    std::size_t parts = 0;
};

// What the runs of one process share.
struct run_context {
    asio::any_io_executor executor;
    const gateway_protocol& protocol;
    searcher_fleet& fleet;
    std::function<void(const run_report&)> report;
    std::size_t running = 0;
};

// A request as it enters a run.
struct accepted_request {
    std::shared_ptr<const client_request> client;
    std::shared_ptr<const routing_table> table; // keeps the route alive
    const route* rule = nullptr;
    route_record* record = nullptr;
    monotonic_time arrived;
    monotonic_time answerBy; // the client's time or the route's, whichever ends first
    client_call call;
};

// Sends a request to one searcher of its service and passes on the answer.
void startSingleRun(run_context& context, accepted_request request, const service_id& service);

// Sends a query to one searcher of each shard and merges what comes in.
void startGatherRun(run_context& context, accepted_request request);

} // namespace limpetpier
