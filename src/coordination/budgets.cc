#include "limpetpier/coordination/budgets.h"

namespace limpetpier {

namespace {

// Maximum number of unused hedges that can accumulate for a burst of slow sub-requests.
constexpr double hedgeBurst = 20;

// Fraction of the budget that the threshold aims to use.
constexpr double targetBudgetUse = 0.6;

// Lower bound of the hedging threshold, because timers and network delays are not more precise than this.
constexpr microseconds minimumThreshold { 1000 };

} // namespace

hedge_policy::hedge_policy(double budget)
    : m_budgetRatio(budget)
    , m_budget(budget, hedgeBurst)
{
}

void hedge_policy::recordServiceTime(microseconds serviceTime)
{
    m_serviceTimes.record(serviceTime);
    m_budget.deposit();
}

microseconds hedge_policy::threshold() const
{
    if (m_budgetRatio <= 0)
        return noHedging();
    const auto quantile = m_serviceTimes.quantile(1 - m_budgetRatio * targetBudgetUse);
    return quantile ? std::max(*quantile, minimumThreshold) : noHedging();
}

} // namespace limpetpier
