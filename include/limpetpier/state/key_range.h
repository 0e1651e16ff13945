#pragma once

#include <cstdint>
#include <vector>

namespace limpetpier {

// Size of the key space that the shards of an index divide among them.
constexpr std::uint64_t keySpaceSize = std::uint64_t { 1 } << 32;

// Half-open range of keys [first, last) that one shard holds.
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

// Union of key ranges; a key that is added twice counts once.
//
//     range_set covered;
//     covered.add({ 0, 10 });
//     covered.add({ 5, 15 });
//     covered.size(); // 15
class range_set {
public:
    void add(key_range range);

    [[nodiscard]] std::uint64_t size() const;
    [[nodiscard]] bool overlaps(const key_range& range) const;
    [[nodiscard]] const std::vector<key_range>& ranges() const { return m_ranges; }

    // Gaps of the set within the whole key space, in ascending order.
    [[nodiscard]] std::vector<key_range> gaps() const;

private:
    std::vector<key_range> m_ranges;
};

} // namespace limpetpier
