#pragma once

#include <optional>

#include "limpetpier/state/routing_table.h"

namespace limpetpier {

// Whether a request may use its route, and for which workspace it is made.
struct caller_access {
    bool isAllowed = false;
    const workspace* caller = nullptr; // owned by the routing table; null if the request names no workspace
};

// Checks the key of a request against the workspaces of the table. A key that names no workspace is rejected on public
// routes as well, where a request without one is allowed. Without workspaces every request is allowed.
caller_access checkAccess(const routing_table& table, const route& route, const std::optional<key_digest>& key);

// Returns the priority of a request: that of its workspace or, if it has none, of the route.
std::uint32_t requestPriority(const route& route, const workspace* caller);

} // namespace limpetpier
