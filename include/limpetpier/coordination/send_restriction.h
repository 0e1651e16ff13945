#pragma once

#include "limpetpier/state/clock.h"
#include "limpetpier/state/searcher_notice.h"

namespace limpetpier {

// Decides from a searcher's notices whether and when this process may send to it. Applies to one start of the searcher.
class send_restriction {
public:
    // A longer pushback is shortened to this time.
    static constexpr milliseconds maxPushback { 600'000 };

    // Applies a notice received at this time. A pushback that ends earlier than the one in force does not shorten it.
    // Returns true if the searcher is restricted further than before.
    bool apply(const searcher_notice& notice, monotonic_time now);

    // Removes the restriction, because the searcher restarted.
    void reset() { *this = {}; }

    // True once the searcher announced that it stops.
    [[nodiscard]] bool isLeaving() const { return m_leaving; }

    // True if a request may be sent now.
    [[nodiscard]] bool allowsSend(monotonic_time now) const { return !m_leaving && now >= m_pushbackEnd; }

    // Earliest time at which a request may be sent; the maximum if the searcher is leaving.
    [[nodiscard]] monotonic_time sendableFrom() const { return m_leaving ? monotonic_time::max() : m_pushbackEnd; }

private:
    bool m_leaving = false;
    monotonic_time m_pushbackEnd {};
};

} // namespace limpetpier
