#pragma once

#include <deque>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Requests and extra sends to one service in a sliding window, and whether another extra send is allowed.
//
// An extra send is any arrival beyond the first of a request: hedges and retries, whether the searcher runs or rejects
// them. The bound is counted over all processes; each spends only what its own requests earned and its part of the
// fixed slack.
class retry_allowance {
public:
    // share: extra sends for each request; slack: this process's part of the fixed allowance.
    retry_allowance(double share, double slack, milliseconds window);

    void changeSlack(double slack) { m_slack = slack; }

    void recordRequest(monotonic_time now);

    // Takes one extra send; false if the window has none left.
    [[nodiscard]] bool tryWithdraw(monotonic_time now);

    // Gives back the newest extra send, which never reached a searcher.
    void refund();

    // Extra sends left at this moment.
    [[nodiscard]] double remaining(monotonic_time now);

    // Part of the share that is spent: the rest covers sends that arrive in another window than they left in.
    static constexpr double usableShareFraction = 0.85;

private:
    struct slice {
        std::int64_t number = 0;
        std::uint32_t requests = 0;
        std::uint32_t extra = 0;
    };
    static constexpr int slicesPerWindow = 10;

    slice& current(monotonic_time now);

    double m_share;
    double m_slack;
    milliseconds m_sliceLength;
    std::deque<slice> m_slices;
    std::uint64_t m_requests = 0;
    std::uint64_t m_extra = 0;
};

} // namespace limpetpier
