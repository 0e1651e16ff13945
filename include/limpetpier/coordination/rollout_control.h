#pragma once

#include <deque>
#include <optional>
#include <set>

#include "limpetpier/state/rollout.h"

namespace limpetpier {

// Limits of all roll-outs of a deployment, over all its processes.
struct rollout_limits {
    double exposedShare = 0.1; // of a service's requests that a bad version may get
    double exposedSlack = 0; // requests in addition to that share
    milliseconds noticeDelay { 1000 }; // longest time until a change in the store is known to a process
    milliseconds switchTime { 5000 }; // from the switch of all requests to the end of the last one sent before
};

// Decides on the roll-outs of one service: how much of its own traffic this process may send to the target version, and
// whether that version is proved or goes back.
//
// Each process bounds its own traffic, so that the sum over all keeps the limits without messages between them. All
// processes sum up the same reports, so each stops sending to a bad version without waiting for the status.
class rollout_control {
public:
    explicit rollout_control(const rollout_limits& limits);

    void setLimits(const rollout_limits& limits) { m_limits = limits; }

    // Circumstances in which a process learns of an order.
    struct order_context {
        monotonic_time now;
        std::int64_t wallClockMs = 0; // milliseconds since the Unix epoch
        std::size_t members = 1; // live processes, including this one
        std::size_t rank = 0; // of this process among them, for this service
        bool isFirstRead = false; // the order was there at the process's first read, so its share may be spent already
    };

    // Sets the stored order or its absence. Without one, an unfinished roll-out is abandoned.
    void setOrder(const std::optional<rollout_order>& order, const order_context& context);

    // Sets the stored status or its absence. In one batch, set it before the order.
    void setStatus(const std::optional<rollout_status>& status, monotonic_time now);

    // Sets the latest stored report of another process; counts never fall.
    void setReport(const node_id& node, const rollout_report& report);

    // Continues with this process's own report from before its restart.
    void restoreOwnReport(const rollout_report& report);

    // Searchers of one version that accept requests.
    struct version_capacity {
        std::uint32_t slots = 0;
        std::uint32_t warmSlots = 0; // of searchers that are no longer cold
    };
    void setVersions(std::map<software_version, version_capacity> versions) { m_versions = std::move(versions); }

    // Sets whether the store answers this process. While it does not, nothing is sent to an unproved version.
    void setStoreReachable(bool reachable) { m_storeReachable = reachable; }

    // How requests may use the searchers of a version.
    enum class version_use : std::uint8_t {
        free,
        limited, // only if mayExpose()
        fallback, // only if no other version has a usable searcher
        none,
    };
    [[nodiscard]] version_use use(const software_version& version) const;

    // Returns true if one more request may be sent to the target version.
    [[nodiscard]] bool mayExpose() const;

    // Returns true if a request that may be sent to the target version should be. Every third one should not, where
    // another version can take it.
    [[nodiscard]] bool prefersTarget() const;

    // Records a request that is sent to a searcher of a version, or one that was never written.
    void recordSend(const software_version& version);
    void recordUnsent(const software_version& version);

    // Records a searcher's answer. The time of a cold searcher's answer does not count against its version. Without known
    // times of the other versions, only a failure says something of the target version.
    void recordAnswer(const software_version& version, const std::string& route, bool failed, microseconds elapsed, bool cold);

    // Records a call that was given up without an answer after this time.
    void recordAbandoned(const software_version& version, const std::string& route, microseconds elapsed, bool cold);

    // Evaluates the reports. To be called periodically.
    void evaluate(monotonic_time now);

    // Returns the status that should be stored now; empty if the stored one stands or if a process of a lower rank is
    // expected to write it. rank: as in order_context, at present.
    [[nodiscard]] std::optional<rollout_status> decide(monotonic_time now, std::int64_t wallClockMs, std::size_t rank);

    // Returns true while an order has no final status.
    [[nodiscard]] bool isActive() const { return m_order && !isFinal(); }

    // Returns true if this process knows the target version to be bad.
    [[nodiscard]] bool isBad() const { return m_bad; }

    [[nodiscard]] const std::optional<rollout_order>& order() const { return m_order; }
    [[nodiscard]] const std::optional<rollout_status>& status() const { return m_status; }
    [[nodiscard]] const rollout_report& ownReport() const { return m_own; }

    // Answers on all routes, as reported by all processes.
    [[nodiscard]] std::map<std::string, route_evidence> totals() const;

    // Returns true if requests are restricted in any way.
    [[nodiscard]] bool isRestricting() const { return m_order || m_status || m_success; }

private:
    // Sums of all reports at one time.
    struct snapshot {
        monotonic_time at;
        std::map<std::string, route_evidence> routes;
    };

    [[nodiscard]] bool answersOrder() const;
    [[nodiscard]] bool isAlreadyOnTarget() const;
    [[nodiscard]] bool isFinal() const;
    [[nodiscard]] rollout_phase phase() const;
    [[nodiscard]] std::set<software_version> excluded() const;
    [[nodiscard]] milliseconds switchTime() const;
    [[nodiscard]] monotonic_time proofDue() const;
    [[nodiscard]] monotonic_time decisionDue() const;
    [[nodiscard]] bool isProved(monotonic_time now) const;
    [[nodiscard]] std::optional<microseconds> medianReplyTime(const std::string& route) const;
    [[nodiscard]] bool isSlow(const std::string& route, microseconds elapsed) const;
    [[nodiscard]] std::optional<rollout_status> nextStatus(monotonic_time now, std::int64_t wallClockMs) const;
    [[nodiscard]] std::vector<software_version> otherVersions() const;
    void recordReplyTime(const std::string& route, microseconds elapsed);

    rollout_limits m_limits;
    std::optional<rollout_order> m_order;
    std::optional<rollout_status> m_status;
    std::optional<rollout_status> m_success; // of the latest roll-out, also after its status is gone from the store
    bool m_orderEnded = false; // the order had a final status, which a later order's may have replaced
    monotonic_time m_startedAt {}; // of the order
    monotonic_time m_phaseSince {}; // when the stored phase was first seen
    std::set<software_version> m_abandoned; // targets of earlier orders without a result
    rollout_report m_own;
    std::map<node_id, rollout_report> m_reports; // of the other processes
    std::map<std::string, std::deque<microseconds>> m_replyTimes; // recent ones of the other versions, by route
    std::map<software_version, version_capacity> m_versions;
    std::deque<snapshot> m_history;
    std::map<std::string, route_evidence> m_totals; // at the last evaluation
    std::uint32_t m_exposedInRow = 0; // requests to the target version since the last one to another
    double m_exposedShare = 0; // usable at present
    double m_suspicion = 0; // highest likelihood ratio, as a logarithm, over the answers since any snapshot
    bool m_bad = false;
    bool m_storeReachable = true;
    std::optional<rollout_status> m_due; // status that should be stored
    monotonic_time m_dueSince {};
};

} // namespace limpetpier
