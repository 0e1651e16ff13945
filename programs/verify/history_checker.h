#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetpier {

// The promises that a history can break.
enum class violation_kind : std::uint8_t {
    double_run,
    false_not_run,
    false_answer, // answered without a run
    crossed_answer,
    mixed_snapshot,
    untrue_coverage,
    over_allowance,
    work_after_withdrawal,
    reverted_configuration,
    cut_request,
};

std::string_view toText(violation_kind kind);

struct violation {
    violation_kind kind;
    std::string what; // the request, searcher or node, and what was seen
};

struct checker_options {
    bool cutsAreViolations = false; // only planned stops in the run
    std::int64_t withdrawalMs = 3000; // time within which new work must end
    std::uint64_t hitsPerShard = 5; // of the stand-ins
    std::uint64_t shards = 0; // 0: do not count hits
};

// Decides the promises from a recorded history: outcomes of limpet-load, journals of the stand-ins, marks of scripts.
//
// Lines may come in any order and from many files. Formats: docs/PROMISES.md.
//
//     history_checker checker(options);
//     checker.add(line); // for each line
//     for (const auto& item : checker.check()) ...
class history_checker {
public:
    explicit history_checker(checker_options options);

    // Takes one line of JSON. Throws limpet_error if it is none.
    void add(const std::string& line);

    [[nodiscard]] std::vector<violation> check() const;

    [[nodiscard]] std::size_t operations() const { return m_operations; }

private:
    struct order_attempt {
        std::int64_t number = 0;
        std::int64_t sentMs = 0;
        std::int64_t endedMs = 0;
        std::string outcome;
        std::string answerKey;
    };

    struct withdrawal {
        std::string searcher;
        std::int64_t from = 0;
        std::int64_t until = 0;
    };

    void addSearch(const boost::json::object& line);
    void addOrder(const boost::json::object& line);
    void addMark(const boost::json::object& line);
    void checkOrders(std::vector<violation>& found) const;
    void checkWithdrawals(std::vector<violation>& found) const;
    void checkRevisions(std::vector<violation>& found) const;
    void checkAnswer(const std::string& query, const boost::json::object& reply);
    void checkCoverage(const std::string& query, const boost::json::object& reply);

    checker_options m_options;
    std::size_t m_operations = 0;
    std::vector<violation> m_found;
    std::map<std::string, std::vector<order_attempt>> m_orders;
    std::map<std::string, std::vector<std::int64_t>> m_runs; // by key, times
    std::map<std::string, std::vector<std::int64_t>> m_work; // by searcher, times
    std::vector<withdrawal> m_withdrawals;
    std::map<std::string, std::map<std::int64_t, std::uint64_t>> m_revisions; // by node and time
};

} // namespace limpetpier
