#pragma once

#include <cmath>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Exponentially decaying failure rate of the requests that this process sent to one searcher. It complements health
// checks: a searcher can fail requests while it passes the check, and serve them while it doesn't.
//
// Old outcomes decay, so that a searcher that was avoided is tried again. A searcher with few requests is judged by few
// outcomes, one with many requests by many.
class failure_record {
public:
    // Records the outcome of one request.
    void record(bool failed, monotonic_time now)
    {
        decay(now);
        (failed ? m_failed : m_succeeded) += 1;
    }

    // Estimated failure rate from 0 to 1; 0 before the first outcome.
    [[nodiscard]] double failureRate(monotonic_time now) const
    {
        const double factor = decayFactor(now);
        return m_failed * factor / ((m_failed + m_succeeded) * factor + priorWeight);
    }

    // Time constant of the exponential decay: a few times the interval at which one process of a large deployment sends
    // to one searcher.
    static constexpr milliseconds decayTime { 6000 };

    // Successful outcomes that are assumed in addition to the recorded ones.
    static constexpr double priorWeight = 1;

private:
    [[nodiscard]] double decayFactor(monotonic_time now) const { return std::exp(-std::chrono::duration<double>(now - m_decayedAt) / std::chrono::duration<double>(decayTime)); }

    void decay(monotonic_time now)
    {
        const double factor = decayFactor(now);
        m_failed *= factor;
        m_succeeded *= factor;
        m_decayedAt = now;
    }

    double m_failed = 0;
    double m_succeeded = 0;
    monotonic_time m_decayedAt {};
};

} // namespace limpetpier
