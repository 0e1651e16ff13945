#pragma once

#include <cstdint>
#include <vector>

namespace limpetpier {

// Number of keys in the key space that is partitioned into the shards of an index.
constexpr std::uint64_t keySpaceSize = std::uint64_t { 1 } << 32;

// Half-open range of keys [first, last) held by one shard. Empty if last is not greater than first.
struct key_range {
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    [[nodiscard]] std::uint64_t size() const { return last > first ? last - first : 0; }
    [[nodiscard]] bool overlaps(const key_range& other) const { return first < other.last && other.first < last; }

    auto operator<=>(const key_range&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(first, last);
    }
};

// Union of key ranges. Overlapping and adjacent ranges are merged.
//
//     range_set covered;
//     covered.add({ 0, 10 });
//     covered.add({ 5, 15 });
//     covered.size(); // 15
class range_set {
public:
    // Adds all keys of the range.
    void add(key_range range);

    // Number of keys in the set.
    [[nodiscard]] std::uint64_t size() const;

    // Returns whether the set and the range have a key in common.
    [[nodiscard]] bool overlaps(const key_range& range) const;

    // The merged ranges, in ascending order.
    [[nodiscard]] const std::vector<key_range>& ranges() const { return m_ranges; }

    // Ranges of the key space that are not in the set, in ascending order.
    [[nodiscard]] std::vector<key_range> gaps() const;

private:
    std::vector<key_range> m_ranges;
};

} // namespace limpetpier
