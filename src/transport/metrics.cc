#include "limpetpier/transport/metrics.h"

#include <algorithm>
#include <sstream>

namespace limpetpier {

namespace {

namespace acc = boost::accumulators;

// Returns the labels in braces, or nothing if there are none.
std::string formatLabels(const std::string& labels, const std::string& additional = {})
{
    const auto combined = labels + (labels.empty() || additional.empty() ? "" : ",") + additional;
    return combined.empty() ? combined : "{" + combined + "}";
}

// Appends a label, with the escapes that the text format requires in its value.
void appendLabel(std::string& text, std::string_view name, std::string_view value)
{
    text.append(text.empty() ? "" : ",").append(name).append("=\"");
    for (const char character : value) {
        if (character == '\n') {
            text.append("\\n");
            continue;
        }
        if (character == '\\' || character == '"')
            text.push_back('\\');
        text.push_back(character);
    }
    text.push_back('"');
}

} // namespace

metric_series::metric_series(const metric_labels& labels)
{
    appendLabel(m_text, "tenant", labels.tenant);
    appendLabel(m_text, "front", labels.front);
    if (!labels.outcome.empty())
        appendLabel(m_text, "outcome", labels.outcome);
}

metric_series::metric_series(std::initializer_list<std::pair<std::string_view, std::string_view>> labels)
{
    for (const auto& [name, value] : labels)
        appendLabel(m_text, name, value);
}

void metrics_registry::observe(const std::string& name, const metric_series& series, double seconds)
{
    const auto bucket = static_cast<std::size_t>(std::lower_bound(latencyBuckets.begin(), latencyBuckets.end(), seconds) - latencyBuckets.begin());
    const std::lock_guard lock(m_mutex);
    auto& data = m_histograms[name][series.text()];
    data.totals(seconds);
    ++data.buckets[bucket];
}

void metrics_registry::add(const std::string& name, const metric_series& series, double amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[name][series.text()] += amount;
}

void metrics_registry::set(const std::string& name, double value)
{
    set(name, metric_series(std::initializer_list<std::pair<std::string_view, std::string_view>> {}), value);
}

void metrics_registry::set(const std::string& name, const metric_series& series, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[name][series.text()] = value;
}

std::string metrics_registry::render() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    for (const auto& [name, series] : m_gauges) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto& [labels, value] : series)
            out << name << formatLabels(labels) << " " << value << "\n";
    }
    for (const auto& [name, series] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto& [labels, value] : series)
            out << name << formatLabels(labels) << " " << value << "\n";
    }
    for (const auto& [name, series] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, values] : series) {
            std::uint64_t cumulative = 0;
            for (std::size_t bucket = 0; bucket < latencyBuckets.size(); ++bucket) {
                cumulative += values.buckets[bucket];
                std::ostringstream bound;
                bound << "le=\"" << latencyBuckets[bucket] << "\"";
                out << name << "_bucket" << formatLabels(labels, bound.str()) << " " << cumulative << "\n";
            }
            out << name << "_bucket" << formatLabels(labels, "le=\"+Inf\"") << " " << acc::count(values.totals) << "\n"
                << name << "_sum" << formatLabels(labels) << " " << acc::sum(values.totals) << "\n"
                << name << "_count" << formatLabels(labels) << " " << acc::count(values.totals) << "\n"
                << name << "_max" << formatLabels(labels) << " " << acc::max(values.totals) << "\n";
        }
    }
    return out.str();
}

} // namespace limpetpier
