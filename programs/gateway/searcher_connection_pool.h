#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "limpetpier/coordination/cold_allowance.h"
#include "limpetpier/coordination/failure_record.h"
#include "limpetpier/transport/http_channel.h"
#include "searcher_call.h"

namespace limpetpier {

// This process's part of a searcher's bounds; with no connections nothing is sent.
struct searcher_limits {
    std::uint32_t connections = 0;
    bool keepReady = false; // a connection is kept open between requests
    std::uint32_t coldRequestsPerSecond = 0;
    std::string healthPath = "/";
};

// Connections and running calls of one searcher.
class searcher_connection_pool {
public:
    searcher_connection_pool(asio::any_io_executor executor, const gateway_protocol& protocol, searcher_entry entry);
    ~searcher_connection_pool();
    searcher_connection_pool(const searcher_connection_pool&) = delete;
    searcher_connection_pool& operator=(const searcher_connection_pool&) = delete;

    // Takes over what the platform's list says now. A new start or address ends the old connections.
    void update(const searcher_entry& entry, monotonic_time coldUntil);
    void changeLimits(const searcher_limits& limits);
    void setEvacuated(bool evacuated);

    [[nodiscard]] const searcher_entry& entry() const { return m_entry; }
    [[nodiscard]] const searcher_limits& limits() const { return m_limits; }

    // False once it is leaving, or while its zone is to be emptied.
    [[nodiscard]] bool acceptsRequests() const { return !m_entry.draining && !m_evacuated; }

    // True if a request may be sent now.
    [[nodiscard]] bool isUsable(monotonic_time now);

    // True if requests may be sent now or as soon as a connection is free.
    [[nodiscard]] bool isReachable() const { return acceptsRequests() && m_verified && m_limits.connections > 0; }

    // Expected cost of sending here, in multiples of an ordinary reply's time; smaller is better.
    [[nodiscard]] double expectedCost(monotonic_time now) const;

    // Sends once a connection is there; the result comes to the call's handler.
    void send(const call_handle& call);

    // Ends interest in a call. One not yet written is not sent; a running one may finish within the linger, then its
    // connection is closed, so that the searcher drops it.
    void cancel(const call_handle& call, milliseconds gracePeriod);

    // Records a reply's time in multiples of the ordinary one.
    void recordRelativeLatency(double relativeLatency, monotonic_time now);

    // Ends what lingered too long, and opens the connection that is kept ready; true if it did the latter.
    bool maintain(monotonic_time now);

    [[nodiscard]] std::size_t connectionCount() const { return m_connections.size(); }
    [[nodiscard]] std::size_t runningCalls() const;

private:
    struct pooled_connection {
        std::shared_ptr<http_channel> channel;
        call_handle call;
        bool verifying = false;
        bool used = false; // has carried a request or a health check
        monotonic_time idleSince {};
        std::optional<monotonic_time> closeAt; // the call was cancelled
    };
    using pooled_connection_ptr = std::shared_ptr<pooled_connection>;

    [[nodiscard]] bool shouldClose(const pooled_connection& connection, monotonic_time now) const; // to be closed
    void openConnection();
    void handleOpened(const pooled_connection_ptr& opened, bool success);
    void verify(const pooled_connection_ptr& opened);
    void handleHealthReply(const pooled_connection_ptr& opened, const exchange_result& result);
    void sendQueuedCalls();
    void write(const pooled_connection_ptr& idle, const call_handle& call);
    void handleReply(const pooled_connection_ptr& used, const call_handle& call, exchange_result result);
    void recordOutcome(bool failed, monotonic_time now);
    void handleClosedConnection(const pooled_connection_ptr& gone);
    void handleConnectionFailure();
    void backOff(monotonic_time now);
    void markUnverified(const char* why);
    void failQueuedCalls();
    void closeIdleConnections();
    void closeAllConnections();
    pooled_connection_ptr findIdleConnection(monotonic_time now);
    [[nodiscard]] std::size_t connectingCount() const;

    asio::any_io_executor m_executor;
    const gateway_protocol& m_protocol;
    searcher_entry m_entry;
    monotonic_time m_coldUntil {};
    cold_allowance m_coldRequests;
    searcher_limits m_limits;
    bool m_evacuated = false;
    bool m_verified = true;
    std::uint32_t m_unhealthyReplies = 0;
    monotonic_time m_reconnectAt {};
    milliseconds m_reconnectDelay;
    monotonic_time m_lastSentAt;
    std::optional<milliseconds> m_idleLimit; // after which the searcher closes an idle connection, by its own word
    failure_record m_failures;
    bool m_reportedFailing = false;
    double m_relativeLatency = 1;
    monotonic_time m_relativeLatencyAt {};
    std::vector<pooled_connection_ptr> m_connections;
    std::deque<call_handle> m_queue;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace limpetpier
