#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "limpetpier/coordination/budgets.h"
#include "limpetpier/coordination/snapshot_selection.h"
#include "limpetpier/state/outcome.h"

namespace limpetpier {

// One match of a search.
struct search_hit {
    double score = 0;
    std::uint64_t key = 0;
    std::string text;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(score, key, text);
    }
};

// Names one try of one piece of a query.
struct attempt_ref {
    std::uint32_t piece = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_ref&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(piece, attempt);
    }
};

// A sub-request to send to the owner of a searcher.
struct sub_request {
    attempt_ref ref;
    searcher_id searcher;
    bool hedge = false;
    microseconds delay { 0 };
};

// A sub-request whose answer is no longer needed.
struct sub_request_cancellation {
    attempt_ref ref;
    searcher_id searcher;
};

// How one sub-request ended.
struct sub_request_result {
    attempt_ref ref;
    outcome result = outcome::outcome_unknown;
    reason why = reason::none;
    held_snapshot from;
    std::vector<search_hit> hits;
};

// A key range without an answer, and why.
struct missing_shard {
    key_range range;
    reason why = reason::none;
};

// What part of the pinned snapshot an answer covers.
struct coverage_report {
    double fraction = 0; // never rounded up to 1
    std::vector<missing_shard> missing;
};

// Runs one fan-out query over the pieces of a pinned snapshot: first tries, failover, hedges, merge and coverage.
//
// Only replies for the pinned snapshot and for exactly the range of their piece are merged, each piece once.
//
//     fan_out_plan plan(pinned, hedges, retries);
//     send(plan.start());
//     while (!plan.complete()) send(plan.onReply(nextReply()));
class fan_out_plan {
public:
    // Replicas of each piece are tried in the given order.
    fan_out_plan(pinned_snapshot pinned, hedge_policy& hedges, ratio_budget& retries);

    std::vector<sub_request> start();
    std::vector<sub_request> onReply(sub_request_result result);
    std::vector<sub_request> onSlowAttempt(attempt_ref ref);

    // The owner that has the try gives no sign of life: asks the other replica, from the retry budget.
    std::vector<sub_request> onUnresponsiveOwner(attempt_ref ref);

    // Tries whose piece has been answered by another try since the last call.
    std::vector<sub_request_cancellation> takeCancellations();

    // Cancels for every try that is still open.
    std::vector<sub_request_cancellation> abandon();

    // True when every piece is answered or has failed for good.
    [[nodiscard]] bool complete() const { return m_open == 0; }

    // True when no replica of some piece holds the pinned snapshot any more.
    [[nodiscard]] bool snapshotLost() const { return m_snapshotLost; }

    [[nodiscard]] coverage_report coverage() const;
    [[nodiscard]] snapshot_id snapshot() const { return m_pinned.snapshot; }
    [[nodiscard]] std::size_t hedgesSent() const { return m_hedgesSent; }
    [[nodiscard]] std::size_t subRequestsSent() const { return m_sent; }

    // The best hits over all merged pieces, best first.
    [[nodiscard]] std::vector<search_hit> bestHits(std::size_t limit) const;

private:
    struct attempt {
        searcher_id searcher;
        bool open = true;
        bool versionGone = false;
    };

    struct piece_state {
        std::vector<attempt> attempts;
        bool answered = false;
        bool failed = false;
        reason lastReason = reason::none;
    };

    sub_request makeSend(std::uint32_t piece, bool hedge);
    std::vector<sub_request> failOver(std::uint32_t piece, bool isFree);
    [[nodiscard]] bool hasReplicaLeft(std::uint32_t piece) const;
    void merge(std::uint32_t piece, sub_request_result result);
    void closePiece(std::uint32_t piece);
    [[nodiscard]] bool isAcceptable(const sub_request_result& result) const;

    pinned_snapshot m_pinned;
    hedge_policy& m_hedges;
    ratio_budget& m_retries;
    std::vector<piece_state> m_pieces;
    std::vector<search_hit> m_hits;
    std::vector<sub_request_cancellation> m_cancels;
    range_set m_covered;
    std::size_t m_open = 0;
    std::size_t m_sent = 0;
    std::size_t m_hedgesSent = 0;
    bool m_snapshotLost = false;
};

} // namespace limpetpier
