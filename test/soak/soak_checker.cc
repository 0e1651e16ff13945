#include "soak_checker.h"

#include <array>

namespace limpetpier::soak {

namespace {

constexpr std::size_t recordBytes = 16;
constexpr std::chrono::seconds oneSecond { 1 };

void dropBefore(std::deque<monotonic_time>& times, monotonic_time end)
{
    while (!times.empty() && times.front() < end)
        times.pop_front();
}

std::ptrdiff_t countBetween(const std::deque<monotonic_time>& times, monotonic_time begin, monotonic_time end)
{
    return std::upper_bound(times.begin(), times.end(), end) - std::lower_bound(times.begin(), times.end(), begin);
}

} // namespace

const char* toText(promise value)
{
    static constexpr std::array<const char*, promiseCount> names { "once", "true_refusal", "own_answer", "true_coverage", "no_cut", "in_time", "left_alone", "drained", "configured", "never_back", "cold", "extra_sends",
        "recovered", "ends_well", "leaving", "pushed_back" };
    return names.at(static_cast<std::size_t>(value));
}

void soak_checker::reportViolation(promise broken, const std::string& description) { m_violations.push_back({ broken, description }); }

void soak_checker::onRequestSent(const sent_request& request, monotonic_time now)
{
    ++m_requestCount;
    auto& state = m_requests[request.id];
    state.request = request;
    state.sentAt = now;
    state.expectsComplete = m_expectsRecovered;
    state.isExcused = m_downGateways.contains(request.gateway);
    for (const auto& service : request.services)
        m_windows[service].requests.push_back(now);
}

void soak_checker::onRequestReceived(const std::string& requestId, const std::string& searcher, const std::string& service, bool isExecuted, monotonic_time now)
{
    const auto found = m_requests.find(requestId);
    if (found == m_requests.end()) {
        reportViolation(promise::own_answer, searcher + " received request " + requestId + ", which no client sent");
        return;
    }
    auto& state = found->second;
    checkArrival(state, searcher, now);
    checkExtraRequests(service, state.services.insert(service).second, now);
    if (!isExecuted)
        return;
    const auto count = ++state.executions[service];
    if (!state.request.isSafe && count > 1)
        reportViolation(promise::once, "unsafe request " + requestId + " was executed " + std::to_string(count) + " times, expected once at most");
    if (state.reportedNotExecuted)
        reportViolation(promise::true_refusal, "request " + requestId + " was executed after its client was told that it was not executed");
}

void soak_checker::checkArrival(const request_state& state, const std::string& searcher, monotonic_time now)
{
    if (state.disconnectedAt && now > *state.disconnectedAt + m_bounds.disconnectTolerance && !state.isExcused)
        reportViolation(promise::left_alone, searcher + " received request " + state.request.id + " after its client had disconnected");
    const auto drainDeadline = m_drainDeadlines.find(searcher);
    if (drainDeadline != m_drainDeadlines.end() && now > drainDeadline->second && isSettled(now) && !state.isExcused)
        reportViolation(promise::drained, searcher + " received request " + state.request.id + " after its drain delay");
    checkNotices(state, searcher, now);
    checkColdLimit(searcher, now);
}

void soak_checker::onPushback(const std::string& requestId, const std::string& searcher, milliseconds duration, monotonic_time now)
{
    const auto found = m_requests.find(requestId);
    if (found != m_requests.end())
        m_pushbacks[{ found->second.request.gateway, searcher }].push_back({ now + m_bounds.pushbackTolerance, now + duration, 0 });
}

void soak_checker::onSearcherStarted(const std::string& searcher)
{
    std::erase_if(m_leaveDeadlines, [&](const auto& item) { return item.first.second == searcher; });
    std::erase_if(m_pushbacks, [&](const auto& item) { return item.first.second == searcher; });
    std::erase_if(m_leavingSignatures, [&](const auto& item) { return item.second == searcher; });
}

void soak_checker::forgetNotices(const std::string& gateway)
{
    std::erase_if(m_leaveDeadlines, [&](const auto& item) { return item.first.first == gateway; });
    std::erase_if(m_pushbacks, [&](const auto& item) { return item.first.first == gateway; });
}

void soak_checker::checkNotices(const request_state& state, const std::string& searcher, monotonic_time now)
{
    const gateway_and_searcher key { state.request.gateway, searcher };
    const auto deadline = m_leaveDeadlines.find(key);
    if (deadline != m_leaveDeadlines.end() && state.sentAt > deadline->second && !state.isExcused)
        reportViolation(promise::leaving, searcher + " received request " + state.request.id + " from " + state.request.gateway + " after it had announced that it leaves");
    const auto pushbacks = m_pushbacks.find(key);
    if (pushbacks == m_pushbacks.end() || state.isExcused || !isSettled(now))
        return;
    std::erase_if(pushbacks->second, [&](const pushback_state& pushback) { return pushback.end < now; });
    for (auto& pushback : pushbacks->second) {
        if (now >= pushback.begin && ++pushback.arrivals > m_bounds.requestsPerPushback)
            reportViolation(promise::pushed_back, searcher + " received " + std::to_string(pushback.arrivals) + " requests from " + state.request.gateway + " in the time that it had asked for");
    }
}

void soak_checker::checkColdLimit(const std::string& searcher, monotonic_time now)
{
    const auto found = m_cold.find(searcher);
    if (found == m_cold.end() || now > found->second.until)
        return;
    auto& arrivals = found->second.arrivals;
    arrivals.push_back(now);
    dropBefore(arrivals, now - oneSecond);
    if (static_cast<double>(arrivals.size()) > m_bounds.coldRequestsPerSecond && isSettled(now))
        reportViolation(promise::cold, "cold searcher " + searcher + " received " + std::to_string(arrivals.size()) + " requests within 1 s, more than its limit");
}

void soak_checker::checkExtraRequests(const std::string& service, bool isFirst, monotonic_time now)
{
    auto& window = m_windows[service];
    dropBefore(window.requests, now - 2 * m_bounds.budgetWindow);
    dropBefore(window.extraRequests, now - m_bounds.budgetWindow);
    if (isFirst)
        return;
    window.extraRequests.push_back(now);
    // Compares with the current window, the one half a window earlier or the one a whole window earlier, whichever has
    // the most requests.
    std::ptrdiff_t requests = 0;
    for (const auto offset : { m_bounds.budgetWindow * 0, m_bounds.budgetWindow / 2, m_bounds.budgetWindow })
        requests = std::max(requests, countBetween(window.requests, now - offset - m_bounds.budgetWindow, now - offset));
    if (static_cast<double>(window.extraRequests.size()) > m_bounds.extraRequestRatio * static_cast<double>(requests) + m_bounds.extraRequestSlack)
        reportViolation(promise::extra_sends, service + " received " + std::to_string(window.extraRequests.size()) + " retries and hedged requests for " + std::to_string(requests) + " requests");
}

void soak_checker::onResponseReceived(const std::string& requestId, const client_response& response, monotonic_time now)
{
    constexpr unsigned success = 200;
    auto& state = m_requests[requestId];
    state.isFinished = true;
    const bool wasExecuted = std::any_of(state.executions.begin(), state.executions.end(), [](const auto& item) { return item.second > 0; });
    state.reportedNotExecuted = response.reportsNotExecuted && !state.request.isSafe;
    if (state.reportedNotExecuted && wasExecuted)
        reportViolation(promise::true_refusal, "client was told that request " + requestId + " was not executed, but it was");
    if (!state.isExcused && now > state.sentAt + state.request.deadline + m_bounds.deadlineTolerance)
        reportViolation(promise::in_time, "response to request " + requestId + " was late");
    const bool isComplete = response.status == success && response.missingParts == 0;
    m_completeResponseCount += isComplete ? 1 : 0;
    if (state.expectsComplete && !isComplete)
        reportViolation(promise::recovered, "request " + requestId + " got status " + std::to_string(response.status) + " with " + std::to_string(response.missingParts) + " missing parts after the faults, expected a complete response");
    if (response.status != success)
        return;
    checkParts(state, response, now);
    checkRecords(state, response);
}

void soak_checker::checkParts(const request_state& state, const client_response& response, monotonic_time now)
{
    std::set<std::string> services;
    for (const auto& signature : response.signatures) {
        if (const auto leaving = m_leavingSignatures.find(signature); leaving != m_leavingSignatures.end() && !state.isExcused)
            m_leaveDeadlines.try_emplace({ state.request.gateway, leaving->second }, now + m_bounds.drainDelay);
        const auto signedResponse = m_signatures.find(signature);
        if (signedResponse == m_signatures.end() || signedResponse->second.first != state.request.id)
            reportViolation(promise::own_answer, "request " + state.request.id + " got a response with signature " + signature + ", which belongs to no response to this request");
        else
            services.insert(signedResponse->second.second);
    }
    if (services.size() != response.signatures.size() || response.signatures.size() + response.missingParts != state.request.services.size())
        reportViolation(promise::true_coverage, "response to request " + state.request.id + " contains " + std::to_string(services.size()) + " distinct parts and reports " + std::to_string(response.missingParts) + " missing, expected " + std::to_string(state.request.services.size()) + " in total");
}

void soak_checker::checkRecords(const request_state& state, const client_response& response)
{
    for (std::size_t offset = 0; offset + recordBytes <= response.records.size(); offset += recordBytes) {
        if (response.records.compare(offset + 1, state.request.id.size(), state.request.id) != 0)
            reportViolation(promise::own_answer, "request " + state.request.id + " got a record of another request: " + response.records.substr(offset, recordBytes));
    }
}

void soak_checker::onClientDisconnected(const std::string& requestId, monotonic_time now)
{
    auto& state = m_requests[requestId];
    state.isFinished = true;
    state.disconnectedAt = now;
}

void soak_checker::onConnectionLost(const std::string& requestId)
{
    auto& state = m_requests[requestId];
    state.isFinished = true;
    if (!state.services.empty() && !state.isExcused)
        reportViolation(promise::no_cut, "request " + requestId + " was forwarded to a searcher but got no response from " + state.request.gateway);
}

void soak_checker::excuseRequests(const std::string& gateway)
{
    for (auto& [id, state] : m_requests) {
        if (state.request.gateway == gateway && (!state.isFinished || state.disconnectedAt))
            state.isExcused = true;
    }
}

void soak_checker::onGatewayDown(const std::string& gateway, monotonic_time now)
{
    m_downGateways.insert(gateway);
    forgetNotices(gateway);
    excuseRequests(gateway);
    onDisturbance(now);
}

void soak_checker::onGatewayUp(const std::string& gateway, monotonic_time now)
{
    m_downGateways.erase(gateway);
    forgetNotices(gateway);
    excuseRequests(gateway);
    onDisturbance(now);
}

void soak_checker::onRouteProbed(const std::string& incarnation, std::uint64_t version, bool isServed, monotonic_time sentAt, monotonic_time now)
{
    auto& knownVersions = m_knownVersions[incarnation];
    const auto newerVersion = knownVersions.lower_bound(version);
    if (isServed)
        knownVersions.try_emplace(version, now);
    else if (newerVersion != knownVersions.end() && sentAt > newerVersion->second)
        reportViolation(promise::never_back, incarnation + " returned from configuration version " + std::to_string(newerVersion->first) + " to a version before " + std::to_string(version));
    else if (isSettled(now) && m_versions.contains(version) && sentAt > m_versions[version] + m_bounds.configurationDelay)
        reportViolation(promise::configured, incarnation + " does not serve the route of configuration version " + std::to_string(version));
}

void soak_checker::checkOverdueRequests(monotonic_time now)
{
    const auto forgetBefore = now - m_bounds.budgetWindow;
    for (auto position = m_requests.begin(); position != m_requests.end();) {
        auto& [id, state] = *position;
        if (!state.isFinished && !state.isExcused && now > state.sentAt + state.request.deadline + m_bounds.deadlineTolerance) {
            reportViolation(promise::in_time, "request " + id + " has no response from " + state.request.gateway + " after its deadline");
            state.isExcused = true;
        }
        // An old, finished request arrives at a searcher again only through a fault. It is then reported as a request that
        // no client sent.
        if (state.sentAt + state.request.deadline < forgetBefore && (state.isFinished || state.isExcused))
            position = m_requests.erase(position);
        else
            ++position;
    }
}

} // namespace limpetpier::soak
