#include "../programs/ctl/log_analysis.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace limpetpier;

namespace {

const std::string sample = R"(  0.1 front time=2026-01-01T10:00:00.000000Z level=warning node=n1 event=304 name=store_down view_age_ms=900
time=2026-01-01T10:00:01.000000Z level=info node=n1 event=600 name=request_begun request=r1 route=q table=4 time_left_ms=400 view_age_ms=1900
time=2026-01-01T10:00:01.015000Z level=info node=n1 event=603 name=request_resent request=r1 service=s7 searcher=i2 why=late waited_us=15000
time=2026-01-01T10:00:01.016000Z level=info node=n1 event=600 name=request_begun request=r2 route=q table=4
time=2026-01-01T10:00:01.016000Z level=warning node=n1 event=504 name=searcher_doubted searcher=i1 service=s7 why="connection failed"
time=2026-01-01T10:00:01.400000Z level=warning node=n1 event=602 name=request_failed request=r1 route=q outcome=short_of_coverage status=504 ms=400
not a log line of limpetpier
time=2026-01-01T10:00:02.400000Z level=warning node=n1 event=106 name=log_left_out lines=12
)";

std::vector<log_entry> entries()
{
    std::istringstream in(sample);
    return readLog(in);
}

} // namespace

TEST_CASE("A log line is parsed into its fields, including quoted values")
{
    const auto entry = parseLogLine("collector: time=t level=info node=n event=1 name=e a=\"x \\\"y\\\" z\" b=2");
    REQUIRE(entry);
    CHECK(entry->name == "e");
    CHECK(entry->field("a") == "x \"y\" z");
    CHECK(entry->field("b") == "2");
    CHECK_FALSE(parseLogLine("something else"));
}

TEST_CASE("A request is explained by its log lines, state changes of its services and the reason for its end")
{
    const auto explanation = explainRequest(entries(), "r1");
    CHECK(explanation.find("(context) store_down") != std::string::npos);
    CHECK(explanation.find("searcher_doubted") != std::string::npos);
    CHECK(explanation.find("request_resent") != std::string::npos);
    CHECK(explanation.find("reason: status 504 after 400 ms: too few shards") != std::string::npos);
    CHECK(explanation.find("r2") == std::string::npos);
}

TEST_CASE("The explanation of a request without a logged end names the process that should have logged it")
{
    CHECK(explainRequest(entries(), "r2").find("n1 should have written request_ended") != std::string::npos);
    CHECK(explainRequest(entries(), "r9").find("no line in these logs") != std::string::npos);
}

TEST_CASE("Requests are counted and plotted by outcome")
{
    const auto summary = summarizeOutcomes(entries());
    CHECK(summary.find("1 requests") != std::string::npos);
    CHECK(summary.find("short_of_coverage") != std::string::npos);
    CHECK(summary.find("n1 left out 12 lines") != std::string::npos);
    CHECK(plotOutcomes(entries()).find("<polyline") != std::string::npos);
}
