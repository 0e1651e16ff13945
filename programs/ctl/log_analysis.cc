#include "log_analysis.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <set>
#include <sstream>

namespace limpetpier {

namespace {

// Changes of state are listed with a request from this many seconds before its first line.
constexpr double contextSeconds = 5;

// Pixels.
constexpr int plotWidth = 900;
constexpr int plotHeight = 300;
constexpr int plotMargin = 40;

constexpr std::array processStateEvents { "store_down", "store_up", "table_adopted", "table_unreadable", "evacuation_changed", "members_changed", "readiness_changed", "started", "stopping", "settings_reloaded", "settings_invalid" };
constexpr std::array searcherEvents { "searcher_doubted", "searcher_verified", "searcher_listed", "searcher_gone", "searcher_ill" };

// Explanations of outcomes for the reason line of a request.
const std::map<std::string, std::string>& outcomeExplanations()
{
    static const std::map<std::string, std::string> table {
        { "answered", "answered in full" },
        { "answered_incomplete", "answered without the parts listed above, which failed or had not arrived shortly before the end of the latency objective" },
        { "searcher_failed", "the searcher replied with a failure, which was forwarded unchanged" },
        { "unknown", "the searcher ended without a reply after the request was sent: the request may have run" },
        { "timeout", "the deadline of the client or the route passed while a searcher was processing the request: it may have run" },
        { "timeout_unsent", "the deadline passed before any searcher accepted the request: it has not run" },
        { "stopping", "the process was stopping and the request might have outlasted the stop: it was refused and has not run" },
        { "stopped", "the process had to end while a searcher was processing the request: it may have run" },
        { "stopped_unsent", "the process had to end before any searcher accepted the request: it has not run" },
        { "no_searcher", "no searcher accepted the request: none was listed, usable and had capacity; it has not run" },
        { "short_of_coverage", "too few shards answered for the minimum coverage of the route" },
        { "client_left", "the client closed its connection before the answer" },
    };
    return table;
}

template <typename Names>
bool contains(const Names& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// Returns seconds since midnight; assumes that all logs are from one day.
double secondsOfDay(const std::string& time)
{
    constexpr std::size_t timeOfDayOffset = 11;
    if (time.size() < timeOfDayOffset + 8)
        return 0;
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    char colon = 0;
    std::istringstream in(time.substr(timeOfDayOffset));
    in >> hours >> colon >> minutes >> colon >> seconds;
    return hours * 3600 + minutes * 60 + seconds;
}

std::string describe(const log_entry& entry)
{
    std::string text = entry.name;
    for (const auto& [name, value] : entry.fields) {
        if (name != "request")
            text.append(" ").append(name).append("=").append(value);
    }
    return text;
}

bool isEndOfRequest(const log_entry& entry)
{
    return entry.name == "request_ended" || entry.name == "request_failed" || entry.name == "request_unrouted";
}

bool isContext(const log_entry& entry, const std::set<std::string>& services)
{
    return contains(processStateEvents, entry.name) || (contains(searcherEvents, entry.name) && services.contains(entry.field("service")));
}

std::string reasonOf(const std::vector<const log_entry*>& requestEntries)
{
    const auto end = std::find_if(requestEntries.rbegin(), requestEntries.rend(), [](const log_entry* entry) { return isEndOfRequest(*entry); });
    if (end != requestEntries.rend()) {
        if ((*end)->name == "request_unrouted")
            return "no route of configuration " + (*end)->field("table") + " matches the host and path; the process's view was " + (*end)->field("view_age_ms") + " ms old";
        const auto outcome = (*end)->field("outcome");
        const auto known = outcomeExplanations().find(outcome);
        return "status " + (*end)->field("status") + " after " + (*end)->field("ms") + " ms: " + (known == outcomeExplanations().end() ? outcome : known->second);
    }
    const auto& last = *requestEntries.back();
    return "the end of the request is not logged. " + last.node + " should have written request_ended or request_failed after " + last.time
        + "; check its last lines: it ended, hung, or left out lines (log_left_out)";
}

} // namespace

std::string log_entry::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::optional<log_entry> parseLogLine(const std::string& line)
{
    const auto begin = line.find("time=");
    if (begin == std::string::npos)
        return {};
    log_entry entry;
    std::size_t at = begin;
    while (at < line.size()) {
        const auto equals = line.find('=', at);
        if (equals == std::string::npos)
            break;
        const auto name = line.substr(at, equals - at);
        std::string value;
        at = equals + 1;
        if (at < line.size() && line[at] == '"') {
            for (++at; at < line.size() && line[at] != '"'; ++at) {
                if (line[at] == '\\' && at + 1 < line.size())
                    ++at;
                value.push_back(line[at]);
            }
            ++at;
        } else {
            const auto end = std::min(line.find(' ', at), line.size());
            value = line.substr(at, end - at);
            at = end;
        }
        ++at;
        if (name == "time")
            entry.time = value;
        else if (name == "node")
            entry.node = value;
        else if (name == "name")
            entry.name = value;
        else if (name == "level")
            entry.level = value;
        else if (name != "event")
            entry.fields[name] = value;
    }
    if (entry.time.empty() || entry.name.empty())
        return {};
    return entry;
}

std::vector<log_entry> readLog(std::istream& in)
{
    std::vector<log_entry> entries;
    for (std::string line; std::getline(in, line);) {
        if (auto entry = parseLogLine(line))
            entries.push_back(std::move(*entry));
    }
    return entries;
}

std::string explainRequest(std::vector<log_entry> entries, const std::string& requestId)
{
    std::stable_sort(entries.begin(), entries.end(), [](const log_entry& left, const log_entry& right) { return left.time < right.time; });
    std::vector<const log_entry*> requestEntries;
    std::set<std::string> nodes;
    std::set<std::string> services;
    for (const auto& entry : entries) {
        if (entry.field("request") != requestId)
            continue;
        requestEntries.push_back(&entry);
        nodes.insert(entry.node);
        if (!entry.field("service").empty())
            services.insert(entry.field("service"));
    }
    if (requestEntries.empty())
        return "request " + requestId + ": no line in these logs. The process that received it should have written request_begun: pass the logs of all processes, and check for log_left_out and for processes that ended at that time.\n";
    const double begin = secondsOfDay(requestEntries.front()->time);
    std::ostringstream out;
    out << "request " << requestId << "\n";
    for (const auto& entry : entries) {
        const bool isOfRequest = entry.field("request") == requestId;
        const double at = secondsOfDay(entry.time) - begin;
        if (!isOfRequest && (!nodes.contains(entry.node) || at < -contextSeconds || entry.time > requestEntries.back()->time || !isContext(entry, services)))
            continue;
        out << std::showpos << std::fixed << std::setprecision(1) << std::setw(10) << at * 1000 << std::noshowpos << " ms  " << entry.node << "  " << (isOfRequest ? "" : "(context) ") << describe(entry) << "\n";
    }
    out << "reason: " << reasonOf(requestEntries) << "\n";
    return out.str();
}

std::string summarizeOutcomes(const std::vector<log_entry>& entries)
{
    std::map<std::string, std::size_t> counts;
    std::map<std::string, std::size_t> leftOutLines;
    std::size_t total = 0;
    for (const auto& entry : entries) {
        if (entry.name == "request_ended" || entry.name == "request_failed") {
            ++counts[entry.field("outcome")];
            ++total;
        } else if (entry.name == "log_left_out") {
            leftOutLines[entry.node] += std::strtoull(entry.field("lines").c_str(), nullptr, 10);
        }
    }
    std::ostringstream out;
    out << total << " requests\n";
    for (const auto& [outcome, count] : counts)
        out << std::setw(8) << count << "  " << outcome << "\n";
    for (const auto& [node, lines] : leftOutLines)
        out << node << " left out " << lines << " lines: the counts above may lack requests of this process\n";
    return out.str();
}

std::string plotOutcomes(const std::vector<log_entry>& entries)
{
    std::map<std::string, std::map<int, int>> series;
    int first = INT32_MAX;
    int last = 0;
    int maxCount = 1;
    for (const auto& entry : entries) {
        if (entry.name != "request_ended" && entry.name != "request_failed")
            continue;
        const int second = static_cast<int>(secondsOfDay(entry.time));
        first = std::min(first, second);
        last = std::max(last, second);
        maxCount = std::max(maxCount, ++series[entry.field("outcome")][second]);
    }
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plotWidth << "\" height=\"" << plotHeight << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << plotMargin << "\" y=\"15\">requests per second by outcome, maximum " << maxCount << "</text>\n";
    constexpr std::array colours { "#1b6ca8", "#d1495b", "#edae49", "#66a182", "#6a4c93", "#2e4057", "#8d5524", "#00798c" };
    std::size_t index = 0;
    const double width = plotWidth - 2 * plotMargin;
    const double height = plotHeight - 2 * plotMargin;
    for (const auto& [outcome, points] : series) {
        const auto* colour = colours.at(index % colours.size());
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        for (int second = first; second <= last; ++second) {
            const auto found = points.find(second);
            const int count = found == points.end() ? 0 : found->second;
            out << plotMargin + width * (second - first) / std::max(1, last - first) << "," << plotHeight - plotMargin - height * count / maxCount << " ";
        }
        out << "\"/>\n<text x=\"" << plotMargin + 110 * index << "\" y=\"" << plotHeight - 10 << "\" fill=\"" << colour << "\">" << outcome << "</text>\n";
        ++index;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace limpetpier
