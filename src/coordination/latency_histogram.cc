#include "limpetpier/coordination/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace limpetpier {

void latency_histogram::record(microseconds duration)
{
    ++m_counts[bucketOf(duration)];
    if (++m_total < halveAtTotal)
        return;
    m_total = 0;
    for (auto& count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

std::optional<microseconds> latency_histogram::quantile(double fraction) const
{
    if (m_total < minimumSamples)
        return std::nullopt;
    const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_total)));
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulative += m_counts[bucket];
        if (cumulative >= rank && cumulative > 0)
            return upperBound(bucket);
    }
    return upperBound(bucketCount - 1);
}

std::size_t latency_histogram::bucketOf(microseconds duration)
{
    const auto value = std::max<double>(1, static_cast<double>(duration.count()));
    const auto bucket = static_cast<std::size_t>(std::log2(value) * bucketsPerDoubling);
    return std::min(bucket, bucketCount - 1);
}

microseconds latency_histogram::upperBound(std::size_t bucket)
{
    return microseconds { static_cast<std::int64_t>(std::exp2(static_cast<double>(bucket + 1) / bucketsPerDoubling)) };
}

} // namespace limpetpier
