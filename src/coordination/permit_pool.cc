#include "limpetpier/coordination/permit_pool.h"

#include <algorithm>

#include "limpetpier/coordination/return_delay.h"

namespace limpetpier {

void permit_pool::dropExpired(monotonic_time now)
{
    std::erase_if(m_batches, [&](const batch& each) { return each.count == 0 || now - each.askedAt > validity; });
    while (!m_taken.empty() && now - m_taken.front() > validity)
        m_taken.pop_front();
}

std::uint32_t permit_pool::batchSize(std::size_t waiting, monotonic_time now)
{
    dropExpired(now);
    // Half of the demand of the last period: what is not used by the end of the next one is lost.
    const auto wanted = std::max(waiting, waiting + m_taken.size() / 2);
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(wanted, 1, std::max<std::size_t>(waiting, maxBatch)));
}

void permit_pool::add(std::uint32_t count, monotonic_time askedAt)
{
    const auto later = std::find_if(m_batches.begin(), m_batches.end(), [&](const batch& each) { return each.askedAt > askedAt; });
    m_batches.insert(later, { count, askedAt });
}

bool permit_pool::tryTake(monotonic_time now)
{
    dropExpired(now);
    if (m_batches.empty())
        return false;
    --m_batches.front().count;
    m_taken.push_back(now);
    return true;
}

std::uint32_t permit_pool::held(monotonic_time now)
{
    dropExpired(now);
    std::uint32_t result = 0;
    for (const auto& each : m_batches)
        result += each.count;
    return result;
}

milliseconds limitReturnDelay(milliseconds nextPermit, std::size_t refusedLately, double perSecond, std::uint64_t spread)
{
    constexpr double millisecondsPerSecond = 1000;
    constexpr double minPerSecond = 0.001;
    const auto period = static_cast<double>(refusedLately + 1) / std::max(perSecond, minPerSecond) * millisecondsPerSecond;
    const auto steps = static_cast<std::uint64_t>(std::clamp(period, 1.0, static_cast<double>(maxReturnDelay.count())));
    return std::clamp(nextPermit + milliseconds(spread % steps), minReturnDelay, maxReturnDelay);
}

} // namespace limpetpier
