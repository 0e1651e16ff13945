#pragma once

#include <deque>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Limits extra sends to one service in proportion to its requests, plus a fixed number in each window.
//
// An extra send is any arrival at a searcher beyond the first of a request: hedges and retries, whether the searcher
// runs or rejects them. The limit applies to all processes together; each one uses only the share from its own requests
// and its part of the fixed slack.
//
// A token bucket that starts empty: each request adds the share, and a quarter of the slack is added evenly over each
// window. It holds at most the other three quarters plus the share of the newest requests. A new process holds none of
// these three quarters during its first window, in which its predecessor may have used them. What all processes of a
// machine withdraw within a window therefore adds up to the limit of one, even if some of them were killed.
class retry_allowance {
public:
    // share: extra sends allowed per request; slack: this process's part of the fixed number allowed in each window;
    // window: length of the sliding window.
    retry_allowance(double share, double slack, milliseconds window);

    // Replaces the limits. The tokens held are kept as far as the new limits let them be held. A larger slack takes
    // effect one window later: the process that it was taken from may have just used it.
    void changeLimits(double share, double slack, milliseconds window, monotonic_time now);

    // Records a request, which adds to the allowance.
    void recordRequest(monotonic_time now);

    // Takes one extra send from the allowance; false if less than one is left.
    [[nodiscard]] bool tryWithdraw(monotonic_time now);

    // Returns an extra send, which never reached a searcher, to the allowance.
    void refund() { ++m_tokens; }

    // Extra sends that are left now.
    [[nodiscard]] double remaining(monotonic_time now);

    // Adds the tokens that are due. To be called periodically from the start of the process: without a call for a whole
    // window, the process was suspended and starts again like a new one, because others may have used its part.
    void keepAlive(monotonic_time now) { advance(now); }

    // Fraction of the share that is used; the rest covers the newest requests of ended processes and sends that arrive
    // in a later window than they were sent in.
    static constexpr double usableShareFraction = 0.85;

    // Fraction of the slack that can be held; the rest is added over the window.
    static constexpr double heldSlackFraction = 0.75;

    // Fraction of the slack that is added at the end of the first window.
    static constexpr double firstWindowFraction = 0.5;

private:
    struct slice {
        std::int64_t number = 0;
        std::uint32_t requests = 0;
    };
    static constexpr int slicesPerWindow = 20;
    static constexpr int heldSlices = 3; // slices whose requests still count as the newest

    void advance(monotonic_time now);

    double m_share;
    double m_slack;
    double m_nextSlack; // equal to m_slack, or larger and in force from m_nextSlackFrom
    monotonic_time m_nextSlackFrom {};
    milliseconds m_window;
    double m_tokens = 0;
    monotonic_time m_advancedAt {}; // the epoch before the first call
    monotonic_time m_firstWindowEnd {};
    bool m_isFirstWindow = true;
    std::deque<slice> m_slices; // of the newest requests
    std::uint32_t m_newestRequests = 0;
};

} // namespace limpetpier
