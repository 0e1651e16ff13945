#pragma once

#include <cstddef>
#include <vector>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Number of parts of a query by state; parts that are not counted were sent and have no reply.
struct gather_progress {
    std::size_t done = 0;
    std::size_t failed = 0;
    std::size_t unsent = 0; // no searcher has accepted them
};

// Smoothed delay between the decision to answer and the sending of the answer, which grows on a busy process or a slow
// machine.
class answer_delay {
public:
    // Records the delay of one answer.
    void record(microseconds delay);

    // Follows increases quickly and decreases slowly; zero before the first answer.
    [[nodiscard]] microseconds expected() const { return m_expected; }

private:
    static constexpr double riseGain = 0.5; // weight of a delay above the expected one
    static constexpr double fallGain = 0.1; // weight of a delay below the expected one

    microseconds m_expected { 0 };
};

// Decides when a query over many shards is answered with the parts received so far.
//
// The value of an answer is the square of the fraction of parts in it, and nearly zero once the latency objective has
// passed. So the policy waits for all parts until shortly before the objective, and then accepts the minimum coverage.
class gather_policy {
public:
    // minimumCoverage: fraction of the parts that an answer must contain, rounded up to a whole number of at least one
    // part; objective: from the first byte of the client's request to its answer; waited: by the client before its
    // request arrived; delay: expected between the decision and the sending of the answer.
    gather_policy(std::size_t parts, double minimumCoverage, monotonic_time arrived, milliseconds objective, milliseconds waited, microseconds delay);

    // True when the minimum coverage is reached and either no part is open or partialAnswerTime() has come.
    [[nodiscard]] bool shouldAnswer(const gather_progress& progress, monotonic_time now) const;

    // True when too many parts have failed for the minimum coverage. Parts that are still unsent after a fraction of
    // the objective count as failed: a client that gets an error early can still be served by another process in time.
    [[nodiscard]] bool cannotSucceed(const gather_progress& progress, monotonic_time now) const;

    // Returns the earliest time at which the minimum coverage can be sent. sendableFrom holds for each part the time from
    // which one of its searchers may be sent a request; the maximum if there is none.
    [[nodiscard]] monotonic_time coverageSendableFrom(std::vector<monotonic_time> sendableFrom) const;

    // Time until which a part waits for a searcher to accept it.
    [[nodiscard]] monotonic_time unsentDeadline() const { return m_unsentDeadline; }

    // Next time at which a decision may change without a further reply; maximum if there is none.
    [[nodiscard]] monotonic_time nextDecisionTime(monotonic_time now) const;

    // Minimum coverage as a number of parts.
    [[nodiscard]] std::size_t minimumParts() const { return m_minimumParts; }

    // Time from which the minimum coverage is sufficient.
    [[nodiscard]] monotonic_time partialAnswerTime() const { return m_partialAnswerTime; }

    // Reserved for the network between client and process, both ways.
    static constexpr milliseconds answerMargin { 9 };

    // Compensates for at most this fraction (1/n) of the objective as delay.
    static constexpr int maxDelayDivisor = 8;

    // Compensates for a client's wait of at most this fraction (1/n) of the objective.
    static constexpr int maxWaitDivisor = 4;

    // Waits for a searcher to accept a part for this fraction (1/n) of the objective.
    static constexpr int unsentWaitDivisor = 5;

private:
    std::size_t m_parts;
    std::size_t m_minimumParts;
    monotonic_time m_partialAnswerTime;
    monotonic_time m_unsentDeadline;
};

} // namespace limpetpier
