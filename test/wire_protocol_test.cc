#include "wire_protocol.h"

#include <catch2/catch.hpp>

#include "limpetpier/state/errors.h"

using namespace limpetpier;

namespace {

const platform::wire_protocol protocol;

client_request makeRequest()
{
    return protocol.decodeRequest({ "GET", "/a/b?c", { { "Host", "shop.example" }, { "Request-Id", "id1" }, { "Deadline-Ms", "400" }, { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-Kept", "2" }, { "Target-Instance", "forged" } }, "" });
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
    CHECK_FALSE(protocol.decodeRequest({ "GET", "/", { { "Deadline-Ms", "soon" } }, "" }).timeLeft);
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
