#include "limpetpier/coordination/searcher_gate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };
constexpr microseconds usualServiceTime { 4000 };

gated_request makeRequest(std::uint64_t token, milliseconds timeLeft = milliseconds(1000), bool hedge = false, std::uint32_t priority = 1)
{
    return { gate_token { token }, start + timeLeft, hedge, priority };
}

// A gate whose searcher has warmed up to all its slots.
searcher_gate warmGate(std::uint32_t slots)
{
    searcher_gate gate(slots, 1);
    std::uint64_t token = 1'000'000;
    while (gate.state() != ramp_state::warm) {
        gate.enqueue(makeRequest(++token), start);
        gate.startNext(start);
        gate.finish(gate_token { token }, slot_outcome::served, usualServiceTime, usualServiceTime, start);
    }
    return gate;
}

} // namespace

TEST_CASE("A new searcher starts cold")
{
    searcher_gate gate(4, 2);

    SECTION("gets one probe at a time at first")
    {
        gate.enqueue(makeRequest(1), start);
        gate.enqueue(makeRequest(2), start);
        REQUIRE(gate.startNext(start).has_value());
        REQUIRE_FALSE(gate.startNext(start).has_value());
    }

    SECTION("gets its cold allowance after the first reply")
    {
        gate.enqueue(makeRequest(1), start);
        gate.startNext(start);
        gate.finish(gate_token { 1 }, slot_outcome::served, usualServiceTime, usualServiceTime, start);
        REQUIRE(gate.concurrencyLimit() == 2);
    }
}

TEST_CASE("A warm searcher")
{
    auto gate = warmGate(2);

    SECTION("never runs more requests than slots")
    {
        for (std::uint64_t token = 1; token <= 3; ++token)
            gate.enqueue(makeRequest(token), start);
        REQUIRE(gate.startNext(start).has_value());
        REQUIRE(gate.startNext(start).has_value());
        REQUIRE_FALSE(gate.startNext(start).has_value());
    }

    SECTION("applies a changed number of slots")
    {
        gate.changeLimits(3, 1);
        REQUIRE(gate.concurrencyLimit() == 3);
        gate.changeLimits(1, 1);
        gate.enqueue(makeRequest(1), start);
        gate.enqueue(makeRequest(2), start);
        REQUIRE(gate.startNext(start).has_value());
        REQUIRE_FALSE(gate.startNext(start).has_value());
    }

    SECTION("starts hedges before first attempts, and then by priority")
    {
        gate.enqueue(makeRequest(1, milliseconds(1000), false, 5), start);
        gate.enqueue(makeRequest(2, milliseconds(1000), false, 0), start);
        gate.enqueue(makeRequest(3, milliseconds(1000), true, 5), start);
        REQUIRE(gate.startNext(start)->token == gate_token { 3 });
        REQUIRE(gate.startNext(start)->token == gate_token { 2 });
    }

    SECTION("refuses a request whose expected wait exceeds its deadline")
    {
        for (std::uint64_t token = 1; token <= 40; ++token)
            gate.enqueue(makeRequest(token), start);
        REQUIRE(gate.enqueue(makeRequest(99, milliseconds(5)), start) == reason::queue_full);
    }

    SECTION("drops queued requests whose deadline has passed")
    {
        gate.enqueue(makeRequest(1, milliseconds(10)), start);
        REQUIRE(gate.takeExpired(start + milliseconds(10)).size() == 1);
        REQUIRE_FALSE(gate.startNext(start + milliseconds(10)).has_value());
    }

    SECTION("returns to one probe after a lost connection and keeps the slot taken until the deadline")
    {
        gate.enqueue(makeRequest(1, milliseconds(100)), start);
        gate.startNext(start);
        gate.finish(gate_token { 1 }, slot_outcome::disconnected, usualServiceTime, usualServiceTime, start);
        REQUIRE(gate.concurrencyLimit() == 1);
        REQUIRE(gate.running(start) == 1);
        REQUIRE(gate.running(start + milliseconds(100)) == 0);
    }

    SECTION("returns to one probe after a restart")
    {
        gate.observe(searcher_event::restarted);
        REQUIRE(gate.concurrencyLimit() == 1);
    }

    SECTION("returns to one probe only after several slow replies")
    {
        for (std::uint64_t token = 1; token <= 4; ++token) {
            REQUIRE(gate.state() == ramp_state::warm);
            gate.enqueue(makeRequest(token), start);
            gate.startNext(start);
            gate.finish(gate_token { token }, slot_outcome::served, 10 * usualServiceTime, usualServiceTime, start);
        }
        REQUIRE(gate.state() == ramp_state::probing);
    }
}

TEST_CASE("A gate never exceeds the concurrency limit")
{
    const bool holds = rc::check("running requests within the concurrency limit after any events", [] {
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 6);
        const auto coldAllowance = *rc::gen::inRange<std::uint32_t>(1, slots + 1);
        searcher_gate gate(slots, coldAllowance);
        auto now = start;
        std::uint64_t lastToken = 0;
        std::vector<gate_token> running;
        const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
        for (const auto kind : events) {
            now += milliseconds(1);
            if (kind <= 3) {
                gate.enqueue({ gate_token { ++lastToken }, now + milliseconds(50), kind == 3, 1 }, now);
            } else if (kind == 8) {
                gate.observe(searcher_event::restarted);
            } else if (!running.empty()) {
                const auto outcome = kind == 4 ? slot_outcome::disconnected : (kind == 5 ? slot_outcome::refused : slot_outcome::served);
                gate.finish(running.back(), outcome, usualServiceTime, usualServiceTime, now);
                running.pop_back();
            }
            while (const auto started = gate.startNext(now)) {
                running.push_back(started->token);
                RC_ASSERT(running.size() <= slots);
                RC_ASSERT(gate.running(now) <= std::max(gate.concurrencyLimit(), 1U));
            }
        }
    });
    REQUIRE(holds);
}
