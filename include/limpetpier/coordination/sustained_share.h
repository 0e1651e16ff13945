#pragma once

#include <deque>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// The part of a limit per sliding window, shared by all processes, that this process may use: the smallest part that it
// held at any moment of the last window. A process that has just started held nothing before.
//
// So a part is never used twice within a window. A restarted process does not repeat what its predecessor has used, and
// what a leaving process may have used just before is taken over a window later.
class sustained_share {
public:
    // window: of the limit; maxSilence: longest time between two calls of keepAlive() after which the other processes
    // still count this one as a member.
    sustained_share(milliseconds window, milliseconds maxSilence)
        : m_window(window)
        , m_maxSilence(maxSilence)
    {
    }

    // Replaces the window.
    void changeWindow(milliseconds window) { m_window = window; }

    // Sets the part that the list of members gives this process now.
    void set(double part, monotonic_time now);

    // To be called periodically. After a longer silence the process was suspended and counts as newly started, because
    // others may have taken over its part.
    void keepAlive(monotonic_time now);

    // Returns the part that may be used now.
    [[nodiscard]] double usable(monotonic_time now);

private:
    struct change {
        monotonic_time at;
        double part;
    };

    milliseconds m_window;
    milliseconds m_maxSilence;
    std::deque<change> m_changes; // the first one is in force since the start of the window or earlier
    double m_part = 0; // the latest
    monotonic_time m_aliveAt {};
};

} // namespace limpetpier
