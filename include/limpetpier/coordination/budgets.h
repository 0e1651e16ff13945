#pragma once

#include <algorithm>
#include <cstdint>

#include "limpetpier/coordination/latency_histogram.h"
#include "limpetpier/state/clock.h"

namespace limpetpier {

// Allows extra requests as a share of useful ones, so that extra load cannot grow when little succeeds.
//
//     budget.deposit();              // for each first try that succeeded
//     if (budget.tryWithdraw()) retry();
class ratio_budget {
public:
    // share is the number of extra requests allowed for each earned one; burst bounds what can be saved up.
    ratio_budget(double share, double burst)
        : m_share(share)
        , m_burst(burst)
        , m_balance(burst)
    {
    }

    void deposit() { m_balance = std::min(m_burst, m_balance + m_share); }

    [[nodiscard]] bool tryWithdraw()
    {
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

private:
    double m_share;
    double m_burst;
    double m_balance;
};

// Decides when a running sub-request is a straggler and whether the other replica may be asked as well.
//
// The threshold is the quantile of recent service times that the budget pays for, so the budget is not used up by
// replies that are merely ordinary; the budget itself is only the last guard.
class hedge_policy {
public:
    explicit hedge_policy(double budget);

    void recordServiceTime(microseconds serviceTime);

    // Service time after which a sub-request counts as slow; hedging is off while it is noHedging().
    [[nodiscard]] microseconds threshold() const;

    // Takes one hedge from the budget.
    [[nodiscard]] bool tryWithdrawHedge() { return m_budget.tryWithdraw(); }

    static constexpr microseconds noHedging() { return microseconds::max(); }

private:
    double m_share;
    ratio_budget m_budget;
    latency_histogram m_service;
};

} // namespace limpetpier
