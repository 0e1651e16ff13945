#include "limpetpier/coordination/send_restriction.h"

#include <algorithm>

namespace limpetpier {

bool send_restriction::apply(const searcher_notice& notice, monotonic_time now)
{
    const bool startsToLeave = notice.leaving && !m_leaving;
    m_leaving = m_leaving || notice.leaving;
    if (!notice.pushback)
        return startsToLeave;
    const monotonic_time end = now + std::clamp(*notice.pushback, milliseconds(0), maxPushback);
    const bool extended = end > std::max(m_pushbackEnd, now);
    m_pushbackEnd = std::max(m_pushbackEnd, end);
    return startsToLeave || extended;
}

} // namespace limpetpier
