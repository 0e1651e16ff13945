#include "limpetpier/coordination/part_merge.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

std::string record(char byte)
{
    return std::string(recordBytes, byte);
}

} // namespace

TEST_CASE("The greatest records of all parts are returned in descending order")
{
    CHECK(mergeParts({ record('a') + record('d'), record('c') + record('b') }, 3) == record('d') + record('c') + record('b'));
}

TEST_CASE("Duplicate records are kept")
{
    CHECK(mergeParts({ record('a'), record('a') + record('a') }, 2) == record('a') + record('a'));
}

TEST_CASE("A remainder shorter than a record is ignored")
{
    CHECK(mergeParts({ record('a') + "zzz" }, 5) == record('a'));
}

TEST_CASE("Records compare as unsigned bytes")
{
    CHECK(mergeParts({ record('\x7F') + record('\x80') }, 1) == record('\x80'));
}

TEST_CASE("Parts without a complete record give an empty result")
{
    CHECK(mergeParts({ "", "short" }, 5).empty());
}
