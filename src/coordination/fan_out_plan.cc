#include "limpetpier/coordination/fan_out_plan.h"

#include <algorithm>
#include <cmath>

namespace limpetpier {

namespace {

// Maximum number of attempts per replica of a piece.
constexpr std::size_t attemptsPerReplica = 2;

// Delay before the second attempt at the same replica, so that an epoch change or a restart can complete.
constexpr microseconds secondAttemptDelay { 15'000 };

// True for an attempt that reached no target and did not queue for one: its retry is not charged to the retry budget.
bool isFreeToRetry(const sub_request_result& result)
{
    if (result.result != outcome::not_run)
        return false;
    switch (result.why) {
    case reason::not_owner:
    case reason::right_stale:
    case reason::withdrawn:
    case reason::connect_failed:
    case reason::no_owner:
    case reason::link_lost:
        return true;
    default:
        return false;
    }
}

} // namespace

fan_out_plan::fan_out_plan(pinned_snapshot pinned, hedge_policy& hedges, ratio_budget& retries)
    : m_pinned(std::move(pinned))
    , m_hedges(hedges)
    , m_retries(retries)
    , m_pieces(m_pinned.pieces.size())
    , m_openPieces(m_pinned.pieces.size())
{
}

std::vector<sub_request> fan_out_plan::start()
{
    std::vector<sub_request> sends;
    sends.reserve(m_pieces.size());
    for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
        sends.push_back(makeSend(piece, false));
    return sends;
}

std::vector<sub_request> fan_out_plan::onReply(sub_request_result result)
{
    const auto ref = result.ref;
    if (ref.piece >= m_pieces.size() || ref.attempt >= m_pieces[ref.piece].attempts.size())
        return {};
    auto& state = m_pieces[ref.piece];
    auto& attempt = state.attempts[ref.attempt];
    if (!attempt.open)
        return {};
    attempt.open = false;
    if (state.answered || state.failed)
        return {};
    if (result.result == outcome::answered && isAcceptable(result)) {
        merge(ref.piece, std::move(result));
        return {};
    }
    attempt.lostSnapshot = result.why == reason::version_gone;
    state.lastReason = result.result == outcome::answered ? reason::bad_reply : result.why;
    return failOver(ref.piece, isFreeToRetry(result));
}

std::vector<sub_request> fan_out_plan::onSlowAttempt(attempt_ref ref)
{
    if (!hasReplicaLeft(ref.piece) || !m_hedges.tryWithdrawHedge())
        return {};
    ++m_hedgesSent;
    return { makeSend(ref.piece, true) };
}

std::vector<sub_request> fan_out_plan::onUnresponsiveOwner(attempt_ref ref)
{
    if (!hasReplicaLeft(ref.piece) || !m_retries.tryWithdraw())
        return {};
    return { makeSend(ref.piece, true) };
}

// True if the piece is open and has a replica without an attempt.
bool fan_out_plan::hasReplicaLeft(std::uint32_t piece) const
{
    if (piece >= m_pieces.size())
        return false;
    const auto& state = m_pieces[piece];
    return !state.answered && !state.failed && state.attempts.size() < m_pinned.pieces[piece].replicas.size();
}

std::vector<sub_request_cancellation> fan_out_plan::takeCancellations()
{
    return std::exchange(m_cancellations, {});
}

std::vector<sub_request_cancellation> fan_out_plan::abandon()
{
    for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece) {
        auto& state = m_pieces[piece];
        if (!state.answered && !state.failed && state.lastReason == reason::none)
            state.lastReason = reason::deadline_passed;
        closePiece(piece);
    }
    return takeCancellations();
}

coverage_report fan_out_plan::coverage() const
{
    coverage_report report;
    const auto covered = m_covered.size();
    report.fraction = static_cast<double>(covered) / static_cast<double>(keySpaceSize);
    if (covered < keySpaceSize && report.fraction >= 1)
        report.fraction = std::nextafter(1.0, 0.0);
    range_set planned;
    for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece) {
        const auto& range = m_pinned.pieces[piece].range;
        planned.add(range);
        if (!m_pieces[piece].answered)
            report.missing.push_back({ range, m_pieces[piece].lastReason });
    }
    for (const auto& gap : planned.gaps())
        report.missing.push_back({ gap, reason::no_owner });
    return report;
}

std::vector<search_hit> fan_out_plan::bestHits(std::size_t limit) const
{
    auto hits = m_hits;
    const auto count = std::min(limit, hits.size());
    const auto isBetter = [](const search_hit& left, const search_hit& right) {
        return left.score != right.score ? left.score > right.score : left.key < right.key;
    };
    std::partial_sort(hits.begin(), hits.begin() + static_cast<std::ptrdiff_t>(count), hits.end(), isBetter);
    hits.resize(count);
    return hits;
}

sub_request fan_out_plan::makeSend(std::uint32_t piece, bool hedge)
{
    auto& state = m_pieces[piece];
    const auto& replicas = m_pinned.pieces[piece].replicas;
    const auto number = static_cast<std::uint32_t>(state.attempts.size());
    const auto& searcher = replicas[number % replicas.size()];
    state.attempts.push_back({ searcher });
    ++m_subRequestsSent;
    const auto delay = number >= replicas.size() ? secondAttemptDelay : microseconds { 0 };
    return { { piece, number }, searcher, hedge, delay };
}

std::vector<sub_request> fan_out_plan::failOver(std::uint32_t piece, bool isFreeRetry)
{
    auto& state = m_pieces[piece];
    const bool othersOpen = std::any_of(state.attempts.begin(), state.attempts.end(), [](const attempt& other) { return other.open; });
    if (othersOpen)
        return {};
    const auto replicas = m_pinned.pieces[piece].replicas.size();
    const auto lostCount = std::count_if(state.attempts.begin(), state.attempts.end(), [](const attempt& other) { return other.lostSnapshot; });
    const bool allLost = static_cast<std::size_t>(lostCount) >= replicas;
    m_snapshotLost = m_snapshotLost || allLost;
    const bool attemptsLeft = state.attempts.size() < replicas * attemptsPerReplica;
    const bool mayRetry = !allLost && attemptsLeft && (isFreeRetry || m_retries.tryWithdraw());
    if (!mayRetry) {
        state.failed = true;
        --m_openPieces;
        return {};
    }
    return { makeSend(piece, false) };
}

void fan_out_plan::merge(std::uint32_t piece, sub_request_result result)
{
    auto& state = m_pieces[piece];
    state.answered = true;
    --m_openPieces;
    m_covered.add(result.from.range);
    std::move(result.hits.begin(), result.hits.end(), std::back_inserter(m_hits));
    m_retries.deposit();
    closePiece(piece);
}

void fan_out_plan::closePiece(std::uint32_t piece)
{
    auto& attempts = m_pieces[piece].attempts;
    for (std::uint32_t number = 0; number < attempts.size(); ++number) {
        if (!std::exchange(attempts[number].open, false))
            continue;
        m_cancellations.push_back({ { piece, number }, attempts[number].searcher });
    }
}

bool fan_out_plan::isAcceptable(const sub_request_result& result) const
{
    const held_snapshot expected { m_pinned.snapshot, m_pinned.pieces[result.ref.piece].range };
    return result.from == expected;
}

} // namespace limpetpier
