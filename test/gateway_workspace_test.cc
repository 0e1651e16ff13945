#include <catch2/catch.hpp>

#include "standins/gateway_fixture.h"
#include "standins/log_capture.h"

using namespace limpetpier;
using standins::store_behaviour;

namespace {

// Shortest time within which a configuration must be in force on every site.
constexpr milliseconds applyTime { 3000 };

constexpr const char* publicRoute = R"(,{"name":"open","host":"h.example","prefix":"/open/","type":"safe","timeoutMs":400,"targetLatencyMs":100,"priority":1,"service":"a","maxAttempts":2,"public":true})";

std::string workspaceEntry(const std::string& name, const std::string& keys) { return R"({"name":")" + name + R"(","apiKeys":[)" + keys + "]}"; }

// Gateway with two searchers of service "a", a public route "/open/" and workspaces, in version 5 "w1" with the keys
// "secret-1" and "secret-2" and "w2" with "secret-3".
class workspace_fixture : public standins::gateway_fixture {
public:
    explicit workspace_fixture(const std::string& nodeSecret = "")
    {
        settings.nodeSecret = nodeSecret;
        settings.changeBatchDelay = milliseconds(100);
        addSearcher("a", "a1", "z");
        addSearcher("b", "b1", "y");
        addSearcher("c", "c1", "x");
        writeWorkspaces(5, workspaceEntry("w1", R"("secret-1","secret-2")") + "," + workspaceEntry("w2", R"("secret-3")"));
        startAndAwaitReady();
    }

    void writeWorkspaces(std::uint64_t version, const std::string& entries)
    {
        store.put("op/config", makeConfiguration(version, publicRoute, R"(,"tenants":[)" + entries + "]"));
    }

    // Sends a request with these header fields, each ending with a line break.
    answer send(const std::string& path, const std::string& fields, const std::string& method = "GET") { return sendTo(settings.clientAddress, path, fields, method); }

    answer sendTo(const std::string& address, const std::string& path, const std::string& fields, const std::string& method = "GET")
    {
        m_lastId = "id" + std::to_string(++m_requests);
        auto request = formatRequest(path, m_lastId, method);
        return exchange(address, request.insert(request.size() - 2, fields));
    }

    unsigned statusWithKey(const std::string& key, const std::string& path = "/safe/x") { return send(path, "Authorization: Bearer " + key + "\r\n").reply.status; }

    std::size_t arrivals() const
    {
        std::size_t count = 0;
        for (const auto& [id, searcher] : searchers)
            count += searcher->arrivals();
        return count;
    }

    // The last request that a searcher of service "a" received.
    const http_request& received() { return searchers["a1"]->lastRequest(); }

    // Returns the values of all header fields of that name in the last request that the searcher received.
    std::vector<std::string> receivedFields(const std::string& name, const std::string& searcher = "a1")
    {
        std::vector<std::string> values;
        for (const auto& field : searchers[searcher]->lastRequest().fields) {
            if (http_request { {}, {}, { field }, {} }.field(name) == field.value)
                values.push_back(field.value);
        }
        return values;
    }

private:
    int m_requests = 0;
    std::string m_lastId;
};

const std::vector<std::string> none;

} // namespace

TEST_CASE("A request with a known key reaches a searcher with the workspace instead of the key")
{
    workspace_fixture fixture;
    CHECK(fixture.send("/safe/x", "Authorization: Bearer secret-1\r\n").reply.status == 200);
    CHECK(fixture.receivedFields("Tenant") == std::vector<std::string> { "w1" });
    CHECK(fixture.receivedFields("Authorization") == none);

    SECTION("whatever the spelling of the fields")
    {
        CHECK(fixture.send("/unsafe/x", "aUTHORIZATION:bearer   secret-3  \r\nX-Kept: 1\r\n", "POST").reply.status == 200);
        CHECK(fixture.receivedFields("Tenant") == std::vector<std::string> { "w2" });
        CHECK(fixture.receivedFields("Authorization") == none);
        CHECK(fixture.receivedFields("X-Kept") == std::vector<std::string> { "1" });
    }

    SECTION("whatever workspaces the caller names")
    {
        CHECK(fixture.send("/safe/x", "Tenant: w2\r\ntenant: w3\r\nAuthorization: Bearer secret-2\r\nTENANT: \r\nConnection: tenant, authorization\r\n").reply.status == 200);
        CHECK(fixture.receivedFields("Tenant") == std::vector<std::string> { "w1" });
        CHECK(fixture.receivedFields("Authorization") == none);
    }

    SECTION("in each part of a query")
    {
        CHECK(fixture.send("/query/x", "Authorization: Bearer secret-3\r\nTenant: w1\r\n").reply.status == 200);
        for (const auto* searcher : { "a1", "b1", "c1" }) {
            CHECK(fixture.receivedFields("Tenant", searcher) == std::vector<std::string> { "w2" });
            CHECK(fixture.receivedFields("Authorization", searcher) == none);
        }
    }
}

TEST_CASE("A request without a known key gets 401 and nothing is sent")
{
    workspace_fixture fixture;
    const auto* path = GENERATE("/safe/x", "/unsafe/x", "/query/x");
    const auto before = fixture.arrivals();
    for (const auto* fields : { "", "Tenant: w1\r\n", "Authorization: Bearer secret-9\r\n", "Authorization: Bearer\r\n", "Authorization: secret-1\r\n", "Authorization: Basic secret-1\r\n",
             "Authorization: Bearer secret-1, Bearer secret-1\r\n", "Authorization: Bearer secret-1\r\nAuthorization: Bearer secret-1\r\n", "Proxy-Authorization: Bearer secret-1\r\n" }) {
        CAPTURE(path, fields);
        const auto answer = fixture.send(path, fields, "POST");
        CHECK(answer.reply.status == 401);
        CHECK(answer.reply.field("WWW-Authenticate") == "Bearer");
        CHECK(answer.reply.body.find("secret") == std::string::npos);
    }
    CHECK(fixture.arrivals() == before);
}

TEST_CASE("A public route needs no key")
{
    workspace_fixture fixture;
    CHECK(fixture.send("/open/x", "Tenant: w1\r\n").reply.status == 200);
    CHECK(fixture.receivedFields("Tenant") == none);

    SECTION("a known key names the workspace there too and is not passed on")
    {
        CHECK(fixture.send("/open/x", "Authorization: Bearer secret-1\r\nTenant: w2\r\n").reply.status == 200);
        CHECK(fixture.receivedFields("Tenant") == std::vector<std::string> { "w1" });
        CHECK(fixture.receivedFields("Authorization") == none);
    }

    SECTION("an unknown key is rejected there too")
    {
        const auto before = fixture.arrivals();
        CHECK(fixture.statusWithKey("secret-9", "/open/x") == 401);
        CHECK(fixture.arrivals() == before);
    }

    SECTION("credentials of another scheme are no key and are not passed on")
    {
        CHECK(fixture.send("/open/x", "Authorization: Basic c2VjcmV0\r\n").reply.status == 200);
        CHECK(fixture.receivedFields("Authorization") == none);
    }
}

TEST_CASE("Keys follow the versions of the configuration")
{
    workspace_fixture fixture;

    SECTION("a new key is known, a removed one unknown, a moved one names its new workspace")
    {
        REQUIRE(fixture.statusWithKey("secret-2") == 200);
        fixture.writeWorkspaces(6, workspaceEntry("w1", R"("secret-1")") + "," + workspaceEntry("w2", R"("secret-3","secret-4")"));
        CHECK(fixture.runUntil([&] { return fixture.statusWithKey("secret-2") == 401; }, applyTime));
        CHECK(fixture.statusWithKey("secret-4") == 200);
        CHECK(fixture.receivedFields("Tenant") == std::vector<std::string> { "w2" });

        fixture.writeWorkspaces(7, workspaceEntry("w1", R"("secret-1","secret-3")") + "," + workspaceEntry("w2", R"("secret-4")"));
        CHECK(fixture.runUntil([&] {
            fixture.statusWithKey("secret-3");
            return fixture.receivedFields("Tenant") == std::vector<std::string> { "w1" };
        },
            applyTime));
    }

    SECTION("a key of two workspaces names neither")
    {
        fixture.writeWorkspaces(6, workspaceEntry("w1", R"("secret-1","secret-3")") + "," + workspaceEntry("w2", R"("secret-3")"));
        CHECK(fixture.runUntil([&] { return fixture.statusWithKey("secret-3") == 401; }, applyTime));
        CHECK(fixture.statusWithKey("secret-1") == 200);
    }

    SECTION("a malformed list leaves the previous version in force")
    {
        fixture.writeWorkspaces(6, R"({"name":"w1","apiKeys":"secret-9"})");
        fixture.runFor(applyTime / 2);
        CHECK(fixture.statusWithKey("secret-2") == 200);
        CHECK(fixture.statusWithKey("secret-9") == 401);
    }

    SECTION("without workspaces requests need no key, and their fields are forwarded as they are")
    {
        fixture.writeConfiguration(6, publicRoute);
        CHECK(fixture.runUntil([&] { return fixture.send("/safe/x", "").reply.status == 200; }, applyTime));
        CHECK(fixture.send("/safe/x", "Authorization: Bearer any\r\nTenant: own\r\n").reply.status == 200);
        CHECK(fixture.receivedFields("Authorization") == std::vector<std::string> { "Bearer any" });
        CHECK(fixture.receivedFields("Tenant") == std::vector<std::string> { "own" });
    }
}

TEST_CASE("Keys reach a gateway that the store rejects through its peers")
{
    workspace_fixture fixture("secret");
    standins::platform_store rejectingStore(fixture.io);
    rejectingStore.setBehaviour(store_behaviour::rejecting);
    platform::kv_store rejectedClient { fixture.io.get_executor(), rejectingStore.address(), milliseconds(300) };
    auto isolatedSettings = fixture.settings;
    isolatedSettings.node = node_id("node-2");
    isolatedSettings.clientAddress = fixture.freeAddress();
    isolatedSettings.readyAddress = fixture.freeAddress();
    isolatedSettings.peerAddress = fixture.freeAddress();
    isolatedSettings.seeds = { fixture.settings.peerAddress };
    gateway isolated(fixture.io, fixture.protocol, rejectedClient, isolatedSettings);
    isolated.start();
    const auto statusFromIsolated = [&](const std::string& key) { return fixture.sendTo(isolatedSettings.clientAddress, "/safe/x", "Authorization: Bearer " + key + "\r\n").reply.status; };
    REQUIRE(fixture.runUntil([&] { return statusFromIsolated("secret-2") == 200; }, applyTime));
    CHECK(fixture.receivedFields("Tenant") == std::vector<std::string> { "w1" });
    CHECK(statusFromIsolated("secret-9") == 401);

    fixture.writeWorkspaces(6, workspaceEntry("w1", R"("secret-1")") + "," + workspaceEntry("w2", R"("secret-4")"));
    CHECK(fixture.runUntil([&] { return statusFromIsolated("secret-2") == 401; }, applyTime));
    CHECK(statusFromIsolated("secret-4") == 200);
}

TEST_CASE("A view for a peer holds no key")
{
    workspace_fixture fixture("secret");
    std::optional<view_reply> view;
    peer_views peer(
        fixture.io.get_executor(), fixture.freeAddress(), "secret", [](const view_request&) { return std::optional<view_reply>(); }, [&](const view_reply& reply) { view = reply; });
    peer.requestViews({ fixture.settings.peerAddress }, {});
    REQUIRE(fixture.runUntil([&] { return view.has_value(); }));
    CHECK(view->tableText.find("\"w1\"") != std::string::npos);
    CHECK(view->tableText.find("secret-") == std::string::npos);
}

TEST_CASE("No key is logged or shown in the metrics")
{
    const standins::log_capture log;
    workspace_fixture fixture;
    fixture.statusWithKey("secret-1");
    fixture.statusWithKey("secret-9");
    fixture.statusWithKey("secret-9 secret-8");
    fixture.statusWithKey("secret-1", "/none/x");
    fixture.statusWithKey("secret-1", "/query/x");
    fixture.writeWorkspaces(6, R"({"name":"w1","apiKeys":"secret-7"})");
    fixture.runFor(milliseconds(500));
    fixture.writeWorkspaces(7, R"("secret-6")");
    fixture.runFor(milliseconds(500));
    fixture.writeWorkspaces(8, workspaceEntry("w1", R"("secret-1","secret-3")") + "," + workspaceEntry("w2", R"("secret-3")"));
    CHECK(fixture.runUntil([&] { return fixture.statusWithKey("secret-3") == 401; }, applyTime));

    const auto text = log.text();
    CHECK(text.find("name=table_unreadable") != std::string::npos);
    CHECK(text.find("name=workspace_key_ambiguous key_digest=" + key_digest::of("secret-3").shortName()) != std::string::npos);
    CHECK(text.find("name=request_unauthorized") != std::string::npos);
    CHECK(text.find("key_digest=" + key_digest::of("secret-9").shortName()) != std::string::npos);
    CHECK(text.find("secret-") == std::string::npos);
}
