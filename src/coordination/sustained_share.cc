#include "limpetpier/coordination/sustained_share.h"

#include <algorithm>

namespace limpetpier {

void sustained_share::set(double part, monotonic_time now)
{
    keepAlive(now);
    if (part == m_part)
        return;
    m_part = part;
    m_changes.push_back({ now, part });
}

void sustained_share::keepAlive(monotonic_time now)
{
    if (m_changes.empty() || now - m_aliveAt > m_maxSilence) {
        m_changes.assign({ { now, 0 } });
        if (m_part > 0)
            m_changes.push_back({ now, m_part });
    }
    m_aliveAt = now;
}

double sustained_share::usable(monotonic_time now)
{
    keepAlive(now);
    while (m_changes.size() > 1 && m_changes[1].at <= now - m_window)
        m_changes.pop_front();
    return std::min_element(m_changes.begin(), m_changes.end(), [](const change& left, const change& right) { return left.part < right.part; })->part;
}

} // namespace limpetpier
