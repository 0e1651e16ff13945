#include "../programs/verify/history_checker.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

std::vector<violation_kind> violationsOf(const std::vector<std::string>& lines, checker_options options = {})
{
    history_checker checker(options);
    for (const auto& line : lines)
        checker.add(line);
    std::vector<violation_kind> kinds;
    for (const auto& item : checker.check())
        kinds.push_back(item.kind);
    return kinds;
}

std::string runLine(const std::string& key, int time)
{
    return R"({"event":"run","searcher":"s1","key":")" + key + R"(","t":)" + std::to_string(time) + "}";
}

std::string orderLine(const std::string& outcome, int attempt, int sentMs, int endedMs, const std::string& answerKey = "k")
{
    return R"({"kind":"order","key":"k","attempt":)" + std::to_string(attempt) + R"(,"sent_ms":)" + std::to_string(sentMs) + R"(,"ended_ms":)" + std::to_string(endedMs)
        + R"(,"status":200,"reply":{"outcome":")" + outcome + R"(","answer":{"key":")" + answerKey + R"("}}})";
}

std::string searchLine(const std::string& text, const std::string& coverage)
{
    return R"({"kind":"search","query":"q1","status":200,"reply":{"outcome":"answered","snapshot":{"index_version":3,"shard_map":1},"coverage":)" + coverage
        + R"(,"results":[{"score":1,"key":5,"text":")" + text + R"("}]}})";
}

const std::string completeCoverage = R"({"fraction":1,"missing":[]})";
using kinds = std::vector<violation_kind>;

} // namespace

TEST_CASE("A history without violations passes")
{
    REQUIRE(violationsOf({ runLine("k", 5), orderLine("answered", 1, 1, 9), searchLine("q1 #5 v3", completeCoverage) }).empty());
}

TEST_CASE("The history checker reports")
{
    SECTION("an order that was run twice")
    {
        REQUIRE(violationsOf({ runLine("k", 5), runLine("k", 6) }) == kinds { violation_kind::double_run });
    }

    SECTION("a not_run outcome of an order that was run during the attempt")
    {
        REQUIRE(violationsOf({ runLine("k", 5), orderLine("not_run", 1, 1, 9) }) == kinds { violation_kind::false_not_run });
    }

    SECTION("a not_run outcome of an order that was run afterwards without another attempt")
    {
        REQUIRE(violationsOf({ runLine("k", 50), orderLine("not_run", 1, 1, 9) }) == kinds { violation_kind::false_not_run });
    }

    SECTION("an answer to an order that was never run")
    {
        REQUIRE(violationsOf({ orderLine("answered", 1, 1, 9) }) == kinds { violation_kind::false_answer });
    }

    SECTION("an order that got the answer of another order")
    {
        REQUIRE(violationsOf({ runLine("k", 5), orderLine("answered", 1, 1, 9, "other") }) == kinds { violation_kind::crossed_answer });
    }

    SECTION("a search that got a result of another search")
    {
        REQUIRE(violationsOf({ searchLine("q2 #5 v3", completeCoverage) }) == kinds { violation_kind::crossed_answer });
    }

    SECTION("a result of another index version than the reply names")
    {
        REQUIRE(violationsOf({ searchLine("q1 #5 v2", completeCoverage) }) == kinds { violation_kind::mixed_snapshot });
    }

    SECTION("a coverage fraction that contradicts the missing ranges")
    {
        REQUIRE(violationsOf({ searchLine("q1 #5 v3", R"({"fraction":1,"missing":[{"first":10,"last":20}]})") }) == kinds { violation_kind::untrue_coverage });
    }

    SECTION("complete coverage with fewer hits than all shards return")
    {
        checker_options options;
        options.shards = 2;
        REQUIRE(violationsOf({ searchLine("q1 #5 v3", completeCoverage) }, options) == kinds { violation_kind::untrue_coverage });
    }

    SECTION("more concurrent requests than a cold searcher allows")
    {
        REQUIRE(violationsOf({ R"({"event":"over_cold","searcher":"s1","t":1})" }) == kinds { violation_kind::over_allowance });
    }

    SECTION("work on a withdrawn searcher after the allowed time, unless the searcher has returned")
    {
        const std::string withdrawn = R"({"mark":"withdrawn","searcher":"s1","t":1000})";
        REQUIRE(violationsOf({ withdrawn, runLine("k", 4001) }) == kinds { violation_kind::work_after_withdrawal });
        REQUIRE(violationsOf({ withdrawn, runLine("k", 3999) }).empty());
        REQUIRE(violationsOf({ withdrawn, R"({"mark":"returned","searcher":"s1","t":4000})", runLine("k", 4001) }).empty());
    }

    SECTION("a node that went back to an earlier configuration revision")
    {
        REQUIRE(violationsOf({ R"({"kind":"revision","node":"n","revision":4,"t":1})", R"({"kind":"revision","node":"n","revision":3,"t":2})" }) == kinds { violation_kind::reverted_configuration });
    }

    SECTION("a request without a reply if processes stop only as planned")
    {
        checker_options options;
        options.cutsAreViolations = true;
        REQUIRE(violationsOf({ R"({"kind":"search","query":"q1","status":0,"reply":{}})" }, options) == kinds { violation_kind::cut_request });
    }
}

TEST_CASE("A run caused by a later attempt does not contradict an earlier not_run outcome")
{
    REQUIRE(violationsOf({ orderLine("not_run", 1, 1, 9), runLine("k", 25), orderLine("answered", 2, 20, 30) }).empty());
}
