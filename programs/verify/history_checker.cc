#include "history_checker.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

#include "limpetpier/state/errors.h"
#include "limpetpier/state/key_range.h"

namespace limpetpier {

namespace json = boost::json;

namespace {

constexpr double fractionTolerance = 1e-9;

std::string textAt(const json::object& object, const char* name)
{
    const auto* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t numberAt(const json::object& object, const char* name)
{
    const auto* value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

std::string answerKeyOf(const json::object& reply)
{
    const auto* answer = reply.if_contains("answer");
    return answer && answer->is_object() ? textAt(answer->get_object(), "key") : std::string();
}

} // namespace

std::string_view toText(violation_kind kind)
{
    switch (kind) {
    case violation_kind::double_run:
        return "double_run";
    case violation_kind::false_not_run:
        return "false_not_run";
    case violation_kind::false_answer:
        return "false_answer";
    case violation_kind::crossed_answer:
        return "crossed_answer";
    case violation_kind::mixed_snapshot:
        return "mixed_snapshot";
    case violation_kind::untrue_coverage:
        return "untrue_coverage";
    case violation_kind::over_allowance:
        return "over_allowance";
    case violation_kind::work_after_withdrawal:
        return "work_after_withdrawal";
    case violation_kind::reverted_configuration:
        return "reverted_configuration";
    case violation_kind::cut_request:
        return "cut_request";
    }
    return "unknown";
}

history_checker::history_checker(checker_options options)
    : m_options(options)
{
}

void history_checker::add(const std::string& line)
{
    boost::system::error_code error;
    const auto value = json::parse(line, error);
    if (error || !value.is_object())
        throw limpet_error("found a history line that is not a JSON object: " + line.substr(0, 80) + "; expected records of limpet-load, journals or marks; check the given files");
    const auto& object = value.get_object();
    const auto kind = textAt(object, "kind");
    const auto event = textAt(object, "event");
    if (kind == "search")
        addSearch(object);
    else if (kind == "order")
        addOrder(object);
    else if (kind == "revision")
        m_revisions[textAt(object, "node")][numberAt(object, "t")] = static_cast<std::uint64_t>(numberAt(object, "revision"));
    else if (!textAt(object, "mark").empty())
        addMark(object);
    if (event == "run")
        m_runs[textAt(object, "key")].push_back(numberAt(object, "t"));
    if (event == "run" || event == "search")
        m_work[textAt(object, "searcher")].push_back(numberAt(object, "t"));
    if (event == "over_cold" || event == "over_slots")
        m_found.push_back({ violation_kind::over_allowance, event + " at " + textAt(object, "searcher") + " time " + std::to_string(numberAt(object, "t")) });
}

void history_checker::addSearch(const json::object& line)
{
    ++m_operations;
    const auto query = textAt(line, "query");
    if (numberAt(line, "status") == 0) {
        if (m_options.cutsAreViolations)
            m_found.push_back({ violation_kind::cut_request, query });
        return;
    }
    const auto& reply = line.at("reply").as_object();
    if (textAt(reply, "outcome") != "answered")
        return;
    checkAnswer(query, reply);
    checkCoverage(query, reply);
}

// Checks that every hit belongs to this query and to the index version that the reply names.
void history_checker::checkAnswer(const std::string& query, const json::object& reply)
{
    const auto version = " v" + std::to_string(reply.at("snapshot").at("index_version").to_number<std::uint64_t>());
    const auto prefix = query + " #";
    for (const auto& hit : reply.at("results").as_array()) {
        const auto text = textAt(hit.as_object(), "text");
        if (!text.starts_with(prefix))
            m_found.push_back({ violation_kind::crossed_answer, query });
        else if (!text.ends_with(version))
            m_found.push_back({ violation_kind::mixed_snapshot, query });
    }
}

// Checks that the coverage fraction is what the missing ranges leave, that no hit lies in a missing range, and that all
// hits are present exactly if the coverage is complete (only if the number of shards is known).
void history_checker::checkCoverage(const std::string& query, const json::object& reply)
{
    const auto fraction = reply.at("coverage").at("fraction").to_number<double>();
    range_set missing;
    for (const auto& range : reply.at("coverage").at("missing").as_array())
        missing.add({ range.at("first").to_number<std::uint64_t>(), range.at("last").to_number<std::uint64_t>() });
    const auto expected = 1 - static_cast<double>(missing.size()) / static_cast<double>(keySpaceSize);
    if (std::abs(expected - fraction) > fractionTolerance || (fraction >= 1) != (missing.size() == 0))
        m_found.push_back({ violation_kind::untrue_coverage, query + " reports coverage " + std::to_string(fraction) + ", its missing ranges leave " + std::to_string(expected) });
    const auto& hits = reply.at("results").as_array();
    for (const auto& hit : hits) {
        const auto key = hit.at("key").to_number<std::uint64_t>();
        if (missing.overlaps({ key, key + 1 }))
            m_found.push_back({ violation_kind::untrue_coverage, query + " has a hit in a missing range" });
    }
    const bool isComplete = hits.size() == m_options.shards * m_options.hitsPerShard;
    if (m_options.shards > 0 && isComplete != (fraction >= 1))
        m_found.push_back({ violation_kind::untrue_coverage, query + " reports coverage " + std::to_string(fraction) + " with " + std::to_string(hits.size()) + " hits" });
}

void history_checker::addOrder(const json::object& line)
{
    ++m_operations;
    const auto key = textAt(line, "key");
    order_attempt attempt { numberAt(line, "attempt"), numberAt(line, "sent_ms"), numberAt(line, "ended_ms"), {}, {} };
    if (numberAt(line, "status") == 0) {
        if (m_options.cutsAreViolations)
            m_found.push_back({ violation_kind::cut_request, key });
    } else {
        const auto& reply = line.at("reply").as_object();
        attempt.outcome = textAt(reply, "outcome");
        attempt.answerKey = answerKeyOf(reply);
    }
    m_orders[key].push_back(attempt);
}

void history_checker::addMark(const json::object& line)
{
    const auto mark = textAt(line, "mark");
    const auto searcher = textAt(line, "searcher");
    const auto time = numberAt(line, "t");
    if (mark == "withdrawn")
        m_withdrawals.push_back({ searcher, time, INT64_MAX });
    if (mark != "returned")
        return;
    for (auto& item : m_withdrawals) {
        if (item.searcher == searcher && item.untilMs == INT64_MAX)
            item.untilMs = time;
    }
}

std::vector<violation> history_checker::check() const
{
    auto found = m_found;
    checkOrders(found);
    checkWithdrawals(found);
    checkRevisions(found);
    return found;
}

void history_checker::checkOrders(std::vector<violation>& found) const
{
    for (const auto& [key, runs] : m_runs) {
        if (runs.size() > 1)
            found.push_back({ violation_kind::double_run, key + " ran " + std::to_string(runs.size()) + " times" });
    }
    for (const auto& [key, attempts] : m_orders) {
        const auto runs = m_runs.find(key);
        const bool hasRun = runs != m_runs.end();
        for (const auto& attempt : attempts) {
            if (attempt.outcome == "answered" && !hasRun)
                found.push_back({ violation_kind::false_answer, key });
            if (attempt.outcome == "answered" && attempt.answerKey != key)
                found.push_back({ violation_kind::crossed_answer, key + " got the answer of " + attempt.answerKey });
            if (attempt.outcome != "not_run" || !hasRun)
                continue;
            // A run after a correct not_run outcome must have been caused by a later attempt.
            const auto runAt = runs->second.front();
            const bool isExplained = runAt >= attempt.endedMs && std::any_of(attempts.begin(), attempts.end(), [&](const order_attempt& later) { return later.number > attempt.number && later.sentMs <= runAt; });
            if (!isExplained)
                found.push_back({ violation_kind::false_not_run, key + " attempt " + std::to_string(attempt.number) });
        }
    }
}

void history_checker::checkWithdrawals(std::vector<violation>& found) const
{
    for (const auto& item : m_withdrawals) {
        const auto work = m_work.find(item.searcher);
        if (work == m_work.end())
            continue;
        for (const auto time : work->second) {
            if (time > item.fromMs + m_options.withdrawalMs && time < item.untilMs)
                found.push_back({ violation_kind::work_after_withdrawal, item.searcher + " got work " + std::to_string(time - item.fromMs) + " ms after its withdrawal" });
        }
    }
}

void history_checker::checkRevisions(std::vector<violation>& found) const
{
    for (const auto& [node, samples] : m_revisions) {
        std::uint64_t highest = 0;
        for (const auto& [time, revision] : samples) {
            if (revision < highest)
                found.push_back({ violation_kind::reverted_configuration, node + " went from revision " + std::to_string(highest) + " to " + std::to_string(revision) });
            highest = std::max(highest, revision);
        }
    }
}

} // namespace limpetpier
