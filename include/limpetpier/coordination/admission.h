#pragma once

#include <cstdint>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Bounds the queries that one process runs at a time for one front, and finds the bound from what happens.
//
// Additive increase while the bound is used and queries succeed; multiplicative decrease when a query met searchers
// without room. Whole queries are shed, instead of every query losing a few shards.
class concurrency_limit {
public:
    concurrency_limit() = default;

    // Takes a place; false when the query must be shed. Classes with a larger priority number are shed earlier.
    [[nodiscard]] bool acquire(std::uint32_t priority);

    // Gives the place back.
    void release(bool metOverload, monotonic_time now);

    [[nodiscard]] double limit() const { return m_limit; }
    [[nodiscard]] std::uint32_t inFlight() const { return m_inFlight; }

private:
    double m_limit = 64;
    std::uint32_t m_inFlight = 0;
    monotonic_time m_lastDecrease {};
};

} // namespace limpetpier
