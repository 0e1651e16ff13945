#pragma once

#include <cmath>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Share of a searcher's sends that failed lately, as this process saw it. A health check says nothing of that: a searcher
// may be ill while it passes, or well while it does not.
//
// Old outcomes fade, so that a searcher that was given up is tried again; one that is asked rarely is judged by few
// outcomes, one that is asked often by many.
class failure_record {
public:
    void record(bool failed, monotonic_time now)
    {
        fade(now);
        (failed ? m_failed : m_good) += 1;
    }

    // Between 0 and 1; 0 before anything was seen.
    [[nodiscard]] double failureRate(monotonic_time now) const
    {
        const double left = remaining(now);
        return m_failed * left / ((m_failed + m_good) * left + priorWeight);
    }

    // Time constant of forgetting: a few times the interval at which a process of a large deployment asks one searcher.
    static constexpr milliseconds decayTime { 6000 };

    // Weight of the belief that an unknown searcher is well, in outcomes.
    static constexpr double priorWeight = 1;

private:
    [[nodiscard]] double remaining(monotonic_time now) const { return std::exp(-std::chrono::duration<double>(now - m_at) / std::chrono::duration<double>(decayTime)); }

    void fade(monotonic_time now)
    {
        const double left = remaining(now);
        m_failed *= left;
        m_good *= left;
        m_at = now;
    }

    double m_failed = 0;
    double m_good = 0;
    monotonic_time m_at {};
};

} // namespace limpetpier
