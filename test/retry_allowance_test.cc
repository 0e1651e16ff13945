#include "limpetpier/coordination/retry_allowance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };
constexpr milliseconds window { 10'000 };

} // namespace

TEST_CASE("An extra send that reached no searcher can be refunded")
{
    retry_allowance allowance(0.2, 1, window);
    REQUIRE(allowance.tryWithdraw(start));
    REQUIRE_FALSE(allowance.tryWithdraw(start));
    allowance.refund();
    CHECK(allowance.tryWithdraw(start + milliseconds(1)));
}

TEST_CASE("Extra sends in any window stay within the share of its requests plus the slack")
{
    retry_allowance allowance(0.2, 4, window);
    std::mt19937 generator(5);
    std::vector<monotonic_time> requests;
    std::vector<monotonic_time> extras;
    auto now = start;
    for (int step = 0; step < 20'000; ++step) {
        now += milliseconds(std::uniform_int_distribution<>(0, 30)(generator));
        // Alternates bursts of requests with pauses; tries more extra sends than allowed throughout.
        if ((step / 2000) % 2 == 0 && generator() % 2 == 0) {
            allowance.recordRequest(now);
            requests.push_back(now);
        } else if (allowance.tryWithdraw(now)) {
            extras.push_back(now);
        }
    }
    REQUIRE(extras.size() > 100);
    const auto countWithin = [](const std::vector<monotonic_time>& times, monotonic_time from, monotonic_time to) {
        return static_cast<double>(std::upper_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from));
    };
    for (const auto& end : extras) {
        const auto from = end - window;
        CHECK(countWithin(extras, from, end) <= 0.2 * countWithin(requests, from, end) + 4);
    }
}

TEST_CASE("The slack allows extra sends without any requests")
{
    retry_allowance allowance(0.2, 2, window);
    CHECK(allowance.tryWithdraw(start));
    CHECK(allowance.tryWithdraw(start));
    CHECK_FALSE(allowance.tryWithdraw(start));
    CHECK(allowance.tryWithdraw(start + 2 * window));
}

TEST_CASE("Changed limits apply to a budget in use")
{
    retry_allowance allowance(0.2, 0, window);
    for (int request = 0; request < 100; ++request)
        allowance.recordRequest(start);
    const auto now = start + window / 2;
    for (int extra = 0; extra < 10; ++extra)
        REQUIRE(allowance.tryWithdraw(now));
    const auto before = allowance.remaining(now);

    SECTION("a larger share allows more extra sends for the requests so far")
    {
        allowance.changeLimits(0.4, 0, window);
        CHECK(allowance.remaining(now) == Approx(before + 0.2 * retry_allowance::usableShareFraction * 100));
    }
    SECTION("a smaller share can leave none")
    {
        allowance.changeLimits(0.05, 0, window);
        CHECK_FALSE(allowance.tryWithdraw(now));
    }
    SECTION("a longer window counts the requests and extra sends so far for longer")
    {
        allowance.changeLimits(0.2, 0, 3 * window);
        CHECK(allowance.remaining(now) == Approx(before));
        CHECK(allowance.remaining(start + 2 * window) == Approx(before));
        CHECK(allowance.remaining(start + 5 * window) == Approx(0));
    }
    SECTION("a shorter window forgets them earlier")
    {
        allowance.changeLimits(0.2, 5, window / 10);
        CHECK(allowance.remaining(start + window) == Approx(5));
    }
}
