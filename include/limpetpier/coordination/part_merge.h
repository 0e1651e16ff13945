#pragma once

#include <string>
#include <vector>

namespace limpetpier {

// Size of one record of a part, in bytes; a shorter remainder is not a record.
constexpr std::size_t recordBytes = 16;

// The greatest records of all parts, greatest first, compared byte by byte. Equal records all count.
std::string mergeParts(const std::vector<std::string>& parts, std::size_t topRecords);

} // namespace limpetpier
