#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"

namespace limpetpier {

// Version of the software that a searcher runs.
using software_version = text_id<struct software_version_tag>;

// The operator's order to move a service to the searchers of one version.
struct rollout_order {
    software_version target;
    milliseconds duration { 0 }; // time budget, from the order to its result
    std::uint64_t revision = 0; // of the order in the store; a later order has another one

    bool operator==(const rollout_order&) const = default;
};

enum class rollout_phase : std::uint8_t {
    running, // the target version gets a bounded part of the requests
    switching, // the target version is proved and gets all requests; the others are still there
    succeeded,
    rolled_back,
};

// Returns the name of the phase, as logs and metrics show it.
inline const char* toText(rollout_phase phase)
{
    switch (phase) {
    case rollout_phase::running:
        return "running";
    case rollout_phase::switching:
        return "switching";
    case rollout_phase::succeeded:
        return "succeeded";
    case rollout_phase::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

// State of a service's latest roll-out, as stored.
struct rollout_status {
    rollout_phase phase = rollout_phase::running;
    software_version target;
    std::uint64_t order = 0; // revision of the order that it answers
    std::int64_t startedMs = 0; // begin of the order, in milliseconds since the Unix epoch
    std::vector<software_version> excluded; // versions that get no requests

    bool operator==(const rollout_status&) const = default;
};

// Answers on one route of a service during a roll-out. Bad ones are failures, and replies several times slower than the
// median of the other versions on the same route.
struct route_evidence {
    std::uint64_t otherAnswers = 0;
    std::uint64_t otherBad = 0;
    std::uint64_t targetAnswers = 0;
    std::uint64_t targetBad = 0;
    std::uint64_t otherMedianUs = 0; // of one process's replies of the other versions; 0 if unknown

    bool operator==(const route_evidence&) const = default;
};

// What one process sent and saw in a roll-out.
struct rollout_report {
    std::uint64_t order = 0; // revision of the order
    double grant = 0; // requests that it may send to the target version beyond the share of its own requests
    std::uint64_t sent = 0; // requests to the service
    std::uint64_t exposed = 0; // of these, to the target version
    std::map<std::string, route_evidence> routes; // by route name

    bool operator==(const rollout_report&) const = default;
};

} // namespace limpetpier
