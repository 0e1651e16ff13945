#pragma once

#include <cstdint>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Estimates how long a client has already waited when its request arrives, for example for its connection.
//
// Clients state the time left, not the time spent. Most requests of a route arrive with the client's whole time budget,
// so the difference from the largest recent value is the time spent.
class client_wait_estimate {
public:
    // Records the time left of an arriving request and returns the time that its client has waited so far. Zero if the
    // difference is larger than limit: the client then probably has another budget or repeats the request.
    milliseconds record(milliseconds timeLeft, milliseconds limit);

private:
    // Requests after which an old largest value is forgotten: between one and two times this number.
    static constexpr std::uint32_t requestsPerPeriod = 100;

    milliseconds m_largest { 0 }; // of the current period
    milliseconds m_previousLargest { 0 };
    std::uint32_t m_requests = 0; // in the current period
};

} // namespace limpetpier
