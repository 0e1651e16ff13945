#pragma once

#include <string>
#include <vector>

namespace limpetpier {

// Size of a record in bytes. A shorter remainder at the end of a part is ignored.
constexpr std::size_t recordBytes = 16;

// Returns the greatest records of all parts in descending order, at most topRecords. Records compare as unsigned bytes;
// duplicates are kept.
std::string mergeParts(const std::vector<std::string>& parts, std::size_t topRecords);

} // namespace limpetpier
