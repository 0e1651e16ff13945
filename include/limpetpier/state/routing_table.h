#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"

namespace limpetpier {

using service_id = text_id<struct service_tag>;
using table_version = number_id<struct table_version_tag>;

// What may be done again with a request whose outcome is unknown.
enum class retry_policy : std::uint8_t {
    safe, // may run more than once
    at_most_once, // sent again only after proof that it did not run
};

struct weighted_service {
    service_id service;
    double weight = 1;
};

// One rule that sends requests of a host and path prefix to services.
struct route {
    std::string name;
    std::string host; // lower case, without port
    std::string prefix; // begins and ends with a slash
    retry_policy retryPolicy = retry_policy::at_most_once;
    milliseconds timeout { 1000 }; // longest time until the final answer
    milliseconds latencyObjective { 250 }; // time within which an answer earns full credit
    std::uint32_t priority = 0; // 0 is the highest
    std::uint32_t maxAttempts = 1; // searchers that one request, or one part of it, may run on
    std::vector<weighted_service> trafficSplit; // single-searcher routes: one or more services
    std::vector<service_id> shards; // queries over many shards; empty otherwise
    std::size_t topRecords = 0;
    double minCoverage = 1; // share of the shards that an answer must hold

    [[nodiscard]] bool isQuery() const { return !shards.empty(); }
};

// Bounds of one service that count over all callers.
struct service_limits {
    std::string healthPath = "/";
    std::uint32_t connections = 1; // of one searcher
    milliseconds warmUp { 0 };
    double coldRequestsPerSecond = 0; // requests that one cold searcher bears
};

// Bounds of what a client may send.
struct client_limits {
    std::size_t headerBytes = 16U << 10;
    std::size_t bodyBytes = 1U << 20;
    milliseconds headerTimeout { 5000 };
    milliseconds idleTimeout { 60'000 };
};

// One version of the operator's configuration. Immutable once built; a request keeps the version that it began with.
class routing_table {
public:
    routing_table() = default;
    routing_table(table_version version, std::vector<route> routes, std::map<service_id, service_limits> services, client_limits limits);

    [[nodiscard]] table_version version() const { return m_version; }
    [[nodiscard]] const client_limits& limits() const { return m_limits; }
    [[nodiscard]] const std::vector<route>& routes() const { return m_routes; }

    // Route of a host and path: the longest prefix that begins the path; null if none does. The host may have a port,
    // the path a query.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

    // Null for a service that this version does not name.
    [[nodiscard]] const service_limits* service(const service_id& service) const;

private:
    table_version m_version;
    std::vector<route> m_routes; // by host, longest prefix first
    std::map<service_id, service_limits> m_services;
    client_limits m_limits;
};

} // namespace limpetpier
