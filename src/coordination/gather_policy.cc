#include "limpetpier/coordination/gather_policy.h"

#include <cmath>

namespace limpetpier {

namespace {

// Shares are decimal fractions: 0.85 of 20 is 17, whatever its binary form.
constexpr double rounding = 1e-9;

} // namespace

void answer_delay::record(microseconds delay)
{
    const double gain = delay > m_expected ? riseGain : fallGain;
    m_expected += std::chrono::duration_cast<microseconds>(gain * (delay - m_expected));
}

gather_policy::gather_policy(std::size_t parts, double leastCoverage, monotonic_time arrived, milliseconds objective, microseconds delay)
    : m_parts(parts)
    , m_least(std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(leastCoverage * static_cast<double>(parts) - rounding))))
    , m_answerAt(arrived + objective - answerMargin - std::min<microseconds>(delay, objective / maxDelayDivisor))
    , m_unsentUntil(arrived + objective / unsentWaitDivisor)
{
}

bool gather_policy::shouldAnswer(const gather_progress& progress, monotonic_time now) const
{
    if (progress.done < m_least)
        return false;
    return progress.done + progress.failed >= m_parts || now >= m_answerAt;
}

bool gather_policy::cannotSucceed(const gather_progress& progress, monotonic_time now) const
{
    const auto lost = progress.failed + (now >= m_unsentUntil ? progress.unsent : 0);
    return m_parts - lost < m_least;
}

monotonic_time gather_policy::nextDecisionTime(monotonic_time now) const
{
    if (now < m_unsentUntil)
        return m_unsentUntil;
    return now < m_answerAt ? m_answerAt : monotonic_time::max();
}

} // namespace limpetpier
