#include "limpetpier/coordination/part_merge.h"

#include <algorithm>
#include <string_view>

namespace limpetpier {

std::string mergeParts(const std::vector<std::string>& parts, std::size_t topRecords)
{
    std::vector<std::string_view> records;
    for (const auto& part : parts) {
        const std::string_view body(part);
        for (std::size_t at = 0; at + recordBytes <= body.size(); at += recordBytes)
            records.push_back(body.substr(at, recordBytes));
    }
    // string_view compares as unsigned bytes.
    const auto kept = std::min(topRecords, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(), std::greater<> {});
    std::string merged;
    merged.reserve(kept * recordBytes);
    for (std::size_t index = 0; index < kept; ++index)
        merged.append(records[index]);
    return merged;
}

} // namespace limpetpier
