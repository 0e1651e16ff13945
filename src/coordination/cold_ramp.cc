#include "limpetpier/coordination/cold_ramp.h"

#include <algorithm>

namespace limpetpier {

namespace {

// Slow replies in a row that mean the searcher is cold rather than that one request was hard.
constexpr std::uint32_t slowRepliesMeanCold = 4;

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
    m_grown = std::min(m_grown, slots);
}

void cold_ramp::observe(searcher_event evidence)
{
    switch (evidence) {
    case searcher_event::good_reply:
        m_badInARow = 0;
        ++m_goodInARow;
        step();
        return;
    case searcher_event::slow_reply:
        m_goodInARow = 0;
        if (m_state == ramp_state::probing)
            m_state = ramp_state::cold;
        else if (++m_badInARow >= slowRepliesMeanCold)
            restart();
        return;
    case searcher_event::refused:
    case searcher_event::restarted:
    case searcher_event::returned:
        restart();
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
        return m_grown;
    case ramp_state::warm:
        return m_slots;
    }
    return 1;
}

void cold_ramp::restart()
{
    m_state = ramp_state::probing;
    m_grown = 0;
    m_goodInARow = 0;
    m_badInARow = 0;
}

void cold_ramp::step()
{
    if (m_state == ramp_state::probing) {
        m_state = ramp_state::cold;
        m_goodInARow = 0;
        return;
    }
    if (m_state == ramp_state::warm || m_goodInARow < repliesPerStep)
        return;
    m_goodInARow = 0;
    m_grown = std::max(m_grown, m_coldAllowance) + 1;
    m_state = m_grown >= m_slots ? ramp_state::warm : ramp_state::growing;
}

} // namespace limpetpier
