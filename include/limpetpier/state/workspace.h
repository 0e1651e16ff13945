#pragma once

#include <cstdint>
#include <optional>

#include "limpetpier/state/ids.h"

namespace limpetpier {

using workspace_id = text_id<struct workspace_tag>;

// A customer's workspace as the operator's configuration describes it. The keys that name it are kept apart, as digests.
struct workspace {
    workspace_id id;
    std::optional<std::uint32_t> priority; // replaces the route's priority if set; 0 is the highest
    double requestsPerSecond = 0; // over all processes; 0 means no limit
    double burst = 0; // requests in addition to that rate
};

} // namespace limpetpier
