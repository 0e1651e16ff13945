#pragma once

#include <deque>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Limits extra sends to one service in proportion to its requests in a sliding window.
//
// An extra send is any arrival at a searcher beyond the first of a request: hedges and retries, whether the searcher
// runs or rejects them. The limit applies to all processes together; each one uses only the share from its own requests
// and its part of the fixed slack.
class retry_allowance {
public:
    // share: extra sends allowed per request; slack: this process's part of the fixed number allowed in each window;
    // window: length of the sliding window.
    retry_allowance(double share, double slack, milliseconds window);

    // Replaces the limits. What was recorded so far still counts, in the window of the new length.
    void changeLimits(double share, double slack, milliseconds window);

    // Records a request, which adds to the allowance.
    void recordRequest(monotonic_time now);

    // Takes one extra send from the allowance; false if less than one is left in the window.
    [[nodiscard]] bool tryWithdraw(monotonic_time now);

    // Returns the newest extra send, which never reached a searcher, to the allowance.
    void refund();

    // Extra sends that are left now; negative after the window lost requests whose extra sends it still contains.
    [[nodiscard]] double remaining(monotonic_time now);

    // Fraction of the share that is used; the rest is reserved for sends that arrive in a later window than they were
    // sent in.
    static constexpr double usableShareFraction = 0.85;

private:
    struct slice {
        std::int64_t number = 0;
        std::uint32_t requests = 0;
        std::uint32_t extra = 0;
    };
    static constexpr int slicesPerWindow = 10;

    static milliseconds sliceLength(milliseconds window);
    slice& currentSlice(monotonic_time now);

    double m_share;
    double m_slack;
    milliseconds m_sliceLength;
    std::deque<slice> m_slices;
    std::uint64_t m_requests = 0;
    std::uint64_t m_extra = 0;
};

} // namespace limpetpier
