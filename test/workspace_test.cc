#include "limpetpier/state/workspace.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "limpetpier/coordination/caller_access.h"
#include "limpetpier/state/errors.h"
#include "wire_protocol.h"

using namespace limpetpier;

namespace {

const platform::wire_protocol protocol;

workspace named(const std::string& name)
{
    workspace result;
    result.id = workspace_id(name);
    return result;
}

// Returns the name of the workspace that the key names, or an empty string.
std::string ownerOf(const routing_table& table, const std::string& key)
{
    const auto* found = table.findWorkspace(key_digest::of(key));
    return found == nullptr ? std::string() : found->id.value();
}

std::string configuration(const std::string& workspaces)
{
    return R"({"version":3,"routes":[
        {"name":"open","host":"h","prefix":"/open/","type":"safe","timeoutMs":100,"priority":2,"service":"a","public":true},
        {"name":"closed","host":"h","prefix":"/closed/","type":"safe","timeoutMs":100,"priority":2,"service":"a","public":false}],
        "services":[])"
        + workspaces + "}";
}

const std::string twoWorkspaces = R"(,"tenants":[
    {"name":"w1","apiKeys":["key-1","key-2"],"priority":0,"ratePerS":20,"burst":5},
    {"name":"w2","apiKeys":["key-3"]}])";

// Decodes a request with these header fields as one whose key is checked.
client_request decode(std::vector<http_field> fields)
{
    fields.push_back({ "Request-Id", "id1" });
    return protocol.decodeRequest({ "GET", "/closed/x", std::move(fields), "" }, credential_policy::check);
}

std::string encode(const client_request& request) { return protocol.encodeCall(request, searcher_id("i-1"), milliseconds(10)); }

bool contains(const std::string& text, const std::string& part)
{
    return std::search(text.begin(), text.end(), part.begin(), part.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); }) != text.end();
}

} // namespace

TEST_CASE("A key is known by its digest")
{
    // SHA-256 of "abc" as FIPS 180-2 lists it.
    const auto digest = key_digest::of("abc");
    CHECK(digest.hex() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(key_digest::parse(digest.hex()) == digest);
    CHECK(digest.shortName() == "ba7816bf");
    CHECK(digest != key_digest::of("abd"));
    CHECK(key_digest::of("") != key_digest {});

    SECTION("and text that is no digest is rejected")
    {
        CHECK_FALSE(key_digest::parse(""));
        CHECK_FALSE(key_digest::parse("ba78"));
        CHECK_FALSE(key_digest::parse(std::string(64, 'g')));
        CHECK_FALSE(key_digest::parse(key_digest {}.hex()));
        CHECK_FALSE(key_digest::parse(std::string(32, '+') + std::string(32, '1')));
    }
}

TEST_CASE("Workspaces are found by name and by key")
{
    workspace_directory directory;
    const auto key = key_digest::of("k");
    REQUIRE(directory.add(named("w1"), { key, key }));
    CHECK(directory.find(workspace_id("w1")) == directory.find(key));
    CHECK(directory.ambiguousKeys().empty());

    SECTION("a second workspace of that name is rejected and its keys have no effect")
    {
        CHECK_FALSE(directory.add(named("w1"), { key_digest::of("other") }));
        CHECK(directory.find(key_digest::of("other")) == nullptr);
    }

    SECTION("a key of two or more workspaces names none of them; their other keys stay valid")
    {
        REQUIRE(directory.add(named("w2"), { key, key_digest::of("own") }));
        REQUIRE(directory.add(named("w3"), { key }));
        CHECK(directory.find(key) == nullptr);
        CHECK(directory.find(key_digest::of("own"))->id == workspace_id("w2"));
        CHECK(directory.ambiguousKeys() == std::set<key_digest> { key });
    }
}

TEST_CASE("A configuration with workspaces is decoded")
{
    const auto table = protocol.decodeTable(configuration(twoWorkspaces));
    REQUIRE(table.hasWorkspaces());
    CHECK(ownerOf(table, "key-1") == "w1");
    CHECK(ownerOf(table, "key-2") == "w1");
    CHECK(ownerOf(table, "key-3") == "w2");
    CHECK(ownerOf(table, "key-4").empty());
    CHECK(ownerOf(table, "").empty());
    const auto* first = table.workspace(workspace_id("w1"));
    REQUIRE(first != nullptr);
    CHECK(first->priority == 0);
    CHECK(first->requestsPerSecond == 20);
    CHECK(first->burst == 5);
    const auto* second = table.workspace(workspace_id("w2"));
    REQUIRE(second != nullptr);
    CHECK_FALSE(second->priority);
    CHECK(second->requestsPerSecond == 0);
    CHECK(table.workspace(workspace_id("w3")) == nullptr);
    CHECK(table.find("h", "/open/x")->isPublic);
    CHECK_FALSE(table.find("h", "/closed/x")->isPublic);

    SECTION("and its redacted form holds the same workspaces and no key")
    {
        const auto redacted = protocol.redactTable(configuration(twoWorkspaces));
        for (const auto* key : { "key-1", "key-2", "key-3" })
            CHECK_FALSE(contains(redacted, key));
        const auto again = protocol.decodeTable(redacted);
        CHECK(again.version() == table.version());
        CHECK(again.routes().size() == 2);
        CHECK(ownerOf(again, "key-2") == "w1");
        CHECK(ownerOf(again, "key-3") == "w2");
        CHECK(again.workspace(workspace_id("w1"))->burst == 5);
        CHECK(protocol.redactTable(redacted) == redacted);
    }
}

TEST_CASE("A configuration without a list of workspaces has none, one with an empty list checks keys")
{
    CHECK_FALSE(protocol.decodeTable(configuration("")).hasWorkspaces());
    CHECK(protocol.decodeTable(configuration(R"(,"tenants":[])")).hasWorkspaces());
}

TEST_CASE("The error of an invalid list of workspaces names the field and quotes no key")
{
    const auto* invalid = GENERATE(R"(,"tenants":"secret-key")", R"(,"tenants":["secret-key"])", R"(,"tenants":{"name":"w","apiKeys":["secret-key"]})",
        R"(,"tenants":[{"name":"w","apiKeys":"secret-key"}])", R"(,"tenants":[{"name":"w","apiKeys":["secret-key",7]}])", R"(,"tenants":[{"name":"w","apiKeys":{"a":"secret-key"}}])",
        R"(,"tenants":[{"name":"w","apiKeys":["secret-key"],"priority":"secret-key"}])", R"(,"tenants":[{"name":"w","apiKeys":["secret-key"],"ratePerS":-1}])",
        R"(,"tenants":[{"apiKeys":["secret-key"]}])", R"(,"tenants":[{"name":"","apiKeys":["secret-key"]}])", R"(,"tenants":[{"name":"w\r\nX: y","apiKeys":["secret-key"]}])",
        R"(,"tenants":[{"name":"w","apiKeys":[]},{"name":"w","apiKeys":["secret-key"]}])", R"(,"tenants":[{"name":"w","keyDigests":["secret-key"]}])",
        R"(,"tenants":[{"name":"w","apiKeys":[4815162342]}])", R"(,"tenants":[{"name":"w","apiKeys":4815162342}])");
    CAPTURE(invalid);
    std::string error;
    try {
        static_cast<void>(protocol.decodeTable(configuration(invalid)));
    } catch (const document_error& thrown) {
        error = thrown.what();
    }
    CHECK(contains(error, "tenants"));
    CHECK_FALSE(contains(error, "secret-key"));
    CHECK_FALSE(contains(error, "4815162342"));
}

TEST_CASE("The error of a configuration that is not an object quotes nothing of it")
{
    const auto* text = GENERATE(R"(["secret-key"])", R"("secret-key")", R"({"secret-key")");
    try {
        static_cast<void>(protocol.decodeTable(text));
        FAIL("the configuration was accepted");
    } catch (const document_error& thrown) {
        CHECK_FALSE(contains(thrown.what(), "secret-key"));
    }
}

TEST_CASE("A request's key is read from its credentials")
{
    CHECK(decode({ { "Authorization", "Bearer key-1" } }).key == key_digest::of("key-1"));
    CHECK(decode({ { "aUTHORIZATION", "bEARER   key-1" } }).key == key_digest::of("key-1"));

    SECTION("there is none without credentials or with those of another scheme")
    {
        CHECK_FALSE(decode({}).key);
        CHECK_FALSE(decode({ { "Authorization", "Basic a2V5LTE=" } }).key);
        CHECK_FALSE(decode({ { "Authorization", "" } }).key);
        CHECK_FALSE(decode({ { "Authorization", "key-1" } }).key);
        CHECK_FALSE(decode({ { "X-Authorization", "Bearer key-1" } }).key);
    }

    SECTION("a malformed key and several credentials name no workspace")
    {
        CHECK(decode({ { "Authorization", "Bearer" } }).key == key_digest {});
        CHECK(decode({ { "Authorization", "Bearer  " } }).key == key_digest {});
        CHECK(decode({ { "Authorization", "Bearer key-1 key-2" } }).key == key_digest {});
        CHECK(decode({ { "Authorization", "Bearer \tkey-1" } }).key == key_digest {});
        CHECK(decode({ { "Authorization", "Bearer key-\xc5\x82" } }).key == key_digest {});
        CHECK(decode({ { "Authorization", "Bearer key-1, Bearer key-2" } }).key == key_digest {});
        CHECK(decode({ { "Authorization", "Bearer key-1" }, { "authorization", "Bearer key-1" } }).key == key_digest {});
        CHECK(decode({ { "Authorization", "Basic a2V5LTE=" }, { "Authorization", "Bearer key-1" } }).key == key_digest {});
    }

    SECTION("credentials that are not checked are not read")
    {
        CHECK_FALSE(protocol.decodeRequest({ "GET", "/", { { "Authorization", "Bearer key-1" } }, "" }, credential_policy::forward).key);
    }
}

TEST_CASE("A call names the workspace that was found and no other")
{
    auto request = decode({ { "Authorization", "Bearer key-1" }, { "tENANT", "forged-1" }, { "Tenant", "forged-2" }, { "AUTHORIZATION", "Bearer key-2" }, { "X-Kept", "2" }, { "Connection", "Tenant, Authorization" } });
    for (const auto* removed : { "key-1", "key-2", "forged", "Authorization", "Tenant" })
        CHECK_FALSE(contains(encode(request), removed));
    CHECK(contains(encode(request), "X-Kept: 2\r\n"));
    for (const auto& field : request.message.fields)
        CHECK_FALSE(contains(field.value, "key-"));

    request.workspace = workspace_id("w1");
    const auto call = encode(request);
    CHECK(contains(call, "\r\nTenant: w1\r\n"));
    CHECK_FALSE(contains(call, "forged"));
}

TEST_CASE("Without workspaces the credentials and the caller's workspace are forwarded like other fields")
{
    const auto request = protocol.decodeRequest({ "GET", "/x", { { "Authorization", "Bearer key-1" }, { "Tenant", "own" } }, "" }, credential_policy::forward);
    CHECK(contains(encode(request), "\r\nAuthorization: Bearer key-1\r\n"));
    CHECK(contains(encode(request), "\r\nTenant: own\r\n"));
}

TEST_CASE("Access to a route depends on the key, the route and the version of the configuration")
{
    const auto table = protocol.decodeTable(configuration(twoWorkspaces));
    const auto& open = *table.find("h", "/open/x");
    const auto& closed = *table.find("h", "/closed/x");
    const auto known = key_digest::of("key-1");

    SECTION("a known key opens every route and names its workspace")
    {
        for (const auto* route : { &open, &closed }) {
            const auto access = checkAccess(table, *route, known);
            CHECK(access.isAllowed);
            REQUIRE(access.caller != nullptr);
            CHECK(access.caller->id == workspace_id("w1"));
        }
    }

    SECTION("an unknown key opens none")
    {
        CHECK_FALSE(checkAccess(table, closed, key_digest::of("key-9")).isAllowed);
        CHECK_FALSE(checkAccess(table, open, key_digest::of("key-9")).isAllowed);
        CHECK_FALSE(checkAccess(table, open, key_digest {}).isAllowed);
    }

    SECTION("without a key only public routes are open, to nobody in particular")
    {
        CHECK_FALSE(checkAccess(table, closed, {}).isAllowed);
        const auto access = checkAccess(table, open, {});
        CHECK(access.isAllowed);
        CHECK(access.caller == nullptr);
    }

    SECTION("without workspaces every route is open and no key has a meaning")
    {
        const auto plain = protocol.decodeTable(configuration(""));
        const auto access = checkAccess(plain, *plain.find("h", "/closed/x"), known);
        CHECK(access.isAllowed);
        CHECK(access.caller == nullptr);
    }
}

TEST_CASE("The priority of a workspace takes precedence over that of the route")
{
    route rule;
    rule.priority = 2;
    auto caller = named("w1");
    CHECK(requestPriority(rule, nullptr) == 2);
    CHECK(requestPriority(rule, &caller) == 2);
    caller.priority = 0;
    CHECK(requestPriority(rule, &caller) == 0);
}
