#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Recent durations in logarithmic buckets of about 9 % width; older ones fade as new ones come.
//
// The decisions about hedging and ramps read quantiles from it; metrics have their own histograms.
class latency_histogram {
public:
    void record(microseconds duration);

    // Upper bound of the bucket that holds the quantile; nothing before minimumSamples.
    [[nodiscard]] std::optional<microseconds> quantile(double fraction) const;

    static constexpr std::uint64_t minimumSamples = 50;

private:
    static constexpr std::size_t bucketsPerDoubling = 8;
    static constexpr std::size_t bucketCount = 27 * bucketsPerDoubling; // 1 us to 134 s
    static constexpr std::uint64_t halveAfter = 4096;

    static std::size_t bucketOf(microseconds duration);
    static microseconds upperBound(std::size_t bucket);

    std::array<std::uint32_t, bucketCount> m_counts {};
    std::uint64_t m_total = 0;
};

} // namespace limpetpier
