#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "limpetpier/coordination/cold_allowance.h"
#include "limpetpier/coordination/failure_record.h"
#include "limpetpier/coordination/send_restriction.h"
#include "limpetpier/transport/http_channel.h"
#include "searcher_call.h"

namespace limpetpier {

// This process's share of a searcher's limits. Nothing is sent while connections is 0.
struct searcher_limits {
    std::uint32_t connections = 0;
    bool keepReady = false; // keeps one connection open between requests
    std::uint32_t coldRequestsPerSecond = 0;
    std::string healthPath = "/";
};

// Connections, queued calls and running calls of one searcher.
class searcher_connection_pool {
public:
    // protocol must outlive the pool. The budget limits the memory for replies of all pools that share it.
    searcher_connection_pool(asio::any_io_executor executor, const gateway_protocol& protocol, searcher_entry entry, std::shared_ptr<connection_budget> budget);
    ~searcher_connection_pool();
    searcher_connection_pool(const searcher_connection_pool&) = delete;
    searcher_connection_pool& operator=(const searcher_connection_pool&) = delete;

    // Applies the searcher's current directory entry. Closes idle connections if the searcher restarted, changed its
    // address or is draining; notices from before a restart no longer apply. Until coldUntil, requests are limited to the
    // cold rate.
    void update(const searcher_entry& entry, monotonic_time coldUntil);

    // Replaces the limits. Surplus connections are closed by maintain() once they are idle.
    void changeLimits(const searcher_limits& limits);

    // Sets whether the searcher's zone is being evacuated. After an evacuation the searcher is verified before use.
    void setEvacuated(bool evacuated);

    [[nodiscard]] const searcher_entry& entry() const { return m_entry; }
    [[nodiscard]] const searcher_limits& limits() const { return m_limits; }

    // Returns false while the searcher is draining, after it announced that it leaves, and while its zone is being
    // evacuated.
    [[nodiscard]] bool acceptsRequests() const { return !m_entry.draining && !m_evacuated && !m_restriction.isLeaving(); }

    // Returns the earliest time at which the searcher may be sent a request, considering its notices and failed
    // connections: now, a later time, or the maximum if it does not accept requests.
    [[nodiscard]] monotonic_time sendableFrom(monotonic_time now) const;

    // What the searcher stated about further requests. Kept by the owner if the searcher's entry is missing for a while.
    [[nodiscard]] const send_restriction& restriction() const { return m_restriction; }
    void restore(const send_restriction& restriction) { m_restriction = restriction; }

    // Returns true if a request may be sent or queued now.
    [[nodiscard]] bool isUsable(monotonic_time now);

    // Returns true if the searcher accepts requests now and is verified, even if all connections are busy.
    [[nodiscard]] bool isReachable(monotonic_time now) const { return acceptsRequests() && m_verified && m_limits.connections > 0 && m_restriction.allowsSend(now); }

    // Returns the expected cost of a send to this searcher, in multiples of the median reply time.
    [[nodiscard]] double expectedCost(monotonic_time now) const;

    // Sends a call as soon as a connection is free. Its onResult receives the result.
    void send(const call_handle& call);

    // Cancels a call; its onResult is not called. An unwritten call is not sent. The connection of a running call is
    // closed if the call does not end within the grace period, so that the searcher aborts it.
    void cancel(const call_handle& call, milliseconds gracePeriod);

    // Records a reply time in multiples of the route's median.
    void recordRelativeLatency(double relativeLatency, monotonic_time now);

    // Closes connections that are idle or past their time limit, and opens one if the searcher must be verified or one
    // must be kept ready. Returns true if it opened one.
    bool maintain(monotonic_time now);

    // Returns the number of connections, including those being opened.
    [[nodiscard]] std::size_t connectionCount() const { return m_connections.size(); }

    // Returns the number of calls that were written and have not ended.
    [[nodiscard]] std::size_t runningCalls() const;

private:
    struct pooled_connection {
        std::shared_ptr<http_channel> channel;
        call_handle call; // running on this connection; null if none
        bool verifying = false; // opened for a health check that has not ended
        bool used = false; // has carried a request or a completed health check
        std::uint64_t incarnation = 0; // of the searcher when the connection was opened
        monotonic_time idleSince {};
        std::optional<monotonic_time> closeAt; // time limit of a cancelled call or a health check
    };
    using pooled_connection_ptr = std::shared_ptr<pooled_connection>;

    [[nodiscard]] bool isCold(monotonic_time now) const { return now < std::max(m_coldUntil, m_reportedColdUntil); }
    [[nodiscard]] bool shouldClose(const pooled_connection& connection, monotonic_time now) const;
    void openConnection();
    void handleOpened(const pooled_connection_ptr& opened, bool success);
    void verify(const pooled_connection_ptr& opened);
    void handleHealthReply(const pooled_connection_ptr& opened, const exchange_result& result);
    void sendQueuedCalls();
    void writeCall(const pooled_connection_ptr& idle, const call_handle& call);
    void handleReply(const pooled_connection_ptr& used, const call_handle& call, exchange_result result);
    void applyNotice(const pooled_connection& from, const http_reply& reply);
    void recordOutcome(bool failed, monotonic_time now);
    void handleClosedConnection(const pooled_connection_ptr& closed);
    void handleUnhealthyReply(const health_report& report);
    void handleConnectionFailure();
    void delayReconnect(monotonic_time now);
    void markUnverified(const char* why);
    void failQueuedCalls();
    void closeIdleConnections();
    void closeAllConnections();
    pooled_connection_ptr findIdleConnection(monotonic_time now);
    [[nodiscard]] std::size_t connectingCount() const;
    [[nodiscard]] bool hasOpenConnection() const;

    asio::any_io_executor m_executor;
    const gateway_protocol& m_protocol;
    searcher_entry m_entry;
    std::shared_ptr<connection_budget> m_receiveBudget;
    monotonic_time m_coldUntil {}; // according to its entry
    monotonic_time m_reportedColdUntil {}; // according to its last health check; an entry may be older
    cold_allowance m_coldRequests;
    searcher_limits m_limits;
    send_restriction m_restriction;
    std::uint64_t m_incarnation = 0; // incremented when the searcher restarts
    bool m_evacuated = false;
    bool m_verified = true;
    bool m_uptimeKnown = true; // false if the searcher may have restarted while no connection was open
    bool m_wasConnected = false;
    monotonic_time m_lastReplyAt {}; // when it last completed a reply
    std::uint32_t m_unhealthyReplies = 0; // in a row
    monotonic_time m_reconnectAt {}; // no connection is opened before
    milliseconds m_reconnectDelay;
    monotonic_time m_lastSentAt;
    std::optional<milliseconds> m_idleLimit; // after which the searcher closes an idle connection, as it stated
    failure_record m_failures;
    bool m_reportedFailing = false; // as last logged
    double m_relativeLatency = 1; // moving average, in multiples of the median
    monotonic_time m_relativeLatencyAt {};
    std::vector<pooled_connection_ptr> m_connections; // most recently used last
    std::deque<call_handle> m_queue;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false once the pool is destroyed
};

} // namespace limpetpier
