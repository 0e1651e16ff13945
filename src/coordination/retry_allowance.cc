#include "limpetpier/coordination/retry_allowance.h"

#include <algorithm>

namespace limpetpier {

retry_allowance::retry_allowance(double share, double slack, milliseconds window)
    : m_share(share)
    , m_slack(slack)
    , m_sliceLength(sliceLength(window))
{
}

milliseconds retry_allowance::sliceLength(milliseconds window)
{
    return std::max(window / slicesPerWindow, milliseconds(1));
}

void retry_allowance::changeLimits(double share, double slack, milliseconds window)
{
    m_share = share;
    m_slack = slack;
    const auto length = sliceLength(window);
    if (length == m_sliceLength)
        return;
    std::deque<slice> slices;
    for (const auto& old : m_slices) {
        const auto number = old.number * m_sliceLength / length;
        if (slices.empty() || slices.back().number != number)
            slices.push_back({ number, 0, 0 });
        slices.back().requests += old.requests;
        slices.back().extra += old.extra;
    }
    m_slices = std::move(slices);
    m_sliceLength = length;
}

retry_allowance::slice& retry_allowance::currentSlice(monotonic_time now)
{
    const auto number = static_cast<std::int64_t>(now.time_since_epoch() / m_sliceLength);
    // Keeps one slice more than the window, so that the slices cover every window of that length completely.
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
    ++currentSlice(now).requests;
    ++m_requests;
}

double retry_allowance::remaining(monotonic_time now)
{
    const auto& newest = currentSlice(now);
    // Requests of the oldest slice may be older than the window that ends now, so they are not counted.
    const auto oldestRequests = m_slices.front().number <= newest.number - slicesPerWindow ? m_slices.front().requests : 0;
    return m_share * usableShareFraction * static_cast<double>(m_requests - oldestRequests) + m_slack - static_cast<double>(m_extra);
}

void retry_allowance::refund()
{
    const auto newest = std::find_if(m_slices.rbegin(), m_slices.rend(), [](const slice& candidate) { return candidate.extra > 0; });
    if (newest == m_slices.rend())
        return; // already outside the window
    --newest->extra;
    --m_extra;
}

bool retry_allowance::tryWithdraw(monotonic_time now)
{
    if (remaining(now) < 1)
        return false;
    ++currentSlice(now).extra;
    ++m_extra;
    return true;
}

} // namespace limpetpier
