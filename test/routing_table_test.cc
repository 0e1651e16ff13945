#include "limpetpier/state/routing_table.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

route makeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    return result;
}

const routing_table table { table_version(7),
    { makeRoute("short", "Shop.example", "/a/"), makeRoute("long", "shop.example", "/a/b/"), makeRoute("other", "other.example", "/a/") },
    { { service_id("s"), {} } }, {} };

std::string found(std::string_view host, std::string_view path)
{
    const auto* rule = table.find(host, path);
    return rule == nullptr ? "none" : rule->name;
}

} // namespace

TEST_CASE("The longest prefix of the host's routes is selected")
{
    CHECK(found("shop.example", "/a/b/c") == "long");
    CHECK(found("shop.example", "/a/x") == "short");
    CHECK(found("other.example", "/a/b/c") == "other");
}

TEST_CASE("A route matches whole path segments only")
{
    CHECK(found("shop.example", "/a") == "none");
    CHECK(found("shop.example", "/ab/") == "none");
}

TEST_CASE("Host names compare without case and port, paths without query")
{
    CHECK(found("SHOP.example:8080", "/a/x?/a/b/") == "short");
    CHECK(found("unknown.example", "/a/") == "none");
}

TEST_CASE("A service that the table does not name has no limits")
{
    CHECK(table.service(service_id("s")) != nullptr);
    CHECK(table.service(service_id("t")) == nullptr);
}
