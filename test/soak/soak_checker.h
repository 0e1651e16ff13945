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

// What clients, searchers and the operator are promised.
enum class promise : std::uint8_t {
    once, // an unsafe request runs once at most
    true_refusal, // a request said not to have run has not run and does not run later
    own_answer, // an answer belongs to its request
    true_coverage, // an answer names the parts that are in it and counts the missing ones
    no_cut, // a request that was passed on is answered
    in_time, // a request is answered soon after its deadline at the latest
    left_alone, // nothing is done for a client that left
    drained, // a draining searcher, or one in a zone to be emptied, gets nothing after a while
    configured, // a new configuration is in force after a while
    never_back, // a process does not go back to an older one
    cold, // a cold searcher gets its allowance at most
    extra_sends, // repeats and hedges keep within their budget
    recovered, // once the faults are over, requests are served whole
    ends_well, // processes end only when told to, and in time
};

constexpr std::size_t promiseCount = 14;
const char* toText(promise kept);

// A request as its client sent it.
struct sent_request {
    std::string id;
    std::string gateway;
    std::vector<std::string> services; // one for each part
    bool isSafe = true;
    milliseconds deadline { 400 };
};

// What its client got.
struct client_answer {
    unsigned status = 0;
    bool saysNotRun = false;
    std::vector<std::string> signatures;
    std::size_t missing = 0;
    std::string records;
};

// Bounds that the deployment states; the soak's configuration and settings hold the same.
struct soak_bounds {
    milliseconds draining { 3000 };
    milliseconds configuration { 3000 };
    milliseconds stable { 5000 }; // after a disturbance, until bounds in time hold again
    milliseconds afterDeadline { 2000 }; // a process on a shared machine may be late by this much
    milliseconds afterLeaving { 500 };
    milliseconds window { 10'000 };
    double extraShare = 0.2;
    double extraSlack = 58;
    double coldPerSecond = 5;
};

// Decides the promises while a soak runs, from what clients and searchers see. All times are of one clock.
class soak_checker {
public:
    explicit soak_checker(soak_bounds bounds)
        : m_bounds(bounds)
    {
    }

    void sent(const sent_request& request, monotonic_time now);
    void arrived(const std::string& requestId, const std::string& searcher, const std::string& service, bool runs, monotonic_time now);
    void gaveSignature(const std::string& signature, const std::string& requestId, const std::string& service) { m_signatures[signature] = { requestId, service }; }
    void answered(const std::string& requestId, const client_answer& answer, monotonic_time now);
    void left(const std::string& requestId, monotonic_time now); // by its client
    void cut(const std::string& requestId); // the connection ended without an answer

    // A process was killed or frozen, until it is back: its requests may be cut or late.
    void gatewayDown(const std::string& gateway, monotonic_time now);
    void gatewayBack(const std::string& gateway, monotonic_time now);

    // Something else was disturbed: bounds in time hold again after a calm while.
    void disturbed(monotonic_time now) { m_calmFrom = std::max(m_calmFrom, now + m_bounds.stable); }

    void mustRest(const std::string& searcher, monotonic_time now) { m_resting[searcher] = now + m_bounds.draining; }
    void mayWork(const std::string& searcher) { m_resting.erase(searcher); }
    void turnedCold(const std::string& searcher, monotonic_time until) { m_cold[searcher].until = until; }
    void configured(std::uint64_t version, monotonic_time now) { m_versions[version] = now; }

    // A client asked a process for a route that came with a version; served tells whether the process knew it.
    void probed(const std::string& incarnation, std::uint64_t version, bool served, monotonic_time sentAt, monotonic_time now);

    // Requests from now on must be answered whole.
    void expectRecovered() { m_recovered = true; }

    // Looks for requests that are overdue. For a call now and then.
    void check(monotonic_time now);

    void report(promise broken, const std::string& what);

    struct violation {
        promise broken;
        std::string what;
    };
    [[nodiscard]] const std::vector<violation>& violations() const { return m_violations; }
    [[nodiscard]] std::size_t requests() const { return m_requestCount; }
    [[nodiscard]] std::size_t wholeAnswers() const { return m_whole; }

private:
    struct request_state {
        sent_request request;
        monotonic_time at;
        std::set<std::string> services; // that it arrived at
        std::map<std::string, std::uint32_t> runs; // by service
        bool isOver = false;
        bool recovered = false; // must be answered whole
        bool saidNotRun = false;
        bool excused = false; // its process was disturbed meanwhile
        std::optional<monotonic_time> leftAt;
    };
    struct cold_state {
        monotonic_time until {};
        std::deque<monotonic_time> arrivals; // of the last second
    };
    struct service_window {
        std::deque<monotonic_time> requests;
        std::deque<monotonic_time> extra;
    };

    void checkArrival(const request_state& state, const std::string& searcher, monotonic_time now);
    void checkCold(const std::string& searcher, monotonic_time now);
    void checkExtra(const std::string& service, bool isFirst, monotonic_time now);
    void checkParts(const request_state& state, const client_answer& answer);
    void checkRecords(const request_state& state, const client_answer& answer);
    void excuse(const std::string& gateway);
    [[nodiscard]] bool isCalm(monotonic_time now) const { return now > m_calmFrom; }

    soak_bounds m_bounds;
    std::map<std::string, request_state> m_requests;
    std::set<std::string> m_down; // gateways
    std::map<std::string, std::pair<std::string, std::string>> m_signatures; // request and service
    std::map<std::string, monotonic_time> m_resting;
    std::map<std::string, cold_state> m_cold;
    std::map<std::string, service_window> m_windows;
    std::map<std::uint64_t, monotonic_time> m_versions; // when they were written
    std::map<std::string, std::map<std::uint64_t, monotonic_time>> m_known; // versions seen in force and since when, by incarnation
    std::vector<violation> m_violations;
    monotonic_time m_calmFrom {};
    bool m_recovered = false;
    std::size_t m_requestCount = 0;
    std::size_t m_whole = 0;
};

} // namespace limpetpier::soak
