#include "limpetpier/coordination/outage_record.h"

#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };
constexpr milliseconds minExpiryOutage { 1200 };

} // namespace

TEST_CASE("Removals are the effect of an outage only for a limited time after its end")
{
    outage_record record(minExpiryOutage);
    CHECK(record.keepRemovedUntil() < start);

    SECTION("An outage begins with its first failure and ends with the first answer")
    {
        CHECK(record.recordFailure(start));
        CHECK_FALSE(record.recordFailure(start + milliseconds(500)));
        CHECK_FALSE(record.isAvailable());
        CHECK(record.recordAnswer(start + milliseconds(1500)));
        CHECK_FALSE(record.recordAnswer(start + milliseconds(1600)));
        CHECK(record.isAvailable());

        SECTION("The time is counted from that answer, not from later ones")
        {
            CHECK(record.restoredBy() == start + milliseconds(1500) + outage_record::restorationTime);
            CHECK(record.keepRemovedUntil() == record.restoredBy() + outage_record::restorationMargin);
        }
        SECTION("A short failure afterwards neither prolongs nor ends it")
        {
            const auto before = record.keepRemovedUntil();
            record.recordFailure(start + milliseconds(2000));
            record.recordAnswer(start + milliseconds(2100));
            CHECK(record.keepRemovedUntil() == before);
        }
        SECTION("Another outage that is long enough begins it anew")
        {
            record.recordFailure(start + milliseconds(2000));
            record.recordAnswer(start + milliseconds(2000) + minExpiryOutage);
            CHECK(record.restoredBy() == start + milliseconds(2000) + minExpiryOutage + outage_record::restorationTime);
        }
    }
    SECTION("No entry expires in a failure shorter than the shortest outage for that, such as a watch that was cut")
    {
        record.recordFailure(start);
        record.recordAnswer(start + minExpiryOutage - milliseconds(1));
        CHECK(record.keepRemovedUntil() < start);
    }
}
