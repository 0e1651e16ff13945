#include "limpetpier/coordination/client_wait_estimate.h"

#include <algorithm>

namespace limpetpier {

milliseconds client_wait_estimate::record(milliseconds timeLeft, milliseconds limit)
{
    if (++m_requests > requestsPerPeriod) {
        m_requests = 1;
        m_previousLargest = m_largest;
        m_largest = milliseconds(0);
    }
    m_largest = std::max(m_largest, timeLeft);
    const auto waited = std::max(m_largest, m_previousLargest) - timeLeft;
    return waited <= limit ? waited : milliseconds(0);
}

} // namespace limpetpier
