#include "limpetpier/coordination/failure_record.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours(1) };

} // namespace

TEST_CASE("A searcher of which nothing was seen counts as well")
{
    CHECK(failure_record().failureRate(start) == 0);
}

TEST_CASE("One failure of a rarely asked searcher weighs much")
{
    failure_record record;
    record.record(true, start);
    CHECK(record.failureRate(start) == Approx(0.5));
}

TEST_CASE("One failure among many good outcomes weighs little")
{
    failure_record record;
    for (int outcome = 0; outcome < 18; ++outcome)
        record.record(false, start);
    record.record(true, start);
    CHECK(record.failureRate(start) == Approx(0.05));
}

TEST_CASE("Failures are forgotten, so that the searcher is tried again")
{
    failure_record record;
    record.record(true, start);
    record.record(true, start);
    CHECK(record.failureRate(start + 3 * failure_record::decayTime) < 0.1);
}
