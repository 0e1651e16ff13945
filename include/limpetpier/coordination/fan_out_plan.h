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

// Identifies one attempt at one piece of a query; both are zero-based indices.
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

// A sub-request to send to the owner of a searcher after the delay.
struct sub_request {
    attempt_ref ref;
    searcher_id searcher;
    bool hedge = false;
    microseconds delay { 0 };
};

// A sub-request whose reply is no longer needed.
struct sub_request_cancellation {
    attempt_ref ref;
    searcher_id searcher;
};

// Result of one sub-request; hits are of the snapshot and key range in from.
struct sub_request_result {
    attempt_ref ref;
    outcome result = outcome::outcome_unknown;
    reason why = reason::none;
    held_snapshot from;
    std::vector<search_hit> hits;
};

// A key range that is missing from an answer, and the reason.
struct missing_shard {
    key_range range;
    reason why = reason::none;
};

// The part of the key space that an answer covers.
struct coverage_report {
    double fraction = 0; // 1 only if no key is missing; never rounded up
    std::vector<missing_shard> missing;
};

// State of one fan-out query over the pieces of a pinned snapshot: first attempts, failover, hedges, merging and
// coverage. Sends nothing itself; returns the sub-requests to send.
//
// Merges only replies for the pinned snapshot and for exactly the key range of their piece, and each piece once.
//
//     fan_out_plan plan(pinned, hedges, retries);
//     send(plan.start());
//     while (!plan.complete()) send(plan.onReply(nextReply()));
class fan_out_plan {
public:
    // Replicas of each piece are tried in the given order. hedges and retries must outlive the plan.
    fan_out_plan(pinned_snapshot pinned, hedge_policy& hedges, ratio_budget& retries);

    // Returns the first attempt of every piece.
    std::vector<sub_request> start();

    // Merges a reply; after a failure returns a further attempt if no other one is open and the retry limits allow it.
    // Ignores replies of unknown or finished attempts.
    std::vector<sub_request> onReply(sub_request_result result);

    // The attempt exceeded the hedging threshold: returns a hedge if another replica is left and the hedge budget
    // allows.
    std::vector<sub_request> onSlowAttempt(attempt_ref ref);

    // The owner that holds the attempt doesn't respond: returns an attempt at another replica if one is left and the
    // retry budget allows.
    std::vector<sub_request> onUnresponsiveOwner(attempt_ref ref);

    // Cancellations of attempts whose piece was answered by another attempt since the last call.
    std::vector<sub_request_cancellation> takeCancellations();

    // Ends the query and returns cancellations of all open attempts. Unanswered pieces without another reason are
    // reported with deadline_passed.
    std::vector<sub_request_cancellation> abandon();

    // True when every piece is answered or has failed permanently.
    [[nodiscard]] bool complete() const { return m_openPieces == 0; }

    // True when all replicas of a piece reported that they no longer hold the pinned snapshot.
    [[nodiscard]] bool snapshotLost() const { return m_snapshotLost; }

    // Covered fraction of the key space and the missing ranges, including ranges that no piece covers.
    [[nodiscard]] coverage_report coverage() const;
    [[nodiscard]] snapshot_id snapshot() const { return m_pinned.snapshot; }
    [[nodiscard]] std::size_t hedgesSent() const { return m_hedgesSent; }
    [[nodiscard]] std::size_t subRequestsSent() const { return m_subRequestsSent; }

    // The best hits of all merged pieces, by descending score and then ascending key.
    [[nodiscard]] std::vector<search_hit> bestHits(std::size_t limit) const;

private:
    struct attempt {
        searcher_id searcher;
        bool open = true;
        bool lostSnapshot = false;
    };

    struct piece_state {
        std::vector<attempt> attempts;
        bool answered = false;
        bool failed = false;
        reason lastReason = reason::none;
    };

    sub_request makeSend(std::uint32_t piece, bool hedge);
    std::vector<sub_request> failOver(std::uint32_t piece, bool isFreeRetry);
    [[nodiscard]] bool hasReplicaLeft(std::uint32_t piece) const;
    void merge(std::uint32_t piece, sub_request_result result);
    void closePiece(std::uint32_t piece);
    [[nodiscard]] bool isAcceptable(const sub_request_result& result) const;

    pinned_snapshot m_pinned;
    hedge_policy& m_hedges;
    ratio_budget& m_retries;
    std::vector<piece_state> m_pieces;
    std::vector<search_hit> m_hits;
    std::vector<sub_request_cancellation> m_cancellations;
    range_set m_covered;
    std::size_t m_openPieces = 0;
    std::size_t m_subRequestsSent = 0;
    std::size_t m_hedgesSent = 0;
    bool m_snapshotLost = false;
};

} // namespace limpetpier
