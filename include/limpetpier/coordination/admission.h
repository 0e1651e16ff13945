#pragma once

#include <cstdint>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Adaptive limit on the queries that one process runs concurrently for one front (additive increase, multiplicative
// decrease).
//
// The limit grows while at least half of it is in use and queries succeed; it shrinks when a query meets overloaded
// searchers. Sheds whole queries, so that the accepted ones don't lose shards to overload.
class concurrency_limit {
public:
    concurrency_limit() = default;

    // Admits one query if the limit allows; returns false when the query must be shed. A larger priority number is shed
    // earlier.
    [[nodiscard]] bool acquire(std::uint32_t priority);

    // Ends an admitted query and adapts the limit. overloaded: the query met searchers that had no capacity for it.
    void release(bool overloaded, monotonic_time now);

    // Current limit on concurrent queries, before priorities.
    [[nodiscard]] double limit() const { return m_limit; }
    // Admitted queries that have not been released.
    [[nodiscard]] std::uint32_t inFlight() const { return m_inFlight; }

private:
    double m_limit = 64;
    std::uint32_t m_inFlight = 0;
    monotonic_time m_lastDecrease {};
};

} // namespace limpetpier
