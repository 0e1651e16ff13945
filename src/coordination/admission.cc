#include "limpetpier/coordination/admission.h"

#include <algorithm>

namespace limpetpier {

namespace {

constexpr double leastLimit = 4;
constexpr double greatestLimit = 4096;
constexpr double decreaseFactor = 0.85;

// One overload shows in many queries; only one of them lowers the limit.
constexpr milliseconds decreaseInterval { 100 };

// Part of the limit that each step of priority leaves to those before it.
constexpr double sharePerPriority = 0.08;

} // namespace

bool concurrency_limit::acquire(std::uint32_t priority)
{
    const double usable = std::max(1.0, m_limit * (1 - sharePerPriority * priority));
    if (m_inFlight >= usable)
        return false;
    ++m_inFlight;
    return true;
}

void concurrency_limit::release(bool metOverload, monotonic_time now)
{
    const bool wasUsed = m_inFlight * 2 >= m_limit;
    --m_inFlight;
    if (!metOverload) {
        if (wasUsed)
            m_limit = std::min(greatestLimit, m_limit + 1 / m_limit);
        return;
    }
    if (now - m_lastDecrease < decreaseInterval)
        return;
    m_lastDecrease = now;
    m_limit = std::max(leastLimit, m_limit * decreaseFactor);
}

} // namespace limpetpier
