#include "request_gate.h"

#include <algorithm>

namespace limpetpier {

namespace {

constexpr unsigned statusGatewayTimeout = 504;
constexpr unsigned firstFailure = 500;

admission_outcome outcomeOf(const request_report& ended)
{
    if (ended.lackedSearchers || ended.status == statusGatewayTimeout)
        return admission_outcome::lacked_capacity;
    const bool hasResult = ended.status != 0 && ended.status < firstFailure;
    return hasResult ? admission_outcome::served : admission_outcome::indifferent;
}

} // namespace

request_gate::request_gate(const asio::any_io_executor& executor, bool isOn, actions actions)
    : m_isOn(isOn)
    , m_actions(std::move(actions))
    , m_timer(executor)
{
}

bool request_gate::isInForce(const routing_table& table)
{
    if (!m_isOn)
        return false;
    if (m_checkedVersion != table.version()) {
        m_checkedVersion = table.version();
        const auto& routes = table.routes();
        m_ranksRoutes = std::any_of(routes.begin(), routes.end(), [&](const route& rule) { return rule.priority != routes.front().priority; });
    }
    return m_ranksRoutes;
}

request_gate::group_id request_gate::groupOf(const route& route)
{
    return route.isQuery() ? route.shards.front() : route.trafficSplit.front().service;
}

admission_candidate request_gate::describe(const accepted_request& request)
{
    admission_candidate result;
    result.route = request.matchedRoute->name;
    result.priority = request.priority;
    result.workspace = request.workspace;
    result.work = static_cast<double>(request.statistics->medianReplyTime(*request.matchedRoute).count());
    result.objective = request.matchedRoute->latencyObjective;
    result.deadline = request.deadline;
    return result;
}

void request_gate::admit(accepted_request request)
{
    const auto& rule = *request.matchedRoute;
    if (!isInForce(*request.routingTable) || (!rule.isQuery() && rule.trafficSplit.empty())) {
        m_actions.start(std::move(request));
        return;
    }
    request.admittedTo = groupOf(rule);
    auto& admission = m_admissions[request.admittedTo];
    const auto now = monotonic_clock::now();
    const auto candidate = describe(request);
    const auto first = draw();
    const auto decision = admission.decide(candidate, now, first, draw());
    m_actions.decided(request, { decision, admission.shortage(now), admission.admittedShare(candidate.route, now) });
    switch (decision.verdict) {
    case admission_verdict::admit:
        request.admittedAt = now;
        m_actions.start(std::move(request));
        break;
    case admission_verdict::wait: {
        const waiting_key key { request.admittedTo, decision.ticket };
        hold(std::move(request), key);
        break;
    }
    case admission_verdict::refuse:
        m_actions.refuse(std::move(request), decision.until);
        break;
    }
}

void request_gate::hold(accepted_request request, const waiting_key& key)
{
    request.clientCall.onDisconnect([this, key] {
        const auto found = m_waiting.find(key);
        if (found == m_waiting.end())
            return;
        m_admissions[key.group].abandon(key.ticket);
        m_actions.clientLeft(found->second);
        m_waiting.erase(found);
    });
    m_waiting.emplace(key, std::move(request));
    scheduleTimer();
}

void request_gate::recordEnd(const request_report& ended)
{
    if (ended.admittedTo.value().empty())
        return;
    const auto next = m_admissions[ended.admittedTo].recordEnd({ outcomeOf(ended), ended.route, ended.admittedAt, ended.elapsed }, monotonic_clock::now());
    if (!next)
        return;
    auto node = m_waiting.extract({ ended.admittedTo, *next });
    node.mapped().admittedAt = monotonic_clock::now();
    // Started by the event loop, as the request that ended is still being handled.
    asio::post(m_timer.get_executor(), [this, alive = std::weak_ptr(m_alive), request = std::move(node.mapped())]() mutable {
        if (!alive.expired())
            m_actions.start(std::move(request));
    });
}

void request_gate::refuseWaiting()
{
    for (auto& [key, request] : std::exchange(m_waiting, {})) {
        m_admissions[key.group].abandon(key.ticket);
        m_actions.refuse(std::move(request), monotonic_clock::now());
    }
}

void request_gate::refuseExpired()
{
    const auto now = monotonic_clock::now();
    for (auto& [group, admission] : m_admissions) {
        for (const auto& expired : admission.takeExpired(now, draw())) {
            auto node = m_waiting.extract({ group, expired.ticket });
            const admission_decision decision { admission_verdict::refuse, "waited", expired.returnAt, expired.ticket };
            m_actions.decided(node.mapped(), { decision, admission.shortage(now), admission.admittedShare(node.mapped().matchedRoute->name, now) });
            m_actions.refuse(std::move(node.mapped()), expired.returnAt);
        }
    }
    scheduleTimer();
}

void request_gate::scheduleTimer()
{
    auto next = monotonic_time::max();
    for (const auto& [group, admission] : m_admissions)
        next = std::min(next, admission.nextExpiry());
    if (next == monotonic_time::max())
        return;
    m_timer.expires_at(next);
    m_timer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            refuseExpired();
    });
}

} // namespace limpetpier
