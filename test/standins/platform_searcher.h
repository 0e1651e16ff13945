#pragma once

#include <algorithm>
#include <vector>

#include "limpetpier/state/clock.h"
#include "raw_server.h"

namespace limpetpier::standins {

// How a fake searcher responds to a request.
enum class searcher_behaviour : std::uint8_t {
    normal,
    shedding, // 503 with Not-Executed, without running the request
    failing, // 500 with a Response-Stamp
    unavailable, // runs the request and responds with 503 without Not-Executed
    misdirected, // 421
    not_responding, // runs the request and never responds
    resetting, // runs the request and resets the connection
    truncating, // closes the connection in the middle of the response body
    stale_response_first, // sends a response to an earlier request before its own
    extra_response, // sends a second response directly after its own
    close_delimited, // response without Content-Length, ended by closing the connection
    close_delimited_reset, // the same, but ended by a reset
    closing, // responds with "Connection: close" and closes
    mismatched_id, // responds with the Request-Id of another request
};

// Fake searcher of the platform on a loopback port.
class platform_searcher {
public:
    // records: one letter for each 16-byte record of a normal response. Port 0 selects a free port.
    platform_searcher(boost::asio::io_context& io, std::string id, std::string records, unsigned short port = 0);

    // Applies to requests that are answered from now on.
    void setBehaviour(searcher_behaviour behaviour) { m_behaviour = behaviour; }

    // Sets a callback for each request other than health checks. ran: whether the searcher runs the request.
    using arrival_handler = std::function<void(const http_request&, bool ran)>;
    void onArrival(arrival_handler handle) { m_onArrival = std::move(handle); }

    // Makes each record contain the request's id, and delays each response by the time that the callback returns.
    void answerWithRequestId(std::function<milliseconds()> workTime) { m_workTime = std::move(workTime); }

    // Sets the version in the store entry.
    void setVersion(std::string version) { m_version = std::move(version); }

    // Sets the address in the store entry, instead of the searcher's own.
    void advertise(std::string address) { m_advertised = std::move(address); }

    // Sets a callback for each Response-Stamp that the searcher sends.
    void onResponseStamp(std::function<void(const std::string& stamp, const std::string& requestId)> handle) { m_onResponseStamp = std::move(handle); }

    // Returns the JSON entry of this searcher for the store.
    [[nodiscard]] std::string entry(const std::string& service, const std::string& zone, const std::string& state = "ready", int coldLeftMs = 0) const;

    // Sets the remaining cold time that health checks report.
    void setCold(int leftMs) { m_coldLeftMs = leftMs; }
    void setHealthy(bool healthy) { m_healthy = healthy; }

    // Makes every response from now on, health checks included, announce that the searcher is leaving.
    void announceLeaving() { m_leaving = true; }
    [[nodiscard]] bool isLeaving() const { return m_leaving; }

    // Sets the value of Retry-After in responses with 503; empty: none.
    void setRetryAfter(std::string value) { m_retryAfter = std::move(value); }

    // Sets a callback for each request that the searcher rejects with Retry-After.
    void onPushback(std::function<void(const std::string& requestId)> handle) { m_onPushback = std::move(handle); }

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] std::string address() const { return m_server.address(); }
    [[nodiscard]] raw_server& server() { return m_server; }

    // Number of requests, health checks not counted.
    [[nodiscard]] std::size_t arrivals() const { return m_arrivals; }
    [[nodiscard]] std::size_t healthChecks() const { return m_healthChecks; }
    // Number of times that the request with this id was run.
    [[nodiscard]] std::size_t runsOf(const std::string& requestId) const { return static_cast<std::size_t>(std::count(m_runs.begin(), m_runs.end(), requestId)); }
    [[nodiscard]] const http_request& lastRequest() const { return m_lastRequest; }

    // Number of open connections that wait for a response held back by not_responding.
    [[nodiscard]] std::size_t waitingClients() const;

private:
    void handle(const http_request& request, const raw_exchange_handle& exchange);
    void answer(const http_request& request, const raw_exchange_handle& exchange);
    void reply(const http_request& request, const raw_exchange_handle& exchange);
    [[nodiscard]] std::string records(const std::string& requestId) const;
    void rejectUnexecuted(unsigned status, http_field reason, const raw_exchange_handle& exchange) const;
    void addNotices(http_reply& reply) const;
    [[nodiscard]] std::string createStamp(const std::string& requestId) const;
    [[nodiscard]] std::string format(unsigned status, const std::string& requestId, const std::string& body, bool withStamp, bool close = false) const;

    boost::asio::io_context& m_io;
    raw_server m_server;
    std::string m_id;
    std::size_t m_incarnation; // differs between all searchers of the process, and is part of the stamps
    std::string m_advertised;
    std::string m_version = "v1";
    arrival_handler m_onArrival;
    std::function<milliseconds()> m_workTime; // null: fixed records, without delay
    std::string m_records;
    searcher_behaviour m_behaviour = searcher_behaviour::normal;
    int m_coldLeftMs = 0;
    bool m_healthy = true;
    bool m_leaving = false;
    std::string m_retryAfter;
    std::function<void(const std::string&)> m_onPushback;
    std::size_t m_arrivals = 0;
    std::size_t m_healthChecks = 0;
    std::function<void(const std::string&, const std::string&)> m_onResponseStamp;
    mutable std::size_t m_stampCount = 0;
    std::vector<std::string> m_runs;
    http_request m_lastRequest;
    std::vector<raw_exchange_handle> m_unanswered;
};

} // namespace limpetpier::standins
