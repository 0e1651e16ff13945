#include "limpetpier/coordination/permit_pool.h"

#include <algorithm>

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

} // namespace limpetpier
