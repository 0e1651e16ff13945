#include "limpetpier/coordination/receive_budget.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

TEST_CASE("When the limit is exceeded, the connection that holds most gives up its reply")
{
    const auto budget = std::make_shared<receive_budget>(100);
    int largeRevoked = 0;
    int smallRevoked = 0;
    receive_budget::account small(budget, [&] { ++smallRevoked; });
    auto large = std::make_unique<receive_budget::account>(budget, [&] { ++largeRevoked; });
    small.add(20);
    large->add(80);
    CHECK(budget->used() == 100);
    CHECK(largeRevoked == 0);

    SECTION("whichever connection received the bytes that exceed it")
    {
        small.add(10);
        CHECK(largeRevoked == 1);
        CHECK(smallRevoked == 0);
        CHECK(budget->used() == 30);

        SECTION("and bytes that it still receives are not counted until its exchange has ended")
        {
            large->add(1000);
            CHECK(budget->used() == 30);
            CHECK(largeRevoked == 1);
            large->clear();
            large->add(5);
            CHECK(budget->used() == 35);
        }
    }
    SECTION("also if that is the one that received them")
    {
        large->add(1);
        CHECK(largeRevoked == 1);
        CHECK(budget->used() == 20);
    }
    SECTION("A connection that ends releases its bytes")
    {
        large.reset();
        CHECK(budget->used() == 20);
        small.add(80);
        CHECK(smallRevoked == 0);
    }
    SECTION("One connection alone can exceed it")
    {
        large->clear();
        small.add(81);
        CHECK(smallRevoked == 1);
        CHECK(budget->used() == 0);
    }
}
