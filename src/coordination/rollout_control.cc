#include "limpetpier/coordination/rollout_control.h"

#include <algorithm>
#include <cmath>

namespace limpetpier {

namespace {

// Parts of the exposed share that are used before and after the middle of the time for the proof. What is added there is
// spent at once, so that the target version is also seen under load.
constexpr double firstShareFraction = 0.4;
constexpr double fullShareFraction = 0.8;
constexpr double slackFraction = 0.8;

// Parts of the time for the proof: the full share begins, and the version may count as proved.
constexpr double fullShareFrom = 0.5;
constexpr double proofFrom = 0.8;

// Part of the time budget by which the result is decided; the rest is for the store.
constexpr double decisionPart = 0.95;
constexpr double marginPart = 0.1;

// The switch takes at most this part of the time budget.
constexpr int minSwitchesPerBudget = 4;

// A reply this many times slower than the median of the other versions on its route counts as bad.
constexpr int slowFactor = 3;
constexpr std::size_t minReplyTimes = 5;
constexpr std::size_t maxReplyTimes = 64;

// Sequential test of the rate of bad answers: that of the other versions against one higher by this much. The limits are
// the logarithms of the likelihood ratios that decide.
constexpr double badRateStep = 0.1;
constexpr double minRate = 0.005;
constexpr double maxRate = 0.5;
constexpr double badLimit = 10;
constexpr double goodLimit = -3;
constexpr double lateGoodLimit = -2; // when the time for the proof is over

// The same ratio over the latest answers only, above which a version is not proved yet.
constexpr double suspicionLimit = 2;
constexpr double lateSuspicionLimit = 4;

constexpr std::uint64_t minBadAnswers = 4;

// Answers of the other versions on a route that are enough to judge it.
constexpr std::uint64_t minOtherAnswers = 20;

// Weight of the whole roll-out in the rate of the other versions in a part of it, in answers.
constexpr double totalWeight = 10;

// Requests in a row that prefer the target version, so that the others are seen at the same time.
constexpr std::uint32_t maxExposedInRow = 2;

// Snapshots against which later answers are compared, and the time between them.
constexpr milliseconds snapshotInterval { 500 };
constexpr std::size_t maxSnapshots = 240;

// Each rank waits this much longer than the one before, in addition to the time in which its status becomes known.
constexpr milliseconds takeoverMargin { 1000 };

milliseconds scaled(milliseconds time, double factor) { return milliseconds(std::llround(static_cast<double>(time.count()) * factor)); }

route_evidence operator-(const route_evidence& left, const route_evidence& right)
{
    return { left.otherAnswers - right.otherAnswers, left.otherBad - right.otherBad, left.targetAnswers - right.targetAnswers, left.targetBad - right.targetBad, 0 };
}

void add(std::map<std::string, route_evidence>& sums, const rollout_report& report)
{
    for (const auto& [route, seen] : report.routes) {
        auto& sum = sums[route];
        sum.otherAnswers += seen.otherAnswers;
        sum.otherBad += seen.otherBad;
        sum.targetAnswers += seen.targetAnswers;
        sum.targetBad += seen.targetBad;
    }
}

// Returns the rate of bad answers of the other versions in a part of the roll-out.
double rateOfOthers(const route_evidence& seen, const route_evidence& total)
{
    const double totalRate = (static_cast<double>(total.otherBad) + 0.5) / (static_cast<double>(total.otherAnswers) + 10);
    const double rate = (static_cast<double>(seen.otherBad) + totalWeight * totalRate) / (static_cast<double>(seen.otherAnswers) + totalWeight);
    return std::clamp(rate, minRate, maxRate);
}

// Returns the logarithm of the likelihood ratio of a bad target version to one like the others.
double badness(const route_evidence& seen, const route_evidence& total)
{
    const double rate = rateOfOthers(seen, total);
    const double badRate = rate + std::max(badRateStep, rate / 2);
    const auto bad = static_cast<double>(seen.targetBad);
    const auto good = static_cast<double>(seen.targetAnswers - seen.targetBad);
    return bad * std::log(badRate / rate) + good * std::log((1 - badRate) / (1 - rate));
}

} // namespace

rollout_control::rollout_control(const rollout_limits& limits)
    : m_limits(limits)
{
}

bool rollout_control::answersOrder() const { return m_order && m_status && m_status->order == m_order->revision && m_status->target == m_order->target; }

// Returns true if the service has moved to the ordered version before. The order may have been written again.
bool rollout_control::isAlreadyOnTarget() const { return m_order && !answersOrder() && m_success && m_success->target == m_order->target; }

bool rollout_control::isFinal() const { return isAlreadyOnTarget() || (answersOrder() && (m_status->phase == rollout_phase::succeeded || m_status->phase == rollout_phase::rolled_back)); }

rollout_phase rollout_control::phase() const { return answersOrder() ? m_status->phase : rollout_phase::running; }

void rollout_control::setOrder(const std::optional<rollout_order>& order, const order_context& context)
{
    if (order == m_order)
        return;
    const auto replaced = m_order && !m_orderEnded && !isFinal() ? m_order : std::nullopt;
    m_order = order;
    m_orderEnded = false;
    // A status that answers the new order already lists the versions that stay excluded.
    if (replaced && !answersOrder())
        m_abandoned.insert(replaced->target);
    m_own = {};
    m_reports.clear();
    m_replyTimes.clear();
    m_history.clear();
    m_totals.clear();
    m_bad = false;
    m_due.reset();
    m_exposedShare = 0;
    if (!m_order)
        return;
    m_abandoned.erase(m_order->target);
    m_own.order = m_order->revision;
    m_startedAt = context.now - m_limits.noticeDelay;
    if (answersOrder()) {
        const auto elapsed = std::clamp<std::int64_t>(context.wallClockMs - m_status->startedMs, 0, m_order->duration.count());
        m_startedAt = std::min<monotonic_time>(m_startedAt, context.now - milliseconds(elapsed));
    }
    if (!context.isFirstRead) {
        // Each process rounds at another fraction, so that grants below one request still add up.
        const auto members = static_cast<double>(std::max<std::size_t>(context.members, 1));
        m_own.grant = slackFraction * m_limits.exposedSlack / members + (static_cast<double>(context.rank) + 0.5) / members;
    }
    m_history.push_back({ context.now, {} });
}

void rollout_control::setStatus(const std::optional<rollout_status>& status, monotonic_time now)
{
    if (!m_status || !status || m_status->phase != status->phase || m_status->order != status->order)
        m_phaseSince = now;
    m_orderEnded = m_orderEnded || isFinal();
    auto sums = totals();
    m_status = status;
    if (m_status && m_status->phase == rollout_phase::succeeded)
        m_success = m_status;
    else if (m_status)
        m_success.reset();
    if (!isFinal())
        return;
    m_totals = std::move(sums); // all that is kept of the counts
    m_reports.clear();
    m_replyTimes.clear();
    if (m_history.size() > 1)
        m_history.erase(m_history.begin() + 1, m_history.end());
}

void rollout_control::setReport(const node_id& node, const rollout_report& report)
{
    if (!isActive() || report.order != m_order->revision)
        return;
    auto& known = m_reports[node];
    for (const auto& [route, seen] : report.routes) {
        auto& counts = known.routes[route];
        if (seen.targetAnswers >= counts.targetAnswers && seen.otherAnswers >= counts.otherAnswers)
            counts = seen;
    }
}

void rollout_control::restoreOwnReport(const rollout_report& report)
{
    if (m_order && report.order == m_order->revision && m_own.sent == 0 && m_own.exposed == 0)
        m_own = report;
}

std::set<software_version> rollout_control::excluded() const
{
    auto result = m_abandoned;
    if (m_success)
        result.insert(m_success->excluded.begin(), m_success->excluded.end());
    if (m_status) {
        result.insert(m_status->excluded.begin(), m_status->excluded.end());
        if (m_status->phase != rollout_phase::succeeded && !(answersOrder() && !isFinal()))
            result.insert(m_status->target);
    }
    if (m_order && !(answersOrder() && m_status->phase == rollout_phase::rolled_back)) // ordered again
        result.erase(m_order->target);
    return result;
}

rollout_control::version_use rollout_control::use(const software_version& version) const
{
    if (!isRestricting())
        return version_use::free;
    if (m_order && !isFinal() && version == m_order->target) {
        if (m_bad)
            return version_use::none;
        return phase() == rollout_phase::switching ? version_use::free : version_use::limited;
    }
    if (excluded().contains(version))
        return version_use::none;
    return phase() == rollout_phase::switching && answersOrder() && !m_bad ? version_use::fallback : version_use::free;
}

bool rollout_control::mayExpose() const
{
    if (!m_storeReachable || m_bad || !isActive())
        return false;
    return m_exposedShare * static_cast<double>(m_own.sent) + m_own.grant >= static_cast<double>(m_own.exposed) + 1;
}

bool rollout_control::prefersTarget() const { return m_exposedInRow < maxExposedInRow; }

void rollout_control::recordSend(const software_version& version)
{
    if (!isActive())
        return;
    ++m_own.sent;
    const bool isTarget = version == m_order->target;
    m_own.exposed += isTarget ? 1 : 0;
    m_exposedInRow = isTarget ? m_exposedInRow + 1 : 0;
}

void rollout_control::recordUnsent(const software_version& version)
{
    if (!isActive())
        return;
    if (m_own.sent > 0)
        --m_own.sent;
    if (version == m_order->target && m_own.exposed > 0)
        --m_own.exposed;
}

// Returns the median time of the other versions' replies on a route: by this process's own replies or, while they are
// few, also by the medians that the other processes report.
std::optional<microseconds> rollout_control::medianReplyTime(const std::string& route) const
{
    std::map<microseconds, std::uint64_t> weights; // replies by their time
    std::uint64_t replies = 0;
    if (const auto own = m_replyTimes.find(route); own != m_replyTimes.end()) {
        replies = own->second.size();
        for (const auto time : own->second)
            ++weights[time];
    }
    if (replies < minReplyTimes) {
        for (const auto& [node, report] : m_reports) {
            const auto seen = report.routes.find(route);
            if (seen == report.routes.end() || seen->second.otherMedianUs == 0)
                continue;
            const auto weight = std::clamp<std::uint64_t>(seen->second.otherAnswers, 1, maxReplyTimes);
            weights[microseconds(seen->second.otherMedianUs)] += weight;
            replies += weight;
        }
    }
    if (replies < minReplyTimes)
        return {};
    std::uint64_t below = 0;
    for (const auto& [time, weight] : weights) {
        below += weight;
        if (below > replies / 2)
            return time;
    }
    return {};
}

bool rollout_control::isSlow(const std::string& route, microseconds elapsed) const
{
    const auto median = medianReplyTime(route);
    return median && elapsed > *median * slowFactor;
}

void rollout_control::recordReplyTime(const std::string& route, microseconds elapsed)
{
    auto& times = m_replyTimes[route];
    times.push_back(elapsed);
    if (times.size() > maxReplyTimes)
        times.pop_front();
    std::vector<microseconds> sorted(times.begin(), times.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    m_own.routes[route].otherMedianUs = static_cast<std::uint64_t>(middle->count());
}

void rollout_control::recordAnswer(const software_version& version, const std::string& route, bool failed, microseconds elapsed, bool cold)
{
    if (!isActive())
        return;
    if (version == m_order->target && !failed && !medianReplyTime(route))
        return;
    const bool bad = failed || (!cold && isSlow(route, elapsed));
    auto& seen = m_own.routes[route];
    if (version == m_order->target) {
        ++seen.targetAnswers;
        seen.targetBad += bad ? 1 : 0;
        return;
    }
    ++seen.otherAnswers;
    seen.otherBad += bad ? 1 : 0;
    if (!failed && !cold)
        recordReplyTime(route, elapsed);
}

void rollout_control::recordAbandoned(const software_version& version, const std::string& route, microseconds elapsed, bool cold)
{
    // A call that was given up earlier says nothing of its searcher.
    if (isActive() && !cold && isSlow(route, elapsed))
        recordAnswer(version, route, true, elapsed, cold);
}

std::map<std::string, route_evidence> rollout_control::totals() const
{
    if (isFinal())
        return m_totals;
    std::map<std::string, route_evidence> result;
    add(result, m_own);
    for (const auto& [node, report] : m_reports)
        add(result, report);
    return result;
}

milliseconds rollout_control::switchTime() const { return std::min(m_limits.switchTime, m_order->duration / minSwitchesPerBudget); }

monotonic_time rollout_control::proofDue() const { return m_startedAt + m_order->duration - switchTime() - scaled(m_order->duration, marginPart); }

monotonic_time rollout_control::decisionDue() const { return m_startedAt + scaled(m_order->duration, decisionPart); }

void rollout_control::evaluate(monotonic_time now)
{
    if (!isActive())
        return;
    const auto proofTime = std::chrono::duration_cast<milliseconds>(proofDue() - m_startedAt);
    const bool fullShare = now >= m_startedAt + scaled(proofTime, fullShareFrom);
    m_exposedShare = m_limits.exposedShare * (fullShare ? fullShareFraction : firstShareFraction);
    m_totals = totals();
    m_suspicion = 0;
    // Compares all answers since each snapshot, so that a version that turns bad later is found as early.
    for (const auto& since : m_history) {
        double all = 0;
        std::uint64_t allBad = 0;
        for (const auto& [route, total] : m_totals) {
            const auto before = since.routes.find(route);
            const auto seen = before == since.routes.end() ? total : total - before->second;
            const double value = badness(seen, total);
            m_bad = m_bad || (value >= badLimit && seen.targetBad >= minBadAnswers);
            m_suspicion = std::max(m_suspicion, value);
            all += value;
            allBad += seen.targetBad;
        }
        m_suspicion = std::max(m_suspicion, all);
        m_bad = m_bad || (all >= badLimit && allBad >= minBadAnswers);
    }
    if (m_history.empty() || now - m_history.back().at >= snapshotInterval)
        m_history.push_back({ now, m_totals });
    if (m_history.size() > maxSnapshots)
        m_history.erase(m_history.begin() + 1); // the first one, with all answers, stays
}

bool rollout_control::isProved(monotonic_time now) const
{
    const auto target = m_versions.find(m_order->target);
    if (m_bad || target == m_versions.end() || target->second.warmSlots == 0)
        return false;
    const auto proofTime = std::chrono::duration_cast<milliseconds>(proofDue() - m_startedAt);
    if (now < m_startedAt + scaled(proofTime, proofFrom))
        return false;
    std::uint32_t otherSlots = 0;
    for (const auto& [version, capacity] : m_versions)
        otherSlots += version == m_order->target ? 0 : capacity.slots;
    double all = 0;
    bool eachRoute = true;
    for (const auto& [route, total] : m_totals) {
        const double value = badness(total, total);
        all += value;
        eachRoute = eachRoute && (value <= goodLimit || total.otherAnswers < minOtherAnswers);
    }
    // When the time is short, fewer answers and fewer searchers are enough.
    if (now >= proofDue())
        return all <= lateGoodLimit && m_suspicion <= lateSuspicionLimit;
    return all <= goodLimit && m_suspicion <= suspicionLimit && eachRoute && target->second.warmSlots >= otherSlots;
}

std::vector<software_version> rollout_control::otherVersions() const
{
    std::vector<software_version> result;
    for (const auto& [version, capacity] : m_versions) {
        if (version != m_order->target && !version.empty())
            result.push_back(version);
    }
    return result;
}

std::optional<rollout_status> rollout_control::nextStatus(monotonic_time now, std::int64_t wallClockMs) const
{
    if (!m_order) {
        if (!m_status || m_status->phase == rollout_phase::succeeded || m_status->phase == rollout_phase::rolled_back)
            return {};
        auto result = *m_status;
        result.phase = rollout_phase::rolled_back;
        const auto versions = excluded();
        result.excluded.assign(versions.begin(), versions.end());
        return result;
    }
    if (isAlreadyOnTarget()) {
        auto result = *m_success;
        result.order = m_order->revision;
        return result;
    }
    if (isFinal())
        return {};
    rollout_status result;
    result.target = m_order->target;
    result.order = m_order->revision;
    result.startedMs = answersOrder() ? m_status->startedMs : wallClockMs - std::chrono::duration_cast<milliseconds>(now - m_startedAt).count();
    auto versions = excluded();
    const bool isPresent = m_versions.contains(m_order->target);
    if (!answersOrder()) {
        result.phase = rollout_phase::running;
    } else if (m_bad || (now >= decisionDue() && (phase() == rollout_phase::running || !isPresent))) {
        result.phase = rollout_phase::rolled_back;
        versions.insert(m_order->target);
    } else if (phase() == rollout_phase::running && isProved(now)) {
        result.phase = rollout_phase::switching;
    } else if (phase() == rollout_phase::switching && isPresent && (now >= m_phaseSince + switchTime() || now >= decisionDue())) {
        result.phase = rollout_phase::succeeded;
        for (const auto& version : otherVersions())
            versions.insert(version);
    } else {
        return {};
    }
    result.excluded.assign(versions.begin(), versions.end());
    return result;
}

std::optional<rollout_status> rollout_control::decide(monotonic_time now, std::int64_t wallClockMs, std::size_t rank)
{
    auto next = nextStatus(now, wallClockMs);
    if (!next) {
        m_due.reset();
        return {};
    }
    if (!m_due || m_due->phase != next->phase || m_due->order != next->order)
        m_dueSince = now;
    m_due = next;
    const auto delay = (m_limits.noticeDelay + takeoverMargin) * static_cast<milliseconds::rep>(rank);
    return now >= m_dueSince + delay ? next : std::nullopt;
}

} // namespace limpetpier
