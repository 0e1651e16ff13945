#include "limpetpier/coordination/part_merge.h"

#include <algorithm>
#include <string_view>

namespace limpetpier {

std::string mergeParts(const std::vector<std::string>& parts, std::size_t topRecords)
{
    std::vector<std::string_view> records;
    for (const auto& part : parts) {
        const std::string_view bytes(part);
        for (std::size_t offset = 0; offset + recordBytes <= bytes.size(); offset += recordBytes)
            records.push_back(bytes.substr(offset, recordBytes));
    }
    // string_view compares characters as unsigned bytes.
    const auto count = std::min(topRecords, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(), std::greater<> {});
    std::string merged;
    merged.reserve(count * recordBytes);
    for (std::size_t index = 0; index < count; ++index)
        merged.append(records[index]);
    return merged;
}

} // namespace limpetpier
