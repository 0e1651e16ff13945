#include "limpetpier/coordination/traffic_split.h"

#include <catch2/catch.hpp>
#include <map>

using namespace limpetpier;

TEST_CASE("Twenty consecutive requests are distributed in proportion to the service weights")
{
    route testRoute;
    testRoute.trafficSplit = { { service_id("a"), 0.7 }, { service_id("b"), 0.25 }, { service_id("c"), 0.05 } };
    traffic_split split;
    std::map<std::string, int> counts;
    for (int request = 0; request < 20; ++request)
        ++counts[split.nextService(testRoute).value()];
    CHECK(counts["a"] == 14);
    CHECK(counts["b"] == 5);
    CHECK(counts["c"] == 1);
}

TEST_CASE("A single service receives all requests")
{
    route testRoute;
    testRoute.trafficSplit = { { service_id("a"), 3 } };
    CHECK(traffic_split().nextService(testRoute).value() == "a");
}
