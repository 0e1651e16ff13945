#pragma once

#include <deque>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Limits the rate of requests to one cold searcher with a sliding window of about one second.
class cold_allowance {
public:
    // Sets the limit; it is 0 before the first call.
    void changeLimit(std::uint32_t requestsPerSecond) { m_requestsPerSecond = requestsPerSecond; }

    // True if one more request may be sent now.
    [[nodiscard]] bool allows(monotonic_time now)
    {
        while (!m_sendTimes.empty() && now - m_sendTimes.front() > window)
            m_sendTimes.pop_front();
        return m_sendTimes.size() < m_requestsPerSecond;
    }

    // Records a request that is sent now.
    void record(monotonic_time now) { m_sendTimes.push_back(now); }

private:
    // Longer than one second, because network delays can bring two requests closer together at the searcher.
    static constexpr milliseconds window { 1200 };

    std::uint32_t m_requestsPerSecond = 0;
    std::deque<monotonic_time> m_sendTimes;
};

} // namespace limpetpier
