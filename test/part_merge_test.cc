#include "limpetpier/coordination/part_merge.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

std::string record(char letter)
{
    return std::string(recordBytes, letter);
}

} // namespace

TEST_CASE("The greatest records of all parts come first")
{
    CHECK(mergeParts({ record('a') + record('d'), record('c') + record('b') }, 3) == record('d') + record('c') + record('b'));
}

TEST_CASE("Equal records all count")
{
    CHECK(mergeParts({ record('a'), record('a') + record('a') }, 2) == record('a') + record('a'));
}

TEST_CASE("A remainder shorter than a record is left out")
{
    CHECK(mergeParts({ record('a') + "zzz" }, 5) == record('a'));
}

TEST_CASE("Records compare as unsigned bytes")
{
    CHECK(mergeParts({ record('\x7F') + record('\x80') }, 1) == record('\x80'));
}

TEST_CASE("No records make an empty answer")
{
    CHECK(mergeParts({ "", "short" }, 5).empty());
}
