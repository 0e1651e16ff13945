#include "wire_protocol.h"

#include <catch2/catch.hpp>

#include "limpetpier/state/errors.h"

using namespace limpetpier;

namespace {

const platform::wire_protocol protocol;

client_request makeRequest()
{
    return protocol.decodeRequest({ "GET", "/a/b?c", { { "Host", "shop.example" }, { "Request-Id", "id1" }, { "Deadline-Ms", "400" }, { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-Kept", "2" }, { "Target-Instance", "forged" } }, "" }, credential_policy::forward);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

http_reply makeReply(unsigned status, std::vector<http_field> fields)
{
    http_reply reply;
    reply.status = status;
    reply.fields = std::move(fields);
    return reply;
}

} // namespace

TEST_CASE("The ID, the time left and the host of a client request are decoded")
{
    const auto request = makeRequest();
    CHECK(request.id == "id1");
    CHECK(request.timeLeft == milliseconds(400));
    CHECK(request.host == "shop.example");
    const auto invalid = GENERATE("soon", "400abc", "-1", "", "99999999999999999999");
    CHECK_FALSE(protocol.decodeRequest({ "GET", "/", { { "Deadline-Ms", invalid } }, "" }, credential_policy::forward).timeLeft);
}

TEST_CASE("A call names the searcher and the time left, and forwards the other end-to-end fields")
{
    const auto call = protocol.encodeCall(makeRequest(), searcher_id("i-1"), milliseconds(390));
    CHECK(call.starts_with("GET /a/b?c HTTP/1.1\r\n"));
    CHECK(contains(call, "Target-Instance: i-1\r\n"));
    CHECK(contains(call, "Deadline-Ms: 390\r\n"));
    CHECK(contains(call, "Request-Id: id1\r\n"));
    CHECK(contains(call, "X-Kept: 2\r\n"));
    CHECK_FALSE(contains(call, "forged"));
    CHECK_FALSE(contains(call, "X-Hop"));
    CHECK_FALSE(contains(call, "Deadline-Ms: 400"));
}

TEST_CASE("A reply belongs to a request unless it names another request ID")
{
    const auto request = makeRequest();
    CHECK(protocol.isReplyTo(request, makeReply(200, { { "Request-Id", "id1" } })));
    CHECK(protocol.isReplyTo(request, makeReply(200, {})));
    CHECK_FALSE(protocol.isReplyTo(request, makeReply(200, { { "Request-Id", "id2" } })));
}

TEST_CASE("A searcher's reply is classified by its status and header fields")
{
    CHECK(protocol.decodeReply(makeReply(200, { { "Response-Stamp", "s" } })).kind == reply_kind::success);
    CHECK(protocol.decodeReply(makeReply(200, {})).kind == reply_kind::failure);
    CHECK(protocol.decodeReply(makeReply(200, { { "Response-Stamp", "s" }, { "Content-Encoding", "gzip" } })).kind == reply_kind::failure);
    CHECK(protocol.decodeReply(makeReply(503, { { "Not-Executed", "1" } })).kind == reply_kind::not_executed);
    CHECK(protocol.decodeReply(makeReply(503, {})).kind == reply_kind::failure);
    CHECK(protocol.decodeReply(makeReply(421, {})).kind == reply_kind::misdirected);
}

TEST_CASE("A merged answer lists the signatures of its parts and the number of missing parts")
{
    const auto reply = protocol.encodeMerged({ { "s1", "s2" }, 3, "records" });
    CHECK(reply.field("Part-Stamps") == "s1, s2");
    CHECK(reply.field("Missing-Parts") == "3");
    CHECK(reply.body == "records");
}

TEST_CASE("A failure has a Retry-After field only if a retry delay is given")
{
    CHECK(protocol.encodeFailure(503, "full", milliseconds(20)).field("Retry-After") == "0.020");
    CHECK(protocol.encodeFailure(502, "unknown", {}).field("Retry-After").empty());
}

TEST_CASE("The routes, services and limits of the operator's configuration are decoded")
{
    const auto table = protocol.decodeTable(R"({"version":7,"routes":[
        {"name":"q","host":"h.example","prefix":"/q/","type":"safe","timeoutMs":400,"targetLatencyMs":80,"priority":1,"gather":["a","b"],"maxAttempts":2,"topK":50,"minCoverage":0.89},
        {"name":"s","host":"h.example","prefix":"/s/","type":"unsafe","timeoutMs":1500,"trafficSplit":[{"service":"a","weight":0.75},{"service":"b","weight":0.25}],"maxAttempts":1},
        {"name":"o","host":"h.example","prefix":"/o/","type":"safe","timeoutMs":900,"service":"b"}],
        "services":[{"name":"a","healthPath":"/healthz","maxConns":26,"warmupS":3.0,"coldPerS":0.5}],
        "limits":{"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutMs":2000,"idleTimeoutMs":9000}})");
    CHECK(table.version() == table_version(7));
    const auto* query = table.find("h.example", "/q/x");
    REQUIRE(query != nullptr);
    CHECK(query->isQuery());
    CHECK(query->topRecords == 50);
    CHECK(query->latencyObjective == milliseconds(80));
    const auto* split = table.find("h.example", "/s/x");
    REQUIRE(split != nullptr);
    CHECK(split->retryPolicy == retry_policy::at_most_once);
    CHECK(split->trafficSplit.size() == 2);
    CHECK(table.find("h.example", "/o/x")->trafficSplit.front().service == service_id("b"));
    REQUIRE(table.service(service_id("a")) != nullptr);
    CHECK(table.service(service_id("a"))->connections == 26);
    CHECK(table.service(service_id("a"))->warmUp == milliseconds(3000));
    CHECK(table.limits().idleTimeout == milliseconds(9000));
}

TEST_CASE("A searcher's entry is decoded, and an invalid entry throws document_error")
{
    const auto entry = protocol.decodeSearcher("servers/i-1", R"({"service":"a","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":2,"state":"draining","coldLeftMs":1200,"seq":4,"born":17})");
    CHECK(entry.id == searcher_id("i-1"));
    CHECK(entry.draining);
    CHECK(entry.coldTimeLeft == milliseconds(1200));
    CHECK(entry.startTimeMs == 17);
    CHECK_THROWS_AS(protocol.decodeSearcher("servers/i-1", "\xFF\xFE"), document_error);
    CHECK_THROWS_AS(protocol.decodeSearcher("servers/i-1", R"(["ready"])"), document_error);
    CHECK_THROWS_AS(protocol.decodeSearcher("servers/i-1", R"({"service":"a"})"), document_error);
    CHECK_THROWS_AS(protocol.decodeSearcher("servers/i-1", R"({"service":"a","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":2,"state":"resting","coldLeftMs":0,"seq":4})"), document_error);
    CHECK_THROWS_AS(protocol.decodeSearcher("servers/i-1", R"({"service":"a","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":"2","state":"ready","coldLeftMs":0,"seq":4})"), document_error);
}

TEST_CASE("A configuration with a shard that is not a string throws document_error")
{
    CHECK_THROWS_AS(protocol.decodeTable(R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/q/","type":"safe","timeoutMs":400,"gather":["a",7],"topK":5,"minCoverage":0.5}],"services":[]})"), document_error);
}

TEST_CASE("A searcher's notices about further requests are decoded from its replies")
{
    SECTION("a reply without notices restricts nothing")
    {
        const auto notice = protocol.decodeNotice(makeReply(200, {}));
        CHECK_FALSE(notice.leaving);
        CHECK_FALSE(notice.pushback);
        CHECK(notice.invalidPushback.empty());
    }
    SECTION("a searcher announces that it leaves in a reply of any status")
    {
        CHECK(protocol.decodeNotice(makeReply(GENERATE(200, 500, 503, 504), { { "Server-Leaving", "1" } })).leaving);
        CHECK_FALSE(protocol.decodeNotice(makeReply(200, { { "Server-Leaving", "0" } })).leaving);
    }
    SECTION("but not in that of another searcher at its address")
    {
        CHECK_FALSE(protocol.decodeNotice(makeReply(421, { { "Server-Leaving", "1" } })).leaving);
    }
    SECTION("a searcher states in a 503 for how long it wants no request")
    {
        const auto pushbackOf = [](const std::string& value) { return protocol.decodeNotice(makeReply(503, { { "Retry-After", value } })).pushback; };
        CHECK(pushbackOf("2") == milliseconds(2000));
        CHECK(pushbackOf("0.25") == milliseconds(250));
        CHECK(pushbackOf("0.0004") == milliseconds(1)); // rounded up
        CHECK(pushbackOf("0") == milliseconds(0));
        CHECK(pushbackOf("1e3") == std::nullopt);
        CHECK(pushbackOf("99999999999999999999999999") >= std::chrono::hours(1));
        CHECK_FALSE(protocol.decodeNotice(makeReply(503, {})).pushback);
        CHECK_FALSE(protocol.decodeNotice(makeReply(200, { { "Retry-After", "2" } })).pushback);
    }
    SECTION("a time that is not a number of seconds is ignored and reported")
    {
        const std::string value = GENERATE(as<std::string> {}, "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "-1", "-0.5", "nan", "inf", "2s", "1 2", "0x10");
        const auto notice = protocol.decodeNotice(makeReply(503, { { "Retry-After", value } }));
        CHECK_FALSE(notice.pushback);
        CHECK(notice.invalidPushback == value);
    }
}

TEST_CASE("A health report's cold time is bounded")
{
    const auto coldTimeOf = [](const std::string& value) { return protocol.decodeHealth(makeReply(200, { { "Cold-Ms", value } })).coldTimeLeft; };
    CHECK(coldTimeOf("1200") == milliseconds(1200));
    const auto invalid = coldTimeOf(GENERATE("9223372036854775807", "-9223372036854775808", "1200abc"));
    CHECK(invalid >= milliseconds(0));
    CHECK(invalid <= std::chrono::hours(24 * 365));
}

TEST_CASE("An entry with a value that no searcher can have throws document_error")
{
    const auto decode = [](const std::string& address, const std::string& slots, const std::string& coldLeftMs, const std::string& seq = "4") {
        return protocol.decodeSearcher("servers/i-1", R"({"service":"a","address":")" + address + R"(","zone":"z","version":"v1","slots":)" + slots + R"(,"state":"ready","coldLeftMs":)" + coldLeftMs + R"(,"seq":)" + seq + "}");
    };
    const std::string good = "10.0.0.9:8080";
    REQUIRE_NOTHROW(decode(good, "2", "0"));
    SECTION("a number too large")
    {
        const std::string number = GENERATE(as<std::string> {}, "1e300", std::string(400, '9'), "1000000000000000000", "18446744073709551615", "18446744073709551616", "-1", "1e400");
        CHECK_THROWS_AS(decode(good, number, "0"), document_error);
        CHECK_THROWS_AS(decode(good, "2", number), document_error);
    }
    SECTION("a counter that is not a whole number")
    {
        CHECK_THROWS_AS(decode(good, "2", "0", GENERATE("1e300", "-1", "4.5")), document_error);
    }
    SECTION("no slots")
    {
        CHECK_THROWS_AS(decode(good, "0", "0"), document_error);
    }
    SECTION("deep nesting")
    {
        CHECK_THROWS_AS(decode(good, std::string(100'000, '[') + std::string(100'000, ']'), "0"), document_error);
        CHECK_THROWS_AS(protocol.decodeSearcher("servers/i-1", std::string(100'000, '[')), document_error);
    }
    SECTION("the error message is short, even if the value is long")
    {
        try {
            static_cast<void>(decode(good, "\"" + std::string(100'000, 'x') + "\"", "0"));
            FAIL("accepted");
        } catch (const document_error& error) {
            CHECK(std::string(error.what()).size() < 500);
        }
    }
}

TEST_CASE("A configuration with a value out of range throws document_error")
{
    const auto decode = [](const std::string& version, const std::string& timeout, const std::string& connections, const std::string& weight = "1") {
        return protocol.decodeTable(R"({"version":)" + version + R"(,"routes":[{"name":"s","host":"h","prefix":"/s/","type":"safe","timeoutMs":)" + timeout + R"(,"trafficSplit":[{"service":"a","weight":)" + weight + R"(}]}],"services":[{"name":"a","maxConns":)" + connections + R"(,"coldPerS":)" + weight + "}]}");
    };
    CHECK(decode("18446744073709551615", "400", "26").version() == table_version(18446744073709551615U));
    const std::string number = GENERATE(as<std::string> {}, "1e300", std::string(400, '9'), "1000000000000000000", "-1");
    CHECK_THROWS_AS(decode("7", number, "26"), document_error);
    CHECK_THROWS_AS(decode("7", "400", number), document_error);
    CHECK_THROWS_AS(decode("7", "400", "26", number), document_error);
}
