#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Histogram of recent durations with logarithmic buckets of about 9 % width. Older durations lose weight as new ones
// are recorded.
//
// Used for decisions such as hedging and warm-up; metrics have their own histograms.
class latency_histogram {
public:
    // Records one duration.
    void record(microseconds duration);

    // Upper bound of the bucket that contains the quantile, for a fraction from 0 to 1; nullopt before minimumSamples
    // durations were recorded.
    [[nodiscard]] std::optional<microseconds> quantile(double fraction) const;

    // Number of durations required for a quantile.
    static constexpr std::uint64_t minimumSamples = 50;

private:
    static constexpr std::size_t bucketsPerDoubling = 8;
    static constexpr std::size_t bucketCount = 27 * bucketsPerDoubling; // 1 us to 134 s
    static constexpr std::uint64_t halveAtTotal = 4096; // all counts are halved at this total

    static std::size_t bucketOf(microseconds duration);
    static microseconds upperBound(std::size_t bucket);

    std::array<std::uint32_t, bucketCount> m_counts {};
    std::uint64_t m_total = 0;
};

} // namespace limpetpier
