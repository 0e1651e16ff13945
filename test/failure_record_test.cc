#include "limpetpier/coordination/failure_record.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours(1) };

} // namespace

TEST_CASE("A searcher without recorded outcomes has a failure rate of zero")
{
    CHECK(failure_record().failureRate(start) == 0);
}

TEST_CASE("A single failure without other outcomes gives a high failure rate")
{
    failure_record record;
    record.record(true, start);
    CHECK(record.failureRate(start) == Approx(0.5));
}

TEST_CASE("A single failure among many successes gives a low failure rate")
{
    failure_record record;
    for (int outcome = 0; outcome < 18; ++outcome)
        record.record(false, start);
    record.record(true, start);
    CHECK(record.failureRate(start) == Approx(0.05));
}

TEST_CASE("The failure rate decays, so that the searcher is tried again")
{
    failure_record record;
    record.record(true, start);
    record.record(true, start);
    CHECK(record.failureRate(start + 3 * failure_record::decayTime) < 0.1);
}
