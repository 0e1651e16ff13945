#include "limpetpier/state/key_range.h"

#include <algorithm>

namespace limpetpier {

void range_set::add(key_range range)
{
    if (!range.size())
        return;
    std::vector<key_range> merged;
    for (const auto& existing : m_ranges) {
        const bool overlapsOrAdjoins = existing.first <= range.last && range.first <= existing.last;
        if (!overlapsOrAdjoins) {
            merged.push_back(existing);
            continue;
        }
        range.first = std::min(range.first, existing.first);
        range.last = std::max(range.last, existing.last);
    }
    merged.push_back(range);
    std::sort(merged.begin(), merged.end());
    m_ranges = std::move(merged);
}

std::uint64_t range_set::size() const
{
    std::uint64_t total = 0;
    for (const auto& range : m_ranges)
        total += range.size();
    return total;
}

bool range_set::overlaps(const key_range& range) const
{
    return std::any_of(m_ranges.begin(), m_ranges.end(), [&](const key_range& held) { return held.overlaps(range); });
}

std::vector<key_range> range_set::gaps() const
{
    std::vector<key_range> gaps;
    std::uint64_t next = 0;
    for (const auto& range : m_ranges) {
        if (range.first > next)
            gaps.push_back({ next, range.first });
        next = range.last;
    }
    if (next < keySpaceSize)
        gaps.push_back({ next, keySpaceSize });
    return gaps;
}

} // namespace limpetpier
