#include "limpetpier/coordination/gather_policy.h"

#include <algorithm>
#include <cmath>

namespace limpetpier {

namespace {

// Compensates for the binary representation of decimal fractions: 0.85 of 20 must be 17, even if the
// product is slightly larger in binary.
constexpr double roundingTolerance = 1e-9;

} // namespace

void answer_delay::record(microseconds delay)
{
    const double gain = delay > m_expected ? riseGain : fallGain;
    m_expected += std::chrono::duration_cast<microseconds>(gain * (delay - m_expected));
}

gather_policy::gather_policy(std::size_t parts, double minimumCoverage, monotonic_time arrived, milliseconds objective, milliseconds waited, microseconds delay)
    : m_parts(parts)
    , m_minimumParts(std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(minimumCoverage * static_cast<double>(parts) - roundingTolerance))))
    , m_partialAnswerTime(arrived + objective - std::min(waited, objective / maxWaitDivisor) - answerMargin - std::min<microseconds>(delay, objective / maxDelayDivisor))
    , m_unsentDeadline(arrived + objective / unsentWaitDivisor)
{
}

bool gather_policy::shouldAnswer(const gather_progress& progress, monotonic_time now) const
{
    if (progress.done < m_minimumParts)
        return false;
    return progress.done + progress.failed >= m_parts || now >= m_partialAnswerTime;
}

bool gather_policy::cannotSucceed(const gather_progress& progress, monotonic_time now) const
{
    const auto failed = progress.failed + (now >= m_unsentDeadline ? progress.unsent : 0);
    return m_parts - failed < m_minimumParts;
}

monotonic_time gather_policy::coverageSendableFrom(std::vector<monotonic_time> sendableFrom) const
{
    if (m_minimumParts > sendableFrom.size())
        return monotonic_time::max();
    const auto decisive = sendableFrom.begin() + static_cast<std::ptrdiff_t>(m_minimumParts) - 1;
    std::nth_element(sendableFrom.begin(), decisive, sendableFrom.end());
    return *decisive;
}

monotonic_time gather_policy::nextDecisionTime(monotonic_time now) const
{
    if (now < m_unsentDeadline)
        return m_unsentDeadline;
    return now < m_partialAnswerTime ? m_partialAnswerTime : monotonic_time::max();
}

} // namespace limpetpier
