#include "limpetpier/coordination/searcher_gate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };
constexpr microseconds usual { 4000 };

gated_request item(std::uint64_t token, milliseconds left = milliseconds(1000), bool hedge = false, std::uint32_t priority = 1)
{
    return { gate_token { token }, start + left, hedge, priority };
}

// A gate whose searcher has earned all its slots.
searcher_gate warmGate(std::uint32_t slots)
{
    searcher_gate gate(slots, 1);
    std::uint64_t token = 1'000'000;
    while (gate.state() != ramp_state::warm) {
        gate.enqueue(item(++token), start);
        gate.startNext(start);
        gate.finish(gate_token { token }, slot_outcome::served, usual, usual, start);
    }
    return gate;
}

} // namespace

TEST_CASE("A searcher is cold until it proves otherwise")
{
    searcher_gate gate(4, 2);

    SECTION("one probe at a time goes first")
    {
        gate.enqueue(item(1), start);
        gate.enqueue(item(2), start);
        REQUIRE(gate.startNext(start).has_value());
        REQUIRE_FALSE(gate.startNext(start).has_value());
    }

    SECTION("after the first reply it bears its cold allowance")
    {
        gate.enqueue(item(1), start);
        gate.startNext(start);
        gate.finish(gate_token { 1 }, slot_outcome::served, usual, usual, start);
        REQUIRE(gate.concurrencyLimit() == 2);
    }
}

TEST_CASE("A warm searcher")
{
    auto gate = warmGate(2);

    SECTION("never has more requests than slots")
    {
        for (std::uint64_t token = 1; token <= 3; ++token)
            gate.enqueue(item(token), start);
        REQUIRE(gate.startNext(start).has_value());
        REQUIRE(gate.startNext(start).has_value());
        REQUIRE_FALSE(gate.startNext(start).has_value());
    }

    SECTION("takes over changed slots while it runs")
    {
        gate.changeLimits(3, 1);
        REQUIRE(gate.concurrencyLimit() == 3);
        gate.changeLimits(1, 1);
        gate.enqueue(item(1), start);
        gate.enqueue(item(2), start);
        REQUIRE(gate.startNext(start).has_value());
        REQUIRE_FALSE(gate.startNext(start).has_value());
    }

    SECTION("serves hedges before first tries, and urgent classes before others")
    {
        gate.enqueue(item(1, milliseconds(1000), false, 5), start);
        gate.enqueue(item(2, milliseconds(1000), false, 0), start);
        gate.enqueue(item(3, milliseconds(1000), true, 5), start);
        REQUIRE(gate.startNext(start)->token == gate_token { 3 });
        REQUIRE(gate.startNext(start)->token == gate_token { 2 });
    }

    SECTION("refuses at once what cannot be served in time")
    {
        for (std::uint64_t token = 1; token <= 40; ++token)
            gate.enqueue(item(token), start);
        REQUIRE(gate.enqueue(item(99, milliseconds(5)), start) == reason::queue_full);
    }

    SECTION("drops what waited past its deadline")
    {
        gate.enqueue(item(1, milliseconds(10)), start);
        REQUIRE(gate.takeExpired(start + milliseconds(10)).size() == 1);
        REQUIRE_FALSE(gate.startNext(start + milliseconds(10)).has_value());
    }

    SECTION("goes back to one probe when a connection breaks, and keeps the slot until the deadline")
    {
        gate.enqueue(item(1, milliseconds(100)), start);
        gate.startNext(start);
        gate.finish(gate_token { 1 }, slot_outcome::disconnected, usual, usual, start);
        REQUIRE(gate.concurrencyLimit() == 1);
        REQUIRE(gate.running(start) == 1);
        REQUIRE(gate.running(start + milliseconds(100)) == 0);
    }

    SECTION("goes back to one probe when it was restarted")
    {
        gate.observe(searcher_event::restarted);
        REQUIRE(gate.concurrencyLimit() == 1);
    }

    SECTION("goes back to one probe after several slow replies, not after one")
    {
        for (std::uint64_t token = 1; token <= 4; ++token) {
            REQUIRE(gate.state() == ramp_state::warm);
            gate.enqueue(item(token), start);
            gate.startNext(start);
            gate.finish(gate_token { token }, slot_outcome::served, 10 * usual, usual, start);
        }
        REQUIRE(gate.state() == ramp_state::probing);
    }
}

TEST_CASE("A gate never exceeds what the searcher bears")
{
    const bool holds = rc::check("in flight within the allowance after any events", [] {
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 6);
        const auto cold = *rc::gen::inRange<std::uint32_t>(1, slots + 1);
        searcher_gate gate(slots, cold);
        auto now = start;
        std::uint64_t next = 0;
        std::vector<gate_token> running;
        const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
        for (const auto kind : events) {
            now += milliseconds(1);
            if (kind <= 3) {
                gate.enqueue({ gate_token { ++next }, now + milliseconds(50), kind == 3, 1 }, now);
            } else if (kind == 8) {
                gate.observe(searcher_event::restarted);
            } else if (!running.empty()) {
                const auto end = kind == 4 ? slot_outcome::disconnected : (kind == 5 ? slot_outcome::refused : slot_outcome::served);
                gate.finish(running.back(), end, usual, usual, now);
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
