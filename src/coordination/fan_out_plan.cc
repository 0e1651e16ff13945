#include "limpetpier/coordination/fan_out_plan.h"

#include <algorithm>
#include <cmath>

namespace limpetpier {

namespace {

// Tries of one piece, as a multiple of its replicas.
constexpr std::size_t roundsPerReplica = 2;

// Pause before a replica is asked for the second time, so that an epoch change or a restart can settle.
constexpr microseconds secondRoundDelay { 15'000 };

// A try that reached no target and waited for none costs nothing to repeat.
bool isFree(const sub_request_result& result)
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
    , m_open(m_pinned.pieces.size())
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
    attempt.versionGone = result.why == reason::version_gone;
    state.lastReason = result.result == outcome::answered ? reason::bad_reply : result.why;
    return failOver(ref.piece, isFree(result));
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

// True while an open piece has a replica that was not asked yet.
bool fan_out_plan::hasReplicaLeft(std::uint32_t piece) const
{
    if (piece >= m_pieces.size())
        return false;
    const auto& state = m_pieces[piece];
    return !state.answered && !state.failed && state.attempts.size() < m_pinned.pieces[piece].replicas.size();
}

std::vector<sub_request_cancellation> fan_out_plan::takeCancellations()
{
    return std::exchange(m_cancels, {});
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
    coverage_report label;
    const auto covered = m_covered.size();
    label.fraction = static_cast<double>(covered) / static_cast<double>(keySpaceSize);
    if (covered < keySpaceSize && label.fraction >= 1)
        label.fraction = std::nextafter(1.0, 0.0);
    range_set planned;
    for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece) {
        const auto& range = m_pinned.pieces[piece].range;
        planned.add(range);
        if (!m_pieces[piece].answered)
            label.missing.push_back({ range, m_pieces[piece].lastReason });
    }
    for (const auto& gap : planned.gaps())
        label.missing.push_back({ gap, reason::no_owner });
    return label;
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
    ++m_sent;
    const auto delay = number >= replicas.size() ? secondRoundDelay : microseconds { 0 };
    return { { piece, number }, searcher, hedge, delay };
}

std::vector<sub_request> fan_out_plan::failOver(std::uint32_t piece, bool isFree)
{
    auto& state = m_pieces[piece];
    const bool othersOpen = std::any_of(state.attempts.begin(), state.attempts.end(), [](const attempt& item) { return item.open; });
    if (othersOpen)
        return {};
    const auto replicas = m_pinned.pieces[piece].replicas.size();
    const auto gone = std::count_if(state.attempts.begin(), state.attempts.end(), [](const attempt& item) { return item.versionGone; });
    const bool allGone = static_cast<std::size_t>(gone) >= replicas;
    m_snapshotLost = m_snapshotLost || allGone;
    const bool roundsLeft = state.attempts.size() < replicas * roundsPerReplica;
    const bool mayRetry = !allGone && roundsLeft && (isFree || m_retries.tryWithdraw());
    if (!mayRetry) {
        state.failed = true;
        --m_open;
        return {};
    }
    return { makeSend(piece, false) };
}

void fan_out_plan::merge(std::uint32_t piece, sub_request_result result)
{
    auto& state = m_pieces[piece];
    state.answered = true;
    --m_open;
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
        m_cancels.push_back({ { piece, number }, attempts[number].searcher });
    }
}

bool fan_out_plan::isAcceptable(const sub_request_result& result) const
{
    const held_snapshot expected { m_pinned.snapshot, m_pinned.pieces[result.ref.piece].range };
    return result.from == expected;
}

} // namespace limpetpier
