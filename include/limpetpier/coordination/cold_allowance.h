#pragma once

#include <deque>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Requests to one cold searcher: at most a number in any second.
class cold_allowance {
public:
    void changeLimit(std::uint32_t requestsPerSecond) { m_limit = requestsPerSecond; }

    // True if one more may be sent now.
    [[nodiscard]] bool allows(monotonic_time now)
    {
        while (!m_sent.empty() && now - m_sent.front() > window)
            m_sent.pop_front();
        return m_sent.size() < m_limit;
    }

    void record(monotonic_time now) { m_sent.push_back(now); }

private:
    // A little over a second: sends may be delayed on their way.
    static constexpr milliseconds window { 1200 };

    std::uint32_t m_limit = 0;
    std::deque<monotonic_time> m_sent;
};

} // namespace limpetpier
