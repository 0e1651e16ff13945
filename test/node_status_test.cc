#include "../programs/ctl/node_status.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

TEST_CASE("A node's status needs its epoch and revision")
{
    const auto status = readNodeStatus(R"({"node":"n","epoch":7,"revision":12})");
    REQUIRE(status);
    CHECK(status->epoch == 7);
    CHECK(status->revision == 12);
    CHECK(status->document.at("node") == "n");
    const auto* invalid = GENERATE("", "[]", "not json", R"({"epoch":7})", R"({"revision":12})", R"({"epoch":"7","revision":12})", R"({"epoch":-1,"revision":12})", R"({"epoch":7,"revision":1.5})");
    CHECK_FALSE(readNodeStatus(invalid));
}
