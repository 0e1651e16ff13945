#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetpier {

// One line of a process's log, split into its fields.
struct log_entry {
    std::string time; // ISO 8601 with microseconds, UTC: sorts as text
    std::string node;
    std::string name; // of the event
    std::string level;
    std::map<std::string, std::string> fields; // of the event alone

    // Empty if the line has no such field.
    [[nodiscard]] std::string field(const std::string& name) const;
};

// Nothing for a line that is none of ours. Text before "time=" is passed over, such as a collector's own stamp.
std::optional<log_entry> parseLogLine(const std::string& line);

// All lines of a log that can be read.
std::vector<log_entry> readLog(std::istream& in);

// What happened to one request, in order, with the beliefs that changed shortly before on the processes that had it, and
// the reason for its end. Says which process should have written lines that are missing.
std::string explainRequest(std::vector<log_entry> entries, const std::string& requestId);

// Requests by outcome.
std::string summarizeOutcomes(const std::vector<log_entry>& entries);

// The same over time, as a plot in SVG: one line an outcome, requests a second.
std::string plotOutcomes(const std::vector<log_entry>& entries);

} // namespace limpetpier
