#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetpier {

// One log line of a process, split into fields.
struct log_entry {
    std::string time; // ISO 8601 with microseconds, UTC: sorts as text
    std::string node;
    std::string name; // event name
    std::string level;
    std::map<std::string, std::string> fields; // the event's own fields

    // Returns the value of a field, or an empty string if the line doesn't have it.
    [[nodiscard]] std::string field(const std::string& name) const;
};

// Parses a log line; returns nullopt if it has no time or event name. Ignores text before "time=", such as the timestamp
// of a log collector.
std::optional<log_entry> parseLogLine(const std::string& line);

// Parses a log and skips the lines that parseLogLine() rejects.
std::vector<log_entry> readLog(std::istream& in);

// Lists the log lines of one request in order of time, with changes of state on the processes that handled it from
// shortly before its first line to its last, and the reason for its end. Names the process that should have written
// missing lines.
std::string explainRequest(std::vector<log_entry> entries, const std::string& requestId);

// Counts requests by outcome, and log lines that processes left out.
std::string summarizeOutcomes(const std::vector<log_entry>& entries);

// Plots requests per second over time as SVG, one line per outcome.
std::string plotOutcomes(const std::vector<log_entry>& entries);

} // namespace limpetpier
