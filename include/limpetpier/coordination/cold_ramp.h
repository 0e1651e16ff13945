#pragma once

#include <cstdint>
#include <optional>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// How far a searcher has warmed up, which determines its concurrency limit.
enum class ramp_state : std::uint8_t {
    probing, // one request at a time, until a reply arrives
    cold, // up to the configured cold allowance
    growing, // above the cold allowance; one more slot after each run of good replies
    warm, // all slots
};

// Events that indicate whether a searcher is warm.
enum class searcher_event : std::uint8_t {
    good_reply, // reply within the usual service time
    slow_reply, // service time several times the usual one, as is typical of a cold searcher
    refused, // connection refused or reset, or the request was shed
    restarted, // the boot id changed
    returned, // the searcher or its data centre is back in service
};

// Concurrency limit of one searcher, derived from its observed behaviour and not from what it reports about itself.
//
// A searcher starts with one probe at a time and gains slots through good replies. Any sign of a restart resets it to
// one probe at a time.
class cold_ramp {
public:
    // slots: concurrent requests when warm; coldAllowance: concurrent requests when cold, at most slots.
    cold_ramp(std::uint32_t slots, std::uint32_t coldAllowance);

    // Applies changed limits and keeps the current state.
    void changeLimits(std::uint32_t slots, std::uint32_t coldAllowance);

    // Updates the state; repeated slow replies reset it like a restart.
    void observe(searcher_event event);

    // Requests that may run at a time now.
    [[nodiscard]] std::uint32_t concurrencyLimit() const;
    [[nodiscard]] ramp_state state() const { return m_state; }

    // Consecutive good replies that raise the concurrency limit by one.
    static constexpr std::uint32_t repliesPerStep = 20;

private:
    void reset();
    void recordGoodReply();

    std::uint32_t m_slots;
    std::uint32_t m_coldAllowance;
    std::uint32_t m_grownLimit = 0;
    std::uint32_t m_consecutiveGood = 0;
    std::uint32_t m_consecutiveSlow = 0;
    ramp_state m_state = ramp_state::probing;
};

} // namespace limpetpier
