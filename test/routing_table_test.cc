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

std::string nameOfRoute(std::string_view host, std::string_view path)
{
    const auto* route = table.find(host, path);
    return route == nullptr ? "none" : route->name;
}

} // namespace

TEST_CASE("The route with the longest matching prefix for the host is selected")
{
    CHECK(nameOfRoute("shop.example", "/a/b/c") == "long");
    CHECK(nameOfRoute("shop.example", "/a/x") == "short");
    CHECK(nameOfRoute("other.example", "/a/b/c") == "other");
}

TEST_CASE("A prefix matches only whole path segments")
{
    CHECK(nameOfRoute("shop.example", "/a") == "none");
    CHECK(nameOfRoute("shop.example", "/ab/") == "none");
}

TEST_CASE("Matching ignores the host's case and port and the query string")
{
    CHECK(nameOfRoute("SHOP.example:8080", "/a/x?/a/b/") == "short");
    CHECK(nameOfRoute("unknown.example", "/a/") == "none");
}

TEST_CASE("An undefined service has no limits")
{
    CHECK(table.service(service_id("s")) != nullptr);
    CHECK(table.service(service_id("t")) == nullptr);
}
