#pragma once

#include <cstddef>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Parts of a query by what became of them; the rest is still open.
struct gather_progress {
    std::size_t done = 0;
    std::size_t failed = 0;
    std::size_t unsent = 0; // no searcher could take them so far
};

// How long an answer takes to leave once it is due: the process may be busy, or the machine slow.
class answer_delay {
public:
    void record(microseconds delay);

    // Rises quickly and falls slowly; zero before the first answer.
    [[nodiscard]] microseconds expected() const { return m_expected; }

private:
    static constexpr double riseGain = 0.5; // weight of a longer delay than expected
    static constexpr double fallGain = 0.1; // weight of a shorter one

    microseconds m_expected { 0 };
};

// Decides when a query over many shards is answered with the parts that are in.
//
// An answer earns by the square of the share of parts in it, and next to nothing once it is late. So all parts are waited
// for until the objective is nearly over; from then on the least coverage is enough.
class gather_policy {
public:
    // leastCoverage: share of the parts that an answer must hold; objective: from the client's first byte to its answer;
    // delay: expected from the decision to the answer's leaving.
    gather_policy(std::size_t parts, double leastCoverage, monotonic_time arrived, milliseconds objective, microseconds delay);

    [[nodiscard]] bool shouldAnswer(const gather_progress& progress, monotonic_time now) const;

    // Too many parts failed for the least coverage, or could not even be sent for a while: a client that is told early
    // can still be served by another process within the objective.
    [[nodiscard]] bool cannotSucceed(const gather_progress& progress, monotonic_time now) const;

    // When the decision may change without a part coming in.
    [[nodiscard]] monotonic_time nextDecisionTime(monotonic_time now) const;

    [[nodiscard]] std::size_t minimumParts() const { return m_least; }

    // From then on the least coverage is enough.
    [[nodiscard]] monotonic_time partialAnswerTime() const { return m_answerAt; }

    // Kept for the ways to and from the client.
    static constexpr milliseconds answerMargin { 9 };

    // A longer delay than this part of the objective is not made up for.
    static constexpr int maxDelayDivisor = 8;

    // Part of the objective in which searchers are waited for.
    static constexpr int unsentWaitDivisor = 5;

private:
    std::size_t m_parts;
    std::size_t m_least;
    monotonic_time m_answerAt;
    monotonic_time m_unsentUntil;
};

} // namespace limpetpier
