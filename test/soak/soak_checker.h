#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "limpetpier/state/clock.h"

namespace limpetpier::soak {

// Guarantees that the gateways give to clients, searchers and the operator.
enum class promise : std::uint8_t {
    once, // An unsafe request is executed at most once.
    true_refusal, // A request reported as not executed has not been executed and is not executed later.
    own_answer, // A response belongs to its request.
    true_coverage, // A response names the parts that it contains and counts the missing ones.
    no_cut, // A request that was forwarded to a searcher gets a response.
    in_time, // A request gets its response soon after its deadline at the latest.
    left_alone, // Nothing is sent for a client that has disconnected.
    drained, // A draining searcher, or one in an evacuated zone, gets no requests once the drain delay has passed.
    configured, // A new configuration is in force once the configuration delay has passed.
    never_back, // A process doesn't return to an older configuration.
    cold, // A cold searcher gets no more requests than its limit allows.
    extra_sends, // Retries and hedged requests stay within their budget.
    recovered, // Once all faults have ended, requests get complete responses.
    ends_well, // A process exits only when told to, and in time.
    leaving, // A searcher that announced in a response that it leaves gets no requests once the drain delay has passed.
    pushed_back, // A searcher that rejected a request with a time to wait gets no requests in that time.
};

constexpr std::size_t promiseCount = 16;

// Returns the name of the enumerator, as scripts/soak uses it.
const char* toText(promise value);

// A request as its client sent it.
struct sent_request {
    std::string id;
    std::string gateway;
    std::vector<std::string> services; // One per part.
    bool isSafe = true;
    milliseconds deadline { 400 };
};

// A response as its client received it.
struct client_response {
    unsigned status = 0;
    bool reportsNotExecuted = false;
    std::vector<std::string> signatures; // One per part that the response contains.
    std::size_t missingParts = 0;
    std::string records; // Consecutive records of 16 bytes; the request's id starts at the second byte of each.
};

// Limits that the deployment states. The configuration and the settings of the soak use the same values.
struct soak_bounds {
    milliseconds drainDelay { 3000 };
    milliseconds configurationDelay { 3000 };
    milliseconds settleTime { 5000 }; // From a disturbance until time limits apply again.
    milliseconds deadlineTolerance { 2000 }; // A process on a shared machine may be late by this much.
    milliseconds disconnectTolerance { 500 };
    milliseconds budgetWindow { 10'000 };
    double extraRequestRatio = 0.2; // Extra requests per request.
    double extraRequestSlack = 58; // Extra requests per window in addition to the ratio.
    double coldRequestsPerSecond = 5;
    milliseconds pushbackTolerance { 500 }; // From the rejection until requests count.
    std::uint32_t requestsPerPushback = 2; // In the rest of the time to wait, from one gateway.
};

// Checks the promises during a soak, from what clients and searchers observe. All times come from the same clock.
class soak_checker {
public:
    explicit soak_checker(soak_bounds bounds)
        : m_bounds(bounds)
    {
    }

    // Records that a client sent a request. Call it before any other event of this request.
    void onRequestSent(const sent_request& request, monotonic_time now);

    // Records that a searcher received a request, or a part of one, for a service. isExecuted tells whether the searcher
    // executes it.
    void onRequestReceived(const std::string& requestId, const std::string& searcher, const std::string& service, bool isExecuted, monotonic_time now);

    // Records the signature that a searcher put on its response to a request.
    void onResponseSigned(const std::string& signature, const std::string& requestId, const std::string& service) { m_signatures[signature] = { requestId, service }; }

    // Records that the response with this signature announced that its searcher leaves. Call it before the client has it.
    void onLeavingAnnounced(const std::string& signature, const std::string& searcher) { m_leavingSignatures[signature] = searcher; }

    // Records that a searcher rejected a request and wants no other one from its gateway for this time.
    void onPushback(const std::string& requestId, const std::string& searcher, milliseconds duration, monotonic_time now);

    // Records that a searcher was restarted: what it said before does not apply any more.
    void onSearcherStarted(const std::string& searcher);

    // Records the response that a client received.
    void onResponseReceived(const std::string& requestId, const client_response& response, monotonic_time now);

    // Records that the client closed its connection before it had a response.
    void onClientDisconnected(const std::string& requestId, monotonic_time now);

    // Records that the gateway's connection ended without a response.
    void onConnectionLost(const std::string& requestId);

    // Records that a gateway was killed or paused. Until onGatewayUp, its requests may be late or get no response.
    void onGatewayDown(const std::string& gateway, monotonic_time now);

    // Records that a gateway was restarted or resumed.
    void onGatewayUp(const std::string& gateway, monotonic_time now);

    // Records a disturbance of anything but a gateway. Time limits apply again after soak_bounds::settleTime.
    void onDisturbance(monotonic_time now) { m_settledAt = std::max(m_settledAt, now + m_bounds.settleTime); }

    // Expects that the searcher gets no requests once soak_bounds::drainDelay has passed.
    void expectDrained(const std::string& searcher, monotonic_time now) { m_drainDeadlines[searcher] = now + m_bounds.drainDelay; }

    // Ends the expectation set by expectDrained.
    void allowRequests(const std::string& searcher) { m_drainDeadlines.erase(searcher); }

    // Sets the time until which the searcher is cold.
    void setColdUntil(const std::string& searcher, monotonic_time until) { m_cold[searcher].until = until; }

    // Records that a version of the configuration was written to the store.
    void onConfigurationWritten(std::uint64_t version, monotonic_time now) { m_versions[version] = now; }

    // Records that a client requested a route which a configuration version added. isServed tells whether the process
    // knew the route. A process has a new incarnation after each start.
    void onRouteProbed(const std::string& incarnation, std::uint64_t version, bool isServed, monotonic_time sentAt, monotonic_time now);

    // Expects complete responses to all requests sent from now on.
    void expectRecovered() { m_expectsRecovered = true; }

    // Reports overdue requests and removes the state of old ones. Call it periodically.
    void checkOverdueRequests(monotonic_time now);

    // Adds a violation.
    void reportViolation(promise broken, const std::string& description);

    struct violation {
        promise broken;
        std::string description;
    };

    // Returns all violations in the order in which they were found.
    [[nodiscard]] const std::vector<violation>& violations() const { return m_violations; }

    // Returns the number of requests sent.
    [[nodiscard]] std::size_t requestCount() const { return m_requestCount; }

    // Returns the number of successful responses without missing parts.
    [[nodiscard]] std::size_t completeResponseCount() const { return m_completeResponseCount; }

private:
    struct request_state {
        sent_request request;
        monotonic_time sentAt;
        std::set<std::string> services; // Services whose searchers received it.
        std::map<std::string, std::uint32_t> executions; // By service.
        bool isFinished = false;
        bool expectsComplete = false; // Set if it was sent after expectRecovered.
        bool reportedNotExecuted = false;
        bool isExcused = false; // Set if its gateway was killed or paused meanwhile.
        std::optional<monotonic_time> disconnectedAt;
    };
    struct cold_state {
        monotonic_time until {};
        std::deque<monotonic_time> arrivals; // Within the last second.
    };
    struct pushback_state {
        monotonic_time begin;
        monotonic_time end;
        std::uint32_t arrivals = 0;
    };
    using gateway_and_searcher = std::pair<std::string, std::string>;
    struct service_window {
        std::deque<monotonic_time> requests;
        std::deque<monotonic_time> extraRequests;
    };

    void checkArrival(const request_state& state, const std::string& searcher, monotonic_time now);
    void checkNotices(const request_state& state, const std::string& searcher, monotonic_time now);
    void forgetNotices(const std::string& gateway);
    void checkColdLimit(const std::string& searcher, monotonic_time now);
    void checkExtraRequests(const std::string& service, bool isFirst, monotonic_time now);
    void checkParts(const request_state& state, const client_response& response, monotonic_time now);
    void checkRecords(const request_state& state, const client_response& response);
    void excuseRequests(const std::string& gateway);
    [[nodiscard]] bool isSettled(monotonic_time now) const { return now > m_settledAt; }

    soak_bounds m_bounds;
    std::map<std::string, request_state> m_requests;
    std::set<std::string> m_downGateways;
    std::map<std::string, std::pair<std::string, std::string>> m_signatures; // Request id and service, by signature.
    std::map<std::string, monotonic_time> m_drainDeadlines; // By searcher.
    std::map<std::string, std::string> m_leavingSignatures; // Searcher by signature.
    std::map<gateway_and_searcher, monotonic_time> m_leaveDeadlines;
    std::map<gateway_and_searcher, std::vector<pushback_state>> m_pushbacks;
    std::map<std::string, cold_state> m_cold; // By searcher.
    std::map<std::string, service_window> m_windows; // By service.
    std::map<std::uint64_t, monotonic_time> m_versions; // Time at which each version was written.
    std::map<std::string, std::map<std::uint64_t, monotonic_time>> m_knownVersions; // First time each version was seen in force, by incarnation.
    std::vector<violation> m_violations;
    monotonic_time m_settledAt {};
    bool m_expectsRecovered = false;
    std::size_t m_requestCount = 0;
    std::size_t m_completeResponseCount = 0;
};

} // namespace limpetpier::soak
