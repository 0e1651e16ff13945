#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/json/object.hpp>

namespace limpetpier {

// What a node reports about itself.
struct node_status {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    boost::json::object document; // the whole report
};

// Reads a node's report. Returns nothing if it is not a JSON object with the numbers epoch and revision.
[[nodiscard]] std::optional<node_status> readNodeStatus(const std::string& text);

} // namespace limpetpier
