#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/workspace.h"

namespace limpetpier {

// Exponentially decaying count of recent events.
class recent_count {
public:
    explicit recent_count(milliseconds decayTime)
        : m_decayTime(decayTime)
    {
    }

    void add(double amount, monotonic_time now);
    [[nodiscard]] double at(monotonic_time now) const;

    // Events per second, if counting began at a given time.
    [[nodiscard]] double rate(monotonic_time since, monotonic_time now) const;

private:
    milliseconds m_decayTime;
    double m_count = 0;
    monotonic_time m_countedAt {};
};

// What the admission of a request depends on.
struct admission_candidate {
    std::string route;
    std::uint32_t priority = 0; // 0 is the highest
    workspace_id workspace {}; // empty if it has none
    double work = 1; // searcher time that it needs, relative to the other routes of the service
    milliseconds objective { 0 }; // latency objective
    monotonic_time deadline;
};

enum class admission_verdict : std::uint8_t {
    admit,
    wait, // until recordEnd() or takeExpired() returns the ticket; decision.until is the latest time
    refuse, // decision.until is when to return
};

// Returns the verdict as logged.
const char* toText(admission_verdict verdict);

// Names a waiting request.
using admission_ticket = number_id<struct admission_ticket_tag>;

struct admission_decision {
    admission_verdict verdict = admission_verdict::admit;
    const char* reason = "calm"; // as logged
    monotonic_time until {};
    admission_ticket ticket {}; // of a request that waits
};

// A request that waited in vain.
struct expired_wait {
    admission_ticket ticket;
    monotonic_time returnAt;
};

// How an admitted request ended.
enum class admission_outcome : std::uint8_t {
    served,
    lacked_capacity, // no searcher accepted it, or too few replied in time
    indifferent, // says nothing of the capacity, such as a client that left
};

// End of an admitted request.
struct admission_end {
    admission_outcome outcome = admission_outcome::served;
    std::string route;
    monotonic_time admittedAt;
    microseconds elapsed { 0 };
};

// Share of requests that is admitted: reduced when requests fail, it returns to the share before and, if nothing fails
// there, grows beyond it.
class admitted_level {
public:
    [[nodiscard]] double at(monotonic_time now) const;
    void reduce(double failedShare, monotonic_time now);

    // False shortly after a reduction.
    [[nodiscard]] bool isReducible(monotonic_time now) const;

    // True if a request admitted then was subject to the last reduction.
    [[nodiscard]] bool isAfterReduction(monotonic_time admittedAt) const { return !m_reducedAt || admittedAt >= *m_reducedAt; }

    // Time until it is back at the share before.
    [[nodiscard]] milliseconds recoveryLeft(monotonic_time now) const;

private:
    std::optional<monotonic_time> m_reducedAt;
    double m_before = 1;
    double m_reduced = 1;
};

// Decides which requests give way while a service, or the shards of a query, cannot serve all of them.
//
// Shortage is inferred from the ends of this process's own requests. Without recent ends for lack of capacity, every
// request is admitted. During a shortage, only a share of the requests is admitted, which follows what fails, and routes
// receive it in the order of their priority and then of the work that a request needs; a reserve keeps every route and workspace from starving.
// Within a route, workspaces that send far more than their usual share give way first. A route that fails much more often
// than the others is reduced by itself. Time and random numbers are passed in.
class request_admission {
public:
    // Decides on a request that has just arrived. draw and spread: independent random numbers from 0 to 1, exclusive.
    [[nodiscard]] admission_decision decide(const admission_candidate& candidate, monotonic_time now, double draw, double spread);

    // Records that an admitted request ended. Returns the waiting request that takes its place, if any;
    // it counts as admitted.
    [[nodiscard]] std::optional<admission_ticket> recordEnd(const admission_end& ended, monotonic_time now);

    // Removes the requests whose wait is over, which are to be refused.
    [[nodiscard]] std::vector<expired_wait> takeExpired(monotonic_time now, double spread);

    // Removes a waiting request whose client has left.
    void abandon(admission_ticket ticket);

    // Earliest time at which a wait is over; the maximum if none waits.
    [[nodiscard]] monotonic_time nextExpiry() const;

    // Share of the requests that exceeds the capacity, from 0 to 1; 0 without evidence of a shortage.
    [[nodiscard]] double shortage(monotonic_time now) const;

    // Share of a route's requests that is admitted now, from 0 to 1.
    [[nodiscard]] double admittedShare(const std::string& route, monotonic_time now) const;

    // Requests that ended for lack of capacity, lately, below which there is no shortage; also as a share of all.
    static constexpr double minimumEvidence = 2;
    static constexpr double tolerableFailures = 0.1;

    // Every route and workspace is admitted at least this fraction as often as all requests together.
    static constexpr double reserve = 0.45;

    // Share of the requests that is admitted in any shortage, so that its end is noticed.
    static constexpr double minimumAdmitted = 0.2;

    // A route is reduced by itself if this share of its requests fails, and a smaller one than half of that elsewhere.
    static constexpr double outlierFailures = 0.5;
    static constexpr double outlierFactor = 2;

    // A request waits for at most this fraction (1/n) of its latency objective, and never past its deadline.
    static constexpr int maxWaitDivisor = 5;

    // A workspace's requests beyond this multiple of its usual rate give way first.
    static constexpr double surplusFactor = 2;

    // Time constants of what counts as recent and as usual.
    static constexpr milliseconds recentTime { 1500 };
    static constexpr milliseconds usualTime { 60'000 };

    // Limit of a route's table of workspaces.
    static constexpr std::size_t maxWorkspaces = 512;

private:
    struct workspace_record {
        recent_count recent { recentTime };
        recent_count usual { usualTime };
    };

    struct route_record {
        std::uint32_t priority = 0;
        double work = 1;
        monotonic_time firstArrival {};
        recent_count arrived { recentTime };
        recent_count surplus { recentTime }; // arrivals beyond the usual rate of their workspaces
        recent_count served { recentTime };
        recent_count lacking { recentTime };
        admitted_level ownLevel;
        std::map<workspace_id, workspace_record> workspaces;
    };

    struct waiting_request {
        admission_ticket ticket;
        admission_candidate candidate;
        monotonic_time until;
    };

    // Counts the request, and returns the probability with which it is beyond the usual rate of its workspace.
    double recordArrival(route_record& route, const admission_candidate& candidate, monotonic_time now);
    [[nodiscard]] double admissionProbability(const route_record& route, double admitted, bool isSurplus, monotonic_time now) const;
    [[nodiscard]] static milliseconds longestWait(const admission_candidate& candidate, monotonic_time now);
    [[nodiscard]] bool isWaitWorthwhile(const admission_candidate& candidate, monotonic_time now) const;
    [[nodiscard]] monotonic_time returnTime(const admission_candidate& candidate, monotonic_time now, double spread) const;
    void recordLack(const admission_end& ended, monotonic_time now);

    admitted_level m_level; // of all routes together
    double m_meanMicroseconds = 0; // of served requests
    std::size_t m_running = 0;
    std::vector<waiting_request> m_waiting; // first to be admitted last
    std::uint64_t m_lastTicket = 0;
    std::map<std::string, route_record> m_routes;
};

} // namespace limpetpier
