#include "log_analysis.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <set>
#include <sstream>

namespace limpetpier {

namespace {

// Beliefs that changed this long before a request are told with it, in seconds.
constexpr double contextSeconds = 5;

constexpr int plotWidth = 900;
constexpr int plotHeight = 300;
constexpr int plotMargin = 40;

constexpr std::array beliefEvents { "store_down", "store_up", "table_adopted", "table_unreadable", "evacuation_changed", "members_changed", "readiness_changed", "started", "stopping", "settings_reloaded", "settings_invalid" };
constexpr std::array searcherEvents { "searcher_doubted", "searcher_verified", "searcher_listed", "searcher_gone", "searcher_ill" };

// What an outcome means, for the last line of a story.
const std::map<std::string, std::string>& reasons()
{
    static const std::map<std::string, std::string> table {
        { "answered", "answered in full" },
        { "answered_incomplete", "answered without the parts named above, because the objective was nearly over or they could not come" },
        { "searcher_failed", "the searcher itself answered with a failure, which was passed on unchanged" },
        { "unknown", "the searcher ended without an answer after the request was sent: it may have run" },
        { "timeout", "the time of the client or the route ended while a searcher was at work: it may have run" },
        { "timeout_unsent", "the time ended before any searcher took the request: it has not run" },
        { "no_searcher", "no searcher took the request: none was listed, usable or had room; it has not run" },
        { "short_of_coverage", "too few shards could answer for the route's least coverage" },
        { "client_left", "the client closed its connection before the answer" },
    };
    return table;
}

template <typename Names>
bool contains(const Names& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// Seconds since midnight; logs of one incident lie within a day.
double secondsOf(const std::string& time)
{
    constexpr std::size_t clockAt = 11;
    if (time.size() < clockAt + 8)
        return 0;
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    char colon = 0;
    std::istringstream in(time.substr(clockAt));
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

bool isEnd(const log_entry& entry)
{
    return entry.name == "request_ended" || entry.name == "request_failed" || entry.name == "request_unrouted";
}

bool tellsContext(const log_entry& entry, const std::set<std::string>& services)
{
    return contains(beliefEvents, entry.name) || (contains(searcherEvents, entry.name) && services.contains(entry.field("service")));
}

std::string reasonOf(const std::vector<const log_entry*>& own)
{
    const auto end = std::find_if(own.rbegin(), own.rend(), [](const log_entry* entry) { return isEnd(*entry); });
    if (end != own.rend()) {
        if ((*end)->name == "request_unrouted")
            return "no route of configuration " + (*end)->field("table") + " matches host and path; the process's view was " + (*end)->field("view_age_ms") + " ms old";
        const auto outcome = (*end)->field("outcome");
        const auto known = reasons().find(outcome);
        return "status " + (*end)->field("status") + " after " + (*end)->field("ms") + " ms: " + (known == reasons().end() ? outcome : known->second);
    }
    const auto& last = *own.back();
    return "no end is logged. " + last.node + " should have written request_ended or request_failed after " + last.time
        + "; look at its last lines: it was ended, stood still, or left lines out (log_left_out)";
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
    std::vector<const log_entry*> own;
    std::set<std::string> nodes;
    std::set<std::string> services;
    for (const auto& entry : entries) {
        if (entry.field("request") != requestId)
            continue;
        own.push_back(&entry);
        nodes.insert(entry.node);
        if (!entry.field("service").empty())
            services.insert(entry.field("service"));
    }
    if (own.empty())
        return "request " + requestId + ": no line in these logs. The process that took it should have written request_begun: give the logs of all processes, and look for log_left_out and for processes that ended at that time.\n";
    const double begin = secondsOf(own.front()->time);
    std::ostringstream out;
    out << "request " << requestId << "\n";
    for (const auto& entry : entries) {
        const bool isOwn = entry.field("request") == requestId;
        const double at = secondsOf(entry.time) - begin;
        if (!isOwn && (!nodes.contains(entry.node) || at < -contextSeconds || entry.time > own.back()->time || !tellsContext(entry, services)))
            continue;
        out << std::showpos << std::fixed << std::setprecision(1) << std::setw(10) << at * 1000 << std::noshowpos << " ms  " << entry.node << "  " << (isOwn ? "" : "(belief) ") << describe(entry) << "\n";
    }
    out << "reason: " << reasonOf(own) << "\n";
    return out.str();
}

std::string summarizeOutcomes(const std::vector<log_entry>& entries)
{
    std::map<std::string, std::size_t> counts;
    std::map<std::string, std::size_t> leftOut;
    std::size_t total = 0;
    for (const auto& entry : entries) {
        if (entry.name == "request_ended" || entry.name == "request_failed") {
            ++counts[entry.field("outcome")];
            ++total;
        } else if (entry.name == "log_left_out") {
            leftOut[entry.node] += std::strtoull(entry.field("lines").c_str(), nullptr, 10);
        }
    }
    std::ostringstream out;
    out << total << " requests\n";
    for (const auto& [outcome, count] : counts)
        out << std::setw(8) << count << "  " << outcome << "\n";
    for (const auto& [node, lines] : leftOut)
        out << node << " left out " << lines << " lines: the counts above lack its requests\n";
    return out.str();
}

std::string plotOutcomes(const std::vector<log_entry>& entries)
{
    std::map<std::string, std::map<int, int>> series;
    int first = INT32_MAX;
    int last = 0;
    int most = 1;
    for (const auto& entry : entries) {
        if (entry.name != "request_ended" && entry.name != "request_failed")
            continue;
        const int second = static_cast<int>(secondsOf(entry.time));
        first = std::min(first, second);
        last = std::max(last, second);
        most = std::max(most, ++series[entry.field("outcome")][second]);
    }
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plotWidth << "\" height=\"" << plotHeight << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << plotMargin << "\" y=\"15\">requests a second by outcome, " << most << " at most</text>\n";
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
            out << plotMargin + width * (second - first) / std::max(1, last - first) << "," << plotHeight - plotMargin - height * count / most << " ";
        }
        out << "\"/>\n<text x=\"" << plotMargin + 110 * index << "\" y=\"" << plotHeight - 10 << "\" fill=\"" << colour << "\">" << outcome << "</text>\n";
        ++index;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace limpetpier
