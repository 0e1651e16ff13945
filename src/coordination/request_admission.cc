#include "limpetpier/coordination/request_admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

#include "limpetpier/coordination/return_delay.h"

namespace limpetpier {

namespace {

// Returns true if left is served before right: by priority, then by deadline.
bool precedes(const admission_candidate& left, const admission_candidate& right)
{
    return std::tie(left.priority, left.deadline) < std::tie(right.priority, right.deadline);
}

// Weight of the latest request in the mean time of requests.
constexpr double meanWeight = 0.2;

// Between two reductions of the admitted share.
constexpr milliseconds reductionInterval { 300 };

// Factors of a reduction.
constexpr double strongestReduction = 0.5;
constexpr double weakestReduction = 0.85;

// Time in which the admitted share returns to the value before its reduction.
constexpr milliseconds recoveryTime { 1500 };

// The share grows at least as if it had been reduced by this much.
constexpr double smallestStep = 0.1;

// Requests per second that a workspace may send whatever its usual rate is.
constexpr double minimumPermittedRate = 0.5;

// A refused client is asked to return within this fraction (1/n) of the time that it has left, so that it can still be
// served then.
constexpr int latestReturnDivisor = 3;

// Added to the expected recovery.
constexpr milliseconds shortestReturn { 100 };

// Return times of a moment are spread over this range of factors.
constexpr double earliestReturnFactor = 0.5;
constexpr double returnFactorRange = 1;

double clampShare(double share) { return std::clamp(share, 0.0, 1.0); }

} // namespace

const char* toText(admission_verdict verdict)
{
    switch (verdict) {
    case admission_verdict::admit:
        return "admit";
    case admission_verdict::wait:
        return "wait";
    case admission_verdict::refuse:
        return "refuse";
    }
    return "unknown";
}

void recent_count::add(double amount, monotonic_time now)
{
    m_count = at(now) + amount;
    m_countedAt = now;
}

double recent_count::at(monotonic_time now) const
{
    return m_count * std::exp(-std::chrono::duration<double>(now - m_countedAt) / std::chrono::duration<double>(m_decayTime));
}

double recent_count::rate(monotonic_time since, monotonic_time now) const
{
    const double decaySeconds = std::chrono::duration<double>(m_decayTime).count();
    const double age = std::max(std::chrono::duration<double>(now - since).count(), 1.0);
    return at(now) / (decaySeconds * (1 - std::exp(-age / decaySeconds)));
}

admission_decision request_admission::decide(const admission_candidate& candidate, monotonic_time now, double draw, double spread)
{
    auto& route = m_routes[candidate.route];
    route.priority = candidate.priority;
    route.work = candidate.work;
    const double surplusShare = recordArrival(route, candidate, now);
    if (shortage(now) <= 0 && route.ownLevel.at(now) >= 1) {
        ++m_running;
        return {};
    }
    // One random number decides twice: whether this is one of its workspace's surplus requests, and whether it is admitted.
    const bool isSurplus = draw < surplusShare;
    const double scaled = isSurplus ? draw / surplusShare : (draw - surplusShare) / (1 - surplusShare);
    if (scaled < admissionProbability(route, admittedShare(candidate.route, now), isSurplus, now)) {
        ++m_running;
        return { admission_verdict::admit, "within_capacity", {}, {} };
    }
    if (!isSurplus && isWaitWorthwhile(candidate, now)) {
        const admission_ticket ticket(++m_lastTicket);
        const auto until = now + longestWait(candidate, now);
        const auto position = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request& other) { return !precedes(candidate, other.candidate); });
        m_waiting.insert(position, { ticket, candidate, until });
        return { admission_verdict::wait, "capacity_expected", until, ticket };
    }
    return { admission_verdict::refuse, isSurplus ? "workspace_surplus" : "shortage", returnTime(candidate, now, spread), {} };
}

double request_admission::recordArrival(route_record& route, const admission_candidate& candidate, monotonic_time now)
{
    if (route.firstArrival == monotonic_time {})
        route.firstArrival = now;
    route.arrived.add(1, now);
    if (candidate.workspace.value().empty())
        return 0;
    if (route.workspaces.size() >= maxWorkspaces && !route.workspaces.contains(candidate.workspace))
        std::erase_if(route.workspaces, [&](const auto& item) { return item.second.recent.at(now) < 1; });
    if (route.workspaces.size() >= maxWorkspaces && !route.workspaces.contains(candidate.workspace))
        return 0;
    auto& workspace = route.workspaces[candidate.workspace];
    workspace.recent.add(1, now);
    const double permitted = minimumPermittedRate + surplusFactor * workspace.usual.rate(route.firstArrival, now);
    const double surplusShare = clampShare(1 - permitted / workspace.recent.rate(route.firstArrival, now));
    workspace.usual.add(1 - surplusShare, now);
    route.surplus.add(surplusShare, now);
    return surplusShare;
}

double request_admission::admissionProbability(const route_record& route, double admitted, bool isSurplus, monotonic_time now) const
{
    const double arrived = std::max(1.0, route.arrived.at(now));
    const double surplus = std::min(arrived, route.surplus.at(now));
    const double least = std::min(admitted, reserve * m_level.at(now));
    // Surplus requests bear as much of the loss as the reserve permits; the others bear the rest.
    const double lost = (1 - admitted) * arrived;
    const double lostSurplus = std::min(lost, surplus * (1 - least));
    if (isSurplus)
        return surplus > 0 ? clampShare(1 - lostSurplus / surplus) : admitted;
    return arrived > surplus ? clampShare(1 - (lost - lostSurplus) / (arrived - surplus)) : admitted;
}

milliseconds request_admission::longestWait(const admission_candidate& candidate, monotonic_time now)
{
    return std::min(candidate.objective / maxWaitDivisor, std::chrono::floor<milliseconds>(candidate.deadline - now));
}

// A place is expected when one of the running requests ends; earlier waiting requests take theirs first.
bool request_admission::isWaitWorthwhile(const admission_candidate& candidate, monotonic_time now) const
{
    const auto longest = longestWait(candidate, now);
    if (longest <= milliseconds(0) || m_waiting.size() >= m_running)
        return false;
    const double expected = m_meanMicroseconds * static_cast<double>(m_waiting.size() + 1) / static_cast<double>(m_running);
    return expected <= static_cast<double>(microseconds(longest).count());
}

monotonic_time request_admission::returnTime(const admission_candidate& candidate, monotonic_time now, double spread) const
{
    const auto route = m_routes.find(candidate.route);
    const auto ownRecovery = route == m_routes.end() ? milliseconds(0) : route->second.ownLevel.recoveryLeft(now);
    const auto recovery = std::max(m_level.recoveryLeft(now), ownRecovery);
    const auto delay = std::chrono::duration_cast<milliseconds>((recovery + shortestReturn) * (earliestReturnFactor + returnFactorRange * spread));
    const auto latest = std::chrono::duration_cast<milliseconds>(candidate.deadline - now) / latestReturnDivisor;
    return now + std::max(minReturnDelay, std::min(delay, latest));
}

std::optional<admission_ticket> request_admission::recordEnd(const admission_end& ended, monotonic_time now)
{
    --m_running;
    if (ended.outcome == admission_outcome::lacked_capacity)
        recordLack(ended, now);
    if (ended.outcome != admission_outcome::served)
        return {};
    m_routes[ended.route].served.add(1, now);
    m_meanMicroseconds += (m_meanMicroseconds == 0 ? 1 : meanWeight) * (static_cast<double>(ended.elapsed.count()) - m_meanMicroseconds);
    if (m_waiting.empty() || m_waiting.back().until <= now)
        return {};
    const auto ticket = m_waiting.back().ticket;
    m_waiting.pop_back();
    ++m_running;
    return ticket;
}

std::vector<expired_wait> request_admission::takeExpired(monotonic_time now, double spread)
{
    std::vector<expired_wait> result;
    std::erase_if(m_waiting, [&](const waiting_request& waiting) {
        if (waiting.until > now)
            return false;
        result.push_back({ waiting.ticket, returnTime(waiting.candidate, now, spread) });
        return true;
    });
    return result;
}

void request_admission::abandon(admission_ticket ticket)
{
    std::erase_if(m_waiting, [&](const waiting_request& waiting) { return waiting.ticket == ticket; });
}

monotonic_time request_admission::nextExpiry() const
{
    auto result = monotonic_time::max();
    for (const auto& waiting : m_waiting)
        result = std::min(result, waiting.until);
    return result;
}

// Failures of requests that were admitted before the last reduction are its cause, however late they arrive.
void request_admission::recordLack(const admission_end& ended, monotonic_time now)
{
    auto& route = m_routes[ended.route];
    if (!m_level.isAfterReduction(ended.admittedAt) || !route.ownLevel.isAfterReduction(ended.admittedAt))
        return;
    route.lacking.add(1, now);

    struct ends {
        double served = 0;
        double lacking = 0;

        [[nodiscard]] double failedShare() const { return lacking > 0 ? lacking / (served + lacking) : 0; }
        [[nodiscard]] bool isShort() const { return lacking >= minimumEvidence && failedShare() >= tolerableFailures; }
    };
    ends common;
    std::vector<std::pair<ends, route_record*>> order;
    for (auto& [name, record] : m_routes) {
        const ends own { record.served.at(now), record.lacking.at(now) };
        common.served += own.served;
        common.lacking += own.lacking;
        order.emplace_back(own, &record);
    }
    std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) { return left.first.failedShare() > right.first.failedShare(); });
    // Routes that fail much more often than the rest say nothing of what the rest can have.
    for (const auto& [own, record] : order) {
        const ends rest { common.served - own.served, common.lacking - own.lacking };
        if (rest.served < 1 || own.failedShare() < outlierFailures || own.failedShare() <= outlierFactor * rest.failedShare())
            break;
        common = rest;
        if (record != &route || !own.isShort() || !record->ownLevel.isReducible(now))
            continue;
        record->ownLevel.reduce(own.failedShare(), now);
        record->served = recent_count(recentTime);
        record->lacking = recent_count(recentTime);
    }
    if (!common.isShort() || !m_level.isReducible(now))
        return;
    m_level.reduce(common.failedShare(), now);
    for (auto& [name, record] : m_routes) {
        record.served = recent_count(recentTime);
        record.lacking = recent_count(recentTime);
    }
}

bool admitted_level::isReducible(monotonic_time now) const { return !m_reducedAt || now - *m_reducedAt >= reductionInterval; }

void admitted_level::reduce(double failedShare, monotonic_time now)
{
    m_before = at(now);
    m_reduced = std::max(request_admission::minimumAdmitted, m_before * std::clamp(1 - failedShare, strongestReduction, weakestReduction));
    m_reducedAt = now;
}

// Returns to the level before the reduction in recoveryTime, slowly near it, and then grows ever faster, as in the CUBIC
// congestion control (RFC 9438).
double admitted_level::at(monotonic_time now) const
{
    if (!m_reducedAt)
        return 1;
    const double progress = std::chrono::duration<double>(now - *m_reducedAt) / std::chrono::duration<double>(recoveryTime);
    const double lost = std::max(m_before - m_reduced, smallestStep);
    return std::min(1.0, m_reduced + lost + lost * std::pow(progress - 1, 3));
}

milliseconds admitted_level::recoveryLeft(monotonic_time now) const
{
    return m_reducedAt ? std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(*m_reducedAt + recoveryTime - now)) : milliseconds(0);
}

double request_admission::shortage(monotonic_time now) const { return 1 - m_level.at(now); }

double request_admission::admittedShare(const std::string& route, monotonic_time now) const
{
    const double missing = shortage(now);
    const auto asked = m_routes.find(route);
    if (asked == m_routes.end())
        return 1;
    const double own = asked->second.ownLevel.at(now);
    if (missing <= 0)
        return own;
    std::vector<const route_record*> order;
    double demand = 0;
    for (const auto& [name, record] : m_routes) {
        order.push_back(&record);
        demand += record.work * record.arrived.at(now);
    }
    std::sort(order.begin(), order.end(), [](const route_record* left, const route_record* right) { return std::tie(left->priority, left->work) < std::tie(right->priority, right->work); });
    // Every route first receives its reserve; the rest of the capacity goes to the routes in order.
    const double least = reserve * (1 - missing);
    double left = (1 - missing) * demand * (1 - reserve);
    for (const auto* record : order) {
        const double wanted = record->work * record->arrived.at(now) * std::max(0.0, record->ownLevel.at(now) - least);
        const double given = std::min(wanted, left);
        left -= given;
        if (record == &asked->second)
            return clampShare(std::min(own, least + (wanted > 0 ? std::max(0.0, own - least) * given / wanted : 0)));
    }
    return 1;
}

} // namespace limpetpier
