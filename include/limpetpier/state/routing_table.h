#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"
#include "limpetpier/state/workspace.h"

namespace limpetpier {

using service_id = text_id<struct service_tag>;
using table_version = number_id<struct table_version_tag>;

// Whether a request whose outcome is unknown may be retried.
enum class retry_policy : std::uint8_t {
    safe, // idempotent; may run more than once
    at_most_once, // retried only if it is known not to have run
};

// A service and its relative share of a route's traffic.
struct weighted_service {
    service_id service;
    double weight = 1;
};

// A rule that maps requests with a host and path prefix to services.
struct route {
    std::string name;
    std::string host; // lower case, without a port
    std::string prefix; // begins and ends with a slash
    retry_policy retryPolicy = retry_policy::at_most_once;
    milliseconds timeout { 1000 }; // maximum time until the final response
    milliseconds latencyObjective { 250 }; // target for the response time
    std::uint32_t priority = 0; // 0 is the highest
    std::uint32_t maxAttempts = 1; // maximum number of searchers that a request, or one part of it, may run on
    std::vector<weighted_service> trafficSplit; // services of a single-searcher route; empty for queries
    std::vector<service_id> shards; // services that a query fans out to; empty for single-searcher routes
    std::size_t topRecords = 0; // maximum number of records in the merged answer to a query
    double minCoverage = 1; // share of the shards that an answer must include, from 0 to 1
    bool isPublic = false; // needs no key; without effect if the table has no workspaces

    [[nodiscard]] bool isQuery() const { return !shards.empty(); }
};

// Limits of a service, shared by all of its callers.
struct service_limits {
    std::string healthPath = "/";
    std::uint32_t connections = 1; // per searcher
    milliseconds warmUp { 0 }; // warm-up time of a started searcher
    double coldRequestsPerSecond = 0; // limit for each cold searcher
};

// Limits on client requests and connections.
struct client_limits {
    std::size_t headerBytes = 16U << 10;
    std::size_t bodyBytes = 1U << 20;
    milliseconds headerTimeout { 5000 };
    milliseconds idleTimeout { 60'000 };
};

// One version of the operator's configuration. Immutable; each request uses the version that was current at its start.
class routing_table {
public:
    routing_table() = default;
    routing_table(table_version version, std::vector<route> routes, std::map<service_id, service_limits> services, client_limits limits, std::optional<workspace_directory> workspaces = {});

    [[nodiscard]] table_version version() const { return m_version; }
    [[nodiscard]] const client_limits& limits() const { return m_limits; }
    [[nodiscard]] const std::vector<route>& routes() const { return m_routes; }

    // Returns the route of the host with the longest prefix of the path, or null. The host may include a port and the
    // path may include a query string; both are ignored.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

    // Returns the limits of a service, or null if this version does not define it.
    [[nodiscard]] const service_limits* service(const service_id& service) const;

    // Returns whether this version defines workspaces, even if none. Requests then need a key unless their route is
    // public.
    [[nodiscard]] bool hasWorkspaces() const { return m_workspaces.has_value(); }

    // Returns the workspace that the key names, or null if there is none.
    [[nodiscard]] const limpetpier::workspace* findWorkspace(const key_digest& key) const { return m_workspaces ? m_workspaces->find(key) : nullptr; }

    // Returns the workspace with this name, or null if this version does not define it.
    [[nodiscard]] const limpetpier::workspace* workspace(const workspace_id& id) const { return m_workspaces ? m_workspaces->find(id) : nullptr; }

    [[nodiscard]] const std::optional<workspace_directory>& workspaces() const { return m_workspaces; }

private:
    table_version m_version;
    std::vector<route> m_routes; // sorted by host, then by descending prefix length
    std::map<service_id, service_limits> m_services;
    client_limits m_limits;
    std::optional<workspace_directory> m_workspaces;
};

} // namespace limpetpier
