#include "limpetpier/coordination/budgets.h"

namespace limpetpier {

namespace {

// Hedges that may be saved up for a burst of stragglers.
constexpr double hedgeBurst = 20;

// Part of the budget that the threshold aims to use.
constexpr double thresholdUse = 0.6;

// No sub-request is hedged earlier than this; timers and links are not finer.
constexpr microseconds leastThreshold { 1000 };

} // namespace

hedge_policy::hedge_policy(double budget)
    : m_share(budget)
    , m_budget(budget, hedgeBurst)
{
}

void hedge_policy::recordServiceTime(microseconds serviceTime)
{
    m_service.record(serviceTime);
    m_budget.deposit();
}

microseconds hedge_policy::threshold() const
{
    if (m_share <= 0)
        return noHedging();
    const auto quantile = m_service.quantile(1 - m_share * thresholdUse);
    return quantile ? std::max(*quantile, leastThreshold) : noHedging();
}

} // namespace limpetpier
