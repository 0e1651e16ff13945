#include "rollouts.h"

#include <algorithm>
#include <chrono>
#include <sstream>

#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

// Between two reports of a process, and if only the answers of other versions changed.
constexpr milliseconds reportInterval { 1000 };
constexpr milliseconds minorReportInterval { 6000 };

// Between two reports while bad answers of the target version arrive.
constexpr milliseconds badReportInterval { 300 };

// Between two attempts to write a status, and time in which an acknowledged one must have been read.
constexpr milliseconds statusRetryInterval { 1000 };
constexpr milliseconds statusReadTimeout { 6000 };

// Keys that one call writes at most.
constexpr std::size_t maxChangesPerWrite = 24;

// Between two removals of what processes that are gone left behind.
constexpr milliseconds cleaningInterval { 1000 };

// Assumed time limit of requests while no configuration names the service.
constexpr milliseconds defaultTimeout { 2000 };

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Encodes a report as lines of numbers; the name of a route ends its line.
std::string encodeReport(const rollout_report& report)
{
    std::ostringstream text;
    text << report.order << ' ' << report.grant << ' ' << report.sent << ' ' << report.exposed << '\n';
    for (const auto& [route, seen] : report.routes)
        text << seen.otherAnswers << ' ' << seen.otherBad << ' ' << seen.targetAnswers << ' ' << seen.targetBad << ' ' << seen.otherMedianUs << ' ' << route << '\n';
    return text.str();
}

// Returns the report in a text, or one without an order if the text is not valid.
rollout_report decodeReport(const std::string& encoded)
{
    std::istringstream text(encoded);
    rollout_report report;
    if (!(text >> report.order >> report.grant >> report.sent >> report.exposed) || !(report.grant >= 0) || report.exposed > report.sent)
        return {};
    route_evidence seen;
    while (text >> seen.otherAnswers >> seen.otherBad >> seen.targetAnswers >> seen.targetBad >> seen.otherMedianUs) {
        std::string route;
        text.get();
        std::getline(text, route);
        if (seen.otherBad > seen.otherAnswers || seen.targetBad > seen.targetAnswers)
            return {};
        report.routes[route] = seen;
    }
    return report;
}

std::uint64_t targetAnswers(const rollout_report& report)
{
    std::uint64_t sum = 0;
    for (const auto& [route, seen] : report.routes)
        sum += seen.targetAnswers;
    return sum;
}

std::uint64_t targetBad(const rollout_report& report)
{
    std::uint64_t sum = 0;
    for (const auto& [route, seen] : report.routes)
        sum += seen.targetBad;
    return sum;
}

void logStatus(const service_id& service, const rollout_status& status, const char* how)
{
    logEvent(event::rollout_changed, event_fields().add("service", service.value()).add("target", status.target.value()).add("state", toText(status.phase)).add("order", status.order).add("how", how));
}

} // namespace

rollouts::rollouts(const gateway_protocol& protocol, metadata_store& store, const gateway_settings& settings, searcher_fleet& fleet)
    : m_protocol(protocol)
    , m_store(store)
    , m_settings(settings)
    , m_fleet(fleet)
{
}

std::string rollouts::reportPrefix(const service_id& service) const { return deployment_view::rolloutReportPrefix + service.value() + "/"; }

std::size_t rollouts::rank(const service_id& service, const deployment_view& view) const { return view.share().rank("rollout/" + service.value()); }

rollout_limits rollouts::limitsFor(const service_id& service, const routing_table* table) const
{
    auto limits = m_settings.bounds.rollout;
    auto timeout = milliseconds(0);
    if (table != nullptr) {
        for (const auto& rule : table->routes()) {
            const bool named = std::any_of(rule.trafficSplit.begin(), rule.trafficSplit.end(), [&](const weighted_service& part) { return part.service == service; });
            if (named || std::find(rule.shards.begin(), rule.shards.end(), service) != rule.shards.end())
                timeout = std::max(timeout, rule.timeout);
        }
    }
    limits.switchTime = limits.noticeDelay + (timeout == milliseconds(0) ? defaultTimeout : timeout);
    return limits;
}

void rollouts::update(const deployment_view& view, monotonic_time now)
{
    for (const auto& [key, item] : view.rolloutItems()) {
        for (const auto& prefix : { m_protocol.rolloutOrderPrefix(), m_protocol.rolloutStatusPrefix() }) {
            if (key.starts_with(prefix))
                m_states.try_emplace(service_id(key.substr(prefix.size())));
        }
    }
    for (const auto& [service, state] : m_states)
        applyItems(service, view, now);
    m_hasRead = true;
}

void rollouts::applyItems(const service_id& service, const deployment_view& view, monotonic_time now)
{
    auto& state = m_states[service];
    auto& control = m_fleet.rollouts().try_emplace(service, limitsFor(service, view.table().get())).first->second;
    control.setLimits(limitsFor(service, view.table().get()));
    applyStatus(service, control, state, view, now);
    applyOrder(service, control, state, view, now);
    applyReports(service, control, state, view);
    applyVersions(service, control, view, now);
}

void rollouts::applyStatus(const service_id& service, rollout_control& control, service_state& state, const deployment_view& view, monotonic_time now)
{
    const auto found = view.rolloutItems().find(m_protocol.rolloutStatusPrefix() + service.value());
    const auto revision = found == view.rolloutItems().end() ? store_revision() : found->second.revision;
    if (revision == state.statusRevision)
        return;
    state.statusRevision = revision;
    state.written = false;
    if (found == view.rolloutItems().end()) {
        control.setStatus({}, now);
        return;
    }
    try {
        const auto status = m_protocol.decodeRolloutStatus(found->first, found->second.value);
        if (control.status() != status)
            logStatus(service, status, "read");
        control.setStatus(status, now);
    } catch (const std::exception& error) {
        logEvent(event::rollout_unreadable, event_fields().add("key", found->first).add("error", error.what()));
    }
}

void rollouts::applyOrder(const service_id& service, rollout_control& control, service_state& state, const deployment_view& view, monotonic_time now)
{
    const auto found = view.rolloutItems().find(m_protocol.rolloutOrderPrefix() + service.value());
    const auto revision = found == view.rolloutItems().end() ? store_revision() : found->second.revision;
    if (revision == state.orderRevision)
        return;
    state.orderRevision = revision;
    state.publishedReport = {};
    state.reportRevisions.clear();
    state.reportedBad = false;
    std::optional<rollout_order> order;
    if (found != view.rolloutItems().end()) {
        try {
            order = m_protocol.decodeRolloutOrder(found->first, found->second.value);
            order->revision = revision.value();
        } catch (const std::exception& error) {
            order.reset();
            logEvent(event::rollout_unreadable, event_fields().add("key", found->first).add("error", error.what()));
        }
    }
    if (order)
        logEvent(event::rollout_ordered, event_fields().add("service", service.value()).add("target", order->target.value()).add("order", order->revision).add("for_ms", order->duration));
    control.setOrder(order, { now, wallClockMs(), view.share().memberCount(), rank(service, view), !m_hasRead });
}

void rollouts::applyReports(const service_id& service, rollout_control& control, service_state& state, const deployment_view& view)
{
    const auto prefix = reportPrefix(service);
    const auto& items = view.rolloutItems();
    for (auto item = items.lower_bound(prefix); item != items.end() && item->first.starts_with(prefix); ++item) {
        const node_id node(item->first.substr(prefix.size()));
        auto& applied = state.reportRevisions[node];
        if (applied == item->second.revision)
            continue;
        applied = item->second.revision;
        const auto report = decodeReport(item->second.value);
        if (node == m_settings.node)
            control.restoreOwnReport(report);
        else
            control.setReport(node, report);
    }
}

void rollouts::applyVersions(const service_id& service, rollout_control& control, const deployment_view& view, monotonic_time now) const
{
    std::map<software_version, rollout_control::version_capacity> versions;
    for (const auto& [id, record] : view.directory().records()) {
        if (record.entry.service != service)
            continue;
        auto& capacity = versions[record.entry.version];
        if (record.entry.draining)
            continue;
        capacity.slots += record.entry.slots;
        if (now >= record.coldUntil)
            capacity.warmSlots += record.entry.slots;
    }
    control.setVersions(std::move(versions));
}

void rollouts::maintain(const deployment_view& view, monotonic_time now)
{
    for (auto& [service, state] : m_states) {
        auto& control = m_fleet.rollouts().at(service);
        control.setStoreReachable(view.isReachable());
        if (control.isActive())
            applyVersions(service, control, view, now); // searchers become warm
        control.evaluate(now);
        if (control.isBad() && !state.reportedBad) {
            state.reportedBad = true;
            for (const auto& [route, seen] : control.totals())
                logEvent(event::rollout_bad, event_fields().add("service", service.value()).add("target", control.order()->target.value()).add("route", route).add("answers", seen.targetAnswers).add("bad", seen.targetBad).add("other_answers", seen.otherAnswers).add("other_bad", seen.otherBad));
        }
        if (!view.isReachable())
            continue;
        if (!control.isActive())
            removeReports(service, view, now);
        const bool awaitsRead = state.written && state.writtenOver == state.statusRevision;
        if (state.statusWritePending || now < state.nextStatusWrite || (awaitsRead && now < state.nextStatusWrite + statusReadTimeout))
            continue;
        if (const auto next = control.decide(now, wallClockMs(), rank(service, view)))
            writeStatus(service, *next, now);
    }
    if (view.isReachable())
        publishReports(now);
    m_fleet.applyRollouts();
}

// The condition on both keys lets only one of several processes write the next status of an order, and none once the
// order has been replaced.
void rollouts::writeStatus(const service_id& service, const rollout_status& status, monotonic_time now)
{
    auto& state = m_states[service];
    state.statusWritePending = true;
    state.nextStatusWrite = now + statusRetryInterval;
    const auto statusKey = m_protocol.rolloutStatusPrefix() + service.value();
    const auto orderKey = m_protocol.rolloutOrderPrefix() + service.value();
    const std::vector<store_condition> conditions { { statusKey, state.statusRevision }, { orderKey, state.orderRevision } };
    const std::vector<store_change> changes { { statusKey, m_protocol.encodeRolloutStatus(status) } };
    const auto over = state.statusRevision;
    const auto order = state.orderRevision;
    m_store.writeIf(conditions, changes, [this, service, status, over, order](store_result result) {
        auto& state = m_states[service];
        state.statusWritePending = false;
        if (result != store_result::ok) {
            logEvent(event::rollout_write_failed, event_fields().add("service", service.value()).add("state", toText(status.phase)).add("result", toText(result)));
            return;
        }
        logStatus(service, status, "written");
        if (state.statusRevision != over || state.orderRevision != order)
            return; // a later state was read meanwhile
        state.written = true;
        state.writtenOver = over;
        m_fleet.rollouts().at(service).setStatus(status, monotonic_clock::now());
        m_fleet.applyRollouts();
    });
}

bool rollouts::isReportDue(const service_state& state, const rollout_report& report, monotonic_time now)
{
    const auto& published = state.publishedReport;
    if (report == published || targetAnswers(report) + report.exposed == 0)
        return false;
    const bool isMinor = targetAnswers(report) == targetAnswers(published);
    const auto interval = targetBad(report) > targetBad(published) ? badReportInterval : (isMinor ? minorReportInterval : reportInterval);
    return now >= state.publishedAt + interval;
}

// Stores the reports that are due, in one call.
void rollouts::publishReports(monotonic_time now)
{
    if (now < m_nextReportWrite)
        return;
    std::map<service_id, rollout_report> reports;
    std::vector<store_change> changes;
    for (auto& [service, state] : m_states) {
        const auto& control = m_fleet.rollouts().at(service);
        if (!control.isActive() || changes.size() >= maxChangesPerWrite || !isReportDue(state, control.ownReport(), now))
            continue;
        state.publishedAt = now;
        changes.push_back({ reportPrefix(service) + m_settings.node.value(), encodeReport(control.ownReport()) });
        reports.emplace(service, control.ownReport());
    }
    if (changes.empty())
        return;
    m_nextReportWrite = now + badReportInterval;
    m_store.writeIf({}, changes, [this, reports](store_result result) {
        for (const auto& [service, report] : reports) {
            if (result == store_result::ok && m_states[service].orderRevision.value() == report.order)
                m_states[service].publishedReport = report;
        }
    });
}

// Removes this process's report of an ended roll-out and, on the first of the members, those of processes that are gone.
void rollouts::removeReports(const service_id& service, const deployment_view& view, monotonic_time now)
{
    auto& state = m_states[service];
    if (now < state.nextCleaning)
        return;
    state.nextCleaning = now + cleaningInterval;
    std::vector<store_change> removals;
    const auto prefix = reportPrefix(service);
    const bool isFirst = rank(service, view) == 0;
    const auto& items = view.rolloutItems();
    for (auto item = items.lower_bound(prefix); item != items.end() && item->first.starts_with(prefix) && removals.size() < maxChangesPerWrite; ++item) {
        const node_id node(item->first.substr(prefix.size()));
        const bool isOther = node.value().find('/') != std::string::npos; // of a service whose name begins alike
        if (!isOther && (node == m_settings.node || (isFirst && !view.isMember(node))))
            removals.push_back({ item->first, {} });
    }
    if (!removals.empty())
        m_store.writeIf({}, removals, [](store_result) {}); // retried until the items are gone
}

bool rollouts::isAnyActive() const
{
    const auto& controls = std::as_const(m_fleet).rollouts();
    return std::any_of(controls.begin(), controls.end(), [](const auto& entry) { return entry.second.isActive(); });
}

std::vector<rollouts::row> rollouts::rows() const
{
    std::vector<row> result;
    for (const auto& [service, control] : std::as_const(m_fleet).rollouts()) {
        row line { service, {}, rollout_phase::running, {} };
        if (control.order())
            line.target = control.order()->target;
        else if (control.status())
            line.target = control.status()->target;
        else
            continue;
        if (control.status())
            line.phase = control.status()->phase;
        for (const auto& [route, seen] : control.totals()) {
            line.answers.otherAnswers += seen.otherAnswers;
            line.answers.otherBad += seen.otherBad;
            line.answers.targetAnswers += seen.targetAnswers;
            line.answers.targetBad += seen.targetBad;
        }
        result.push_back(std::move(line));
    }
    return result;
}

} // namespace limpetpier
