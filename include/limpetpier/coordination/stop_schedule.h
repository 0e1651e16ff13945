#pragma once

#include <algorithm>

#include "limpetpier/state/routing_table.h"

namespace limpetpier {

// Times of a planned stop, from the termination signal to the forced exit, and which requests are accepted during it.
class stop_schedule {
public:
    // grace: from the termination signal at startedAt to the forced exit.
    stop_schedule(monotonic_time startedAt, milliseconds grace)
        : m_startedAt(startedAt)
        , m_reserve(std::min(maxReserve, grace / reserveDivisor))
        , m_answersDue(startedAt + grace - m_reserve)
    {
    }

    [[nodiscard]] monotonic_time startedAt() const { return m_startedAt; }

    // Time at which every running request gets its answer, whatever is known of it.
    [[nodiscard]] monotonic_time answersDue() const { return m_answersDue; }

    // Time at which the process ends although answers are not written completely.
    [[nodiscard]] monotonic_time exitDue() const { return m_answersDue + m_reserve / 2; }

    // Returns whether a request with the given deadline is accepted. One that may not be repeated must be able to end in
    // time, as nobody could tell whether it was executed; another one only needs a fair chance of a result.
    [[nodiscard]] bool admits(const route& rule, monotonic_time deadline, monotonic_time now) const
    {
        const auto neededUntil = rule.retryPolicy == retry_policy::safe ? std::min<monotonic_time>(deadline, now + rule.latencyObjective) : deadline;
        return neededUntil <= m_answersDue;
    }

private:
    // Time reserved before the forced exit for writing the last answers: a fraction (1/n) of the grace period, at most
    // maxReserve.
    static constexpr milliseconds maxReserve { 1000 };
    static constexpr int reserveDivisor = 6;

    monotonic_time m_startedAt;
    milliseconds m_reserve;
    monotonic_time m_answersDue;
};

} // namespace limpetpier
