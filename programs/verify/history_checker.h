#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetpier {

// Invariants that a history can violate.
enum class violation_kind : std::uint8_t {
    double_run, // an order was run more than once
    false_not_run, // an order was reported as not run, but had run or ran later without another attempt
    false_answer, // an order was answered without having been run
    crossed_answer, // a reply carries the results of another request
    mixed_snapshot, // a hit comes from another index version than the reply names
    untrue_coverage, // the coverage contradicts the missing ranges or the hits
    over_allowance, // a searcher got more concurrent requests than it allows
    work_after_withdrawal, // a withdrawn searcher still got work after the allowed time
    reverted_configuration, // a node went back to an earlier configuration revision
    cut_request, // a request got no reply
};

// Returns the name of the enumerator.
std::string_view toText(violation_kind kind);

// A violation that was found in a history.
struct violation {
    violation_kind kind;
    std::string details; // the request, searcher or node, and what was observed
};

// Settings of history_checker.
struct checker_options {
    bool cutsAreViolations = false; // for runs in which processes stop only as planned
    std::int64_t withdrawalMs = 3000; // time after a withdrawal until which a searcher may still get work
    std::uint64_t hitsPerShard = 5; // as returned by fake-target
    std::uint64_t shards = 0; // shards of the searched front; 0: the number of hits is not checked
};

// Checks a recorded history for violations. A history consists of the records of limpet-load, the journals of
// fake-target and the marks that scripts write.
//
// Lines may be added in any order and from several files. docs/PROMISES.md describes their formats.
//
//     history_checker checker(options);
//     checker.add(line); // for each line
//     for (const auto& item : checker.check()) ...
class history_checker {
public:
    explicit history_checker(checker_options options);

    // Adds one line of JSON. Throws limpet_error if the line is not a JSON object.
    void add(const std::string& line);

    // Returns all violations in the lines that were added.
    [[nodiscard]] std::vector<violation> check() const;

    // Number of searches and order attempts that were added.
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
        std::int64_t fromMs = 0;
        std::int64_t untilMs = 0; // INT64_MAX: still withdrawn
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
    std::map<std::string, std::vector<std::int64_t>> m_runs; // run times in ms, by idempotency key
    std::map<std::string, std::vector<std::int64_t>> m_work; // start times of searches and runs in ms, by searcher
    std::vector<withdrawal> m_withdrawals;
    std::map<std::string, std::map<std::int64_t, std::uint64_t>> m_revisions; // by node and sample time in ms
};

} // namespace limpetpier
