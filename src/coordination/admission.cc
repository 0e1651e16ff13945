#include "limpetpier/coordination/admission.h"

#include <algorithm>

namespace limpetpier {

namespace {

constexpr double minimumLimit = 4;
constexpr double maximumLimit = 4096;
constexpr double decreaseFactor = 0.85;

// Minimum time between two decreases: one overload affects many queries, and only one of them lowers the limit.
constexpr milliseconds decreaseInterval { 100 };

// Fraction of the limit that each priority step reserves for more urgent classes.
constexpr double reservedFractionPerPriority = 0.08;

} // namespace

bool concurrency_limit::acquire(std::uint32_t priority)
{
    const double usable = std::max(1.0, m_limit * (1 - reservedFractionPerPriority * priority));
    if (m_inFlight >= usable)
        return false;
    ++m_inFlight;
    return true;
}

void concurrency_limit::release(bool overloaded, monotonic_time now)
{
    const bool wasHalfUsed = m_inFlight * 2 >= m_limit;
    --m_inFlight;
    if (!overloaded) {
        if (wasHalfUsed)
            m_limit = std::min(maximumLimit, m_limit + 1 / m_limit);
        return;
    }
    if (now - m_lastDecrease < decreaseInterval)
        return;
    m_lastDecrease = now;
    m_limit = std::max(minimumLimit, m_limit * decreaseFactor);
}

} // namespace limpetpier
