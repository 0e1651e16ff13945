#include "limpetpier/coordination/retry_allowance.h"

#include <algorithm>

namespace limpetpier {

retry_allowance::retry_allowance(double share, double slack, milliseconds window)
    : m_share(share)
    , m_slack(slack)
    , m_sliceLength(window / slicesPerWindow)
{
}

retry_allowance::slice& retry_allowance::current(monotonic_time now)
{
    const auto number = static_cast<std::int64_t>(now.time_since_epoch() / m_sliceLength);
    // One slice more than the window: any window of that length is covered whole.
    while (!m_slices.empty() && m_slices.front().number < number - slicesPerWindow) {
        m_requests -= m_slices.front().requests;
        m_extra -= m_slices.front().extra;
        m_slices.pop_front();
    }
    if (m_slices.empty() || m_slices.back().number != number)
        m_slices.push_back({ number, 0, 0 });
    return m_slices.back();
}

void retry_allowance::recordRequest(monotonic_time now)
{
    ++current(now).requests;
    ++m_requests;
}

double retry_allowance::remaining(monotonic_time now)
{
    const auto& newest = current(now);
    // Requests of the oldest slice may lie outside the bounds of a window that ends now; they are not counted.
    const auto oldest = m_slices.front().number <= newest.number - slicesPerWindow ? m_slices.front().requests : 0;
    return m_share * usableShareFraction * static_cast<double>(m_requests - oldest) + m_slack - static_cast<double>(m_extra);
}

void retry_allowance::refund()
{
    const auto newest = std::find_if(m_slices.rbegin(), m_slices.rend(), [](const slice& item) { return item.extra > 0; });
    if (newest == m_slices.rend())
        return; // it has left the window
    --newest->extra;
    --m_extra;
}

bool retry_allowance::tryWithdraw(monotonic_time now)
{
    if (remaining(now) < 1)
        return false;
    ++current(now).extra;
    ++m_extra;
    return true;
}

} // namespace limpetpier
