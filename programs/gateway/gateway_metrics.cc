#include "gateway_metrics.h"

#include <algorithm>

#include "limpetpier/transport/events.h"

namespace limpetpier {

std::string gateway_metrics::routeLabel(const std::string& route)
{
    if (m_labelledRoutes.contains(route))
        return route;
    if (m_labelledRoutes.size() >= maxRoutes)
        return "other";
    m_labelledRoutes.insert(route);
    return route;
}

void gateway_metrics::record(const request_report& ended)
{
    const auto route = routeLabel(ended.route);
    m_registry.observe("limpet_request_seconds", { { "route", route }, { "outcome", ended.outcome } }, std::chrono::duration<double>(ended.elapsed).count());
    m_registry.add("limpet_sends_total", { { "route", route } }, ended.sends);
    m_registry.add("limpet_hedges_total", { { "route", route } }, ended.hedges);
    m_registry.add("limpet_sends_not_run_total", { { "route", route } }, ended.notExecutedSends);
    for (const auto& [how, count] : ended.failedSends)
        m_registry.add("limpet_sends_failed_total", { { "route", route }, { "how", how } }, count);
    for (const auto& [why, count] : ended.extraSends)
        m_registry.add("limpet_extra_sends_total", { { "route", route }, { "why", why } }, count);
    m_registry.add("limpet_parts_total", { { "route", route } }, static_cast<double>(ended.parts));
    m_registry.add("limpet_parts_missing_total", { { "route", route } }, static_cast<double>(ended.missingParts));
}

void gateway_metrics::recordAdmission(const std::string& route, const admission_decision& decision)
{
    m_registry.add("limpet_admission_total", { { "route", routeLabel(route) }, { "decision", toText(decision.verdict) }, { "why", decision.reason } }, 1);
}

void gateway_metrics::recordPermit(const permit_decision& decision)
{
    const auto* outcome = decision.granted ? "granted" : decision.isLimitReached ? "limit_reached"
                                                                                 : "no_keeper";
    m_registry.observe("limpet_permit_seconds", { { "outcome", outcome } }, std::chrono::duration<double>(decision.waited).count());
}

void gateway_metrics::recordStoreCall(const char* call, store_result result, microseconds elapsed)
{
    m_registry.observe("limpet_store_call_seconds", { { "call", call }, { "result", toText(result) } }, std::chrono::duration<double>(elapsed).count());
}

void gateway_metrics::recordStoreReachability(bool reachable)
{
    m_registry.add("limpet_store_changes_total", { { "to", reachable ? "reachable" : "unreachable" } }, 1);
}

void gateway_metrics::renderRollouts(const std::vector<rollout_row>& rollouts)
{
    std::size_t shown = 0;
    for (const auto& [service, target, phase, answers] : rollouts) {
        if (++shown > maxServices)
            break;
        for (const auto state : { rollout_phase::running, rollout_phase::switching, rollout_phase::succeeded, rollout_phase::rolled_back })
            m_registry.set("limpet_rollout_state", { { "service", service.value() }, { "state", toText(state) } }, state == phase ? 1 : 0);
        const auto set = [&, &name = service.value()](const char* version, const char* kind, std::uint64_t count) {
            m_registry.set("limpet_rollout_answers", { { "service", name }, { "version", version }, { "kind", kind } }, static_cast<double>(count));
        };
        set("target", "all", answers.targetAnswers);
        set("target", "bad", answers.targetBad);
        set("other", "all", answers.otherAnswers);
        set("other", "bad", answers.otherBad);
    }
}

std::string gateway_metrics::render(const gauges& values)
{
    m_registry.set("limpet_requests_running", static_cast<double>(values.runningRequests));
    m_registry.set("limpet_client_connections", static_cast<double>(values.clientConnections));
    m_registry.set("limpet_client_bytes", static_cast<double>(values.clientBytes));
    m_registry.set("limpet_clients_given_up", static_cast<double>(values.clientsGivenUp));
    m_registry.set("limpet_searchers", static_cast<double>(values.searchers));
    m_registry.set("limpet_searchers_usable", static_cast<double>(values.usableSearchers));
    m_registry.set("limpet_searcher_connections", static_cast<double>(values.searcherConnections));
    m_registry.set("limpet_members", static_cast<double>(values.members));
    m_registry.set("limpet_table_version", static_cast<double>(values.tableVersion));
    m_registry.set("limpet_view_age_seconds", values.viewAgeSeconds);
    m_registry.set("limpet_ready", values.ready ? 1 : 0);
    m_registry.set("limpet_workspace_limits_kept", static_cast<double>(values.limitsKept));
    m_registry.set("limpet_requests_waiting_for_permits", static_cast<double>(values.waitingForPermits));
    m_registry.set("limpet_log_lines_left_out", static_cast<double>(logLinesLeftOut()));
    double minRemaining = values.extraSendsLeft.empty() ? 0 : values.extraSendsLeft.begin()->second;
    for (const auto& [service, remaining] : values.extraSendsLeft)
        minRemaining = std::min(minRemaining, remaining);
    m_registry.set("limpet_extra_sends_left_least", minRemaining);
    std::size_t listed = 0;
    for (const auto& [service, share] : values.shares) {
        if (++listed > maxServices)
            break;
        m_registry.set("limpet_share", { { "service", service.value() }, { "bound", "connections" } }, share.connections);
        m_registry.set("limpet_share", { { "service", service.value() }, { "bound", "cold_requests" } }, share.coldRequestsPerSecond);
    }
    renderRollouts(values.rollouts);
    return m_registry.render();
}

} // namespace limpetpier
