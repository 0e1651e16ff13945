#include "limpetpier/coordination/retry_allowance.h"

#include <algorithm>

namespace limpetpier {

retry_allowance::retry_allowance(double share, double slack, milliseconds window)
    : m_share(share)
    , m_slack(slack)
    , m_nextSlack(slack)
    , m_window(std::max(window, milliseconds(slicesPerWindow)))
{
}

void retry_allowance::changeLimits(double share, double slack, milliseconds window, monotonic_time now)
{
    m_share = share;
    const bool isFirst = m_slack == 0; // before the member list was known
    if (isFirst || slack < m_slack)
        m_slack = slack;
    if (slack != m_nextSlack)
        m_nextSlackFrom = now + window;
    m_nextSlack = slack;
    window = std::max(window, milliseconds(slicesPerWindow));
    if (window == m_window)
        return;
    m_window = window;
    m_slices.clear(); // numbered by the length of the old window
    m_newestRequests = 0;
}

void retry_allowance::advance(monotonic_time now)
{
    now = std::max(now, m_advancedAt);
    const auto sliceLength = m_window / slicesPerWindow;
    const auto number = static_cast<std::int64_t>(now.time_since_epoch() / sliceLength);
    while (!m_slices.empty() && m_slices.front().number <= number - heldSlices) {
        m_newestRequests -= m_slices.front().requests;
        m_slices.pop_front();
    }
    if (m_nextSlack > m_slack && now >= m_nextSlackFrom)
        m_slack = m_nextSlack;
    const auto elapsed = now - m_advancedAt;
    m_advancedAt = now;
    if (elapsed > m_window) {
        m_tokens = 0;
        m_isFirstWindow = true;
        m_firstWindowEnd = now + m_window;
        return;
    }
    if (m_isFirstWindow && now >= m_firstWindowEnd) {
        m_isFirstWindow = false;
        m_tokens += firstWindowFraction * m_slack;
    }
    m_tokens += (1 - heldSlackFraction) * m_slack * (std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(m_window));
    const auto heldFraction = heldSlackFraction - (m_isFirstWindow ? firstWindowFraction : 0);
    m_tokens = std::min(m_tokens, heldFraction * m_slack + m_share * usableShareFraction * m_newestRequests);
}

void retry_allowance::recordRequest(monotonic_time now)
{
    advance(now);
    const auto number = static_cast<std::int64_t>(m_advancedAt.time_since_epoch() / (m_window / slicesPerWindow));
    if (m_slices.empty() || m_slices.back().number != number)
        m_slices.push_back({ number, 0 });
    ++m_slices.back().requests;
    ++m_newestRequests;
    m_tokens += m_share * usableShareFraction;
}

double retry_allowance::remaining(monotonic_time now)
{
    advance(now);
    return m_tokens;
}

bool retry_allowance::tryWithdraw(monotonic_time now)
{
    if (remaining(now) < 1)
        return false;
    --m_tokens;
    return true;
}

} // namespace limpetpier
