#include "limpetpier/coordination/cold_ramp.h"

#include <algorithm>

namespace limpetpier {

namespace {

// Consecutive slow replies after which the searcher counts as cold. Fewer may be due to single expensive requests.
constexpr std::uint32_t slowRepliesUntilCold = 4;

} // namespace

cold_ramp::cold_ramp(std::uint32_t slots, std::uint32_t coldAllowance)
    : m_slots(slots)
    , m_coldAllowance(std::min(slots, coldAllowance))
{
}

void cold_ramp::changeLimits(std::uint32_t slots, std::uint32_t coldAllowance)
{
    m_slots = slots;
    m_coldAllowance = std::min(slots, coldAllowance);
    m_grownLimit = std::min(m_grownLimit, slots);
}

void cold_ramp::observe(searcher_event event)
{
    switch (event) {
    case searcher_event::good_reply:
        m_consecutiveSlow = 0;
        ++m_consecutiveGood;
        recordGoodReply();
        return;
    case searcher_event::slow_reply:
        m_consecutiveGood = 0;
        if (m_state == ramp_state::probing)
            m_state = ramp_state::cold;
        else if (++m_consecutiveSlow >= slowRepliesUntilCold)
            reset();
        return;
    case searcher_event::refused:
    case searcher_event::restarted:
    case searcher_event::returned:
        reset();
        return;
    }
}

std::uint32_t cold_ramp::concurrencyLimit() const
{
    switch (m_state) {
    case ramp_state::probing:
        return 1;
    case ramp_state::cold:
        return m_coldAllowance;
    case ramp_state::growing:
        return m_grownLimit;
    case ramp_state::warm:
        return m_slots;
    }
    return 1;
}

void cold_ramp::reset()
{
    m_state = ramp_state::probing;
    m_grownLimit = 0;
    m_consecutiveGood = 0;
    m_consecutiveSlow = 0;
}

void cold_ramp::recordGoodReply()
{
    if (m_state == ramp_state::probing) {
        m_state = ramp_state::cold;
        m_consecutiveGood = 0;
        return;
    }
    if (m_state == ramp_state::warm || m_consecutiveGood < repliesPerStep)
        return;
    m_consecutiveGood = 0;
    m_grownLimit = std::max(m_grownLimit, m_coldAllowance) + 1;
    m_state = m_grownLimit >= m_slots ? ramp_state::warm : ramp_state::growing;
}

} // namespace limpetpier
