#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace limpetpier {

// Upper bounds of the histogram buckets in seconds, in ascending order. One more bucket has no upper bound.
constexpr std::array<double, 12> latencyBuckets { 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.1, 0.17, 0.25, 0.5, 1 };

// Labels of a request metric; each combination is a series of its own. An empty outcome is left out.
struct metric_labels {
    std::string tenant;
    std::string front;
    std::string outcome;

    auto operator<=>(const metric_labels&) const = default;
};

// Labels that identify one series of a metric, formatted as name="value" pairs separated by commas.
class metric_series {
public:
    metric_series(const metric_labels& labels);
    metric_series(std::initializer_list<std::pair<std::string_view, std::string_view>> labels);

    // Returns the formatted labels without the enclosing braces.
    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

// Holds the counters, gauges and latency histograms of a process, and renders them in the Prometheus text format.
// Thread-safe. No other lock is taken while its mutex is held.
//
//     metrics.observe("limpet_request_seconds", { "tranchet", "comptoir", "answered" }, 0.009);
//     reply.body = metrics.render();
class metrics_registry {
public:
    // Adds an observation to a histogram.
    void observe(const std::string& name, const metric_series& series, double seconds);

    // Increases a counter.
    void add(const std::string& name, const metric_series& series, double amount);

    // Sets a gauge, without labels or of one series.
    void set(const std::string& name, double value);
    void set(const std::string& name, const metric_series& series, double value);

    // Returns all metrics in the Prometheus text format. A histogram has an additional "_max" line.
    [[nodiscard]] std::string render() const;

private:
    struct histogram {
        boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::max>> totals;
        std::array<std::uint64_t, latencyBuckets.size() + 1> buckets {};
    };

    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, histogram>> m_histograms;
    std::map<std::string, std::map<std::string, double>> m_counters;
    std::map<std::string, std::map<std::string, double>> m_gauges;
};

} // namespace limpetpier
