#pragma once

#include <algorithm>
#include <cstdint>

#include "limpetpier/coordination/latency_histogram.h"
#include "limpetpier/state/clock.h"

namespace limpetpier {

// Token budget that allows extra requests in proportion to successful ones, so that retries can't multiply the load
// while most requests fail.
//
//     budget.deposit();                  // for each success
//     if (budget.tryWithdraw()) retry();
class ratio_budget {
public:
    // ratio: tokens added by each deposit; burst: maximum balance, which is also the initial one.
    ratio_budget(double ratio, double burst)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_balance(burst)
    {
    }

    // Adds the ratio to the balance, up to the burst.
    void deposit() { m_balance = std::min(m_burst, m_balance + m_ratio); }

    // Takes one token; false if less than one is left.
    [[nodiscard]] bool tryWithdraw()
    {
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

private:
    double m_ratio;
    double m_burst;
    double m_balance;
};

// Decides when a running sub-request counts as slow and whether it may be hedged with a request to another replica.
//
// The threshold is the quantile of recent service times above which the budget covers a hedge for each sub-request, so
// that normal replies don't use up the budget. The budget is a hard cap behind the threshold.
class hedge_policy {
public:
    // budget: hedges allowed for each recorded reply; 0 turns hedging off.
    explicit hedge_policy(double budget);

    // Records the service time of a reply and adds to the budget.
    void recordServiceTime(microseconds serviceTime);

    // Service time after which a sub-request counts as slow, at least 1 ms. Returns noHedging() when hedging is off or
    // too few service times were recorded.
    [[nodiscard]] microseconds threshold() const;

    // Takes one hedge from the budget; false if none is left.
    [[nodiscard]] bool tryWithdrawHedge() { return m_budget.tryWithdraw(); }

    // Threshold that no service time reaches.
    static constexpr microseconds noHedging() { return microseconds::max(); }

private:
    double m_budgetRatio;
    ratio_budget m_budget;
    latency_histogram m_serviceTimes;
};

} // namespace limpetpier
