#pragma once

#include <cstdint>
#include <optional>

#include "limpetpier/state/clock.h"

namespace limpetpier {

enum class ramp_state : std::uint8_t {
    probing, // one request at a time, to see whether it answers
    cold, // at most the stated cold allowance
    growing, // above the allowance, one slot more after each run of good replies
    warm, // all slots
};

// What a reply, or its absence, says about a searcher's condition.
enum class searcher_event : std::uint8_t {
    good_reply,
    slow_reply, // far off its record: as a cold searcher answers
    refused, // connection refused or reset, or the request was shed
    restarted, // another boot id
    returned, // its data centre or itself came back into service
};

// How many requests at a time a searcher bears, judged from what it does rather than from what it says of itself.
//
// A searcher starts cold and earns its slots with good replies; any sign of a restart takes it back to one probe at
// a time.
class cold_ramp {
public:
    cold_ramp(std::uint32_t slots, std::uint32_t coldAllowance);

    // Takes over changed limits without losing what the searcher has proved.
    void changeLimits(std::uint32_t slots, std::uint32_t coldAllowance);

    void observe(searcher_event evidence);

    [[nodiscard]] std::uint32_t concurrencyLimit() const;
    [[nodiscard]] ramp_state state() const { return m_state; }

    // Good replies in a row that earn the next step.
    static constexpr std::uint32_t repliesPerStep = 20;

private:
    void restart();
    void step();

    std::uint32_t m_slots;
    std::uint32_t m_coldAllowance;
    std::uint32_t m_grown = 0;
    std::uint32_t m_goodInARow = 0;
    std::uint32_t m_badInARow = 0;
    ramp_state m_state = ramp_state::probing;
};

} // namespace limpetpier
