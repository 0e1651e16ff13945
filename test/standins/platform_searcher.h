#pragma once

#include <algorithm>
#include <vector>

#include "limpetpier/state/clock.h"
#include "raw_server.h"

namespace limpetpier::standins {

// What a stand-in searcher does with a request.
enum class searcher_mood : std::uint8_t {
    well,
    shedding, // 503, not executed
    failing, // 500 of its own, with a signature
    refusing, // 503 without a word on whether it ran
    misdirected, // 421
    mute, // runs it and never answers
    resetting, // runs it and resets the connection
    truncating, // ends the connection in the middle of its answer
    doubling, // sends an answer to an earlier request first
    trailing, // sends a second answer right after its own
    unframed, // an answer without length, ended by its connection
    unframed_reset, // the same, ended by a reset
    leaving, // answers, says that it closes, and closes
    crossing, // answers with the id of another request
};

// Stand-in of a searcher of the platform on a loopback port.
class platform_searcher {
public:
    // records: letters of the 16-byte records that it answers.
    platform_searcher(boost::asio::io_context& io, std::string id, std::string records, unsigned short port = 0);

    void setMood(searcher_mood mood) { m_mood = mood; }

    // Told of each request, and whether it is run.
    using arrival_handler = std::function<void(const http_request&, bool ran)>;
    void onArrival(arrival_handler handle) { m_onArrival = std::move(handle); }

    // Makes each record hold the request's id, and answers after a while; the time is asked for each request.
    void answerById(std::function<milliseconds()> workTime) { m_workTime = std::move(workTime); }

    // Its entry in the store shows this address instead of its own.
    void advertise(std::string address) { m_advertised = std::move(address); }

    // Told of each signature that it gives, and to which request.
    void onSigned(std::function<void(const std::string& signature, const std::string& requestId)> handle) { m_onSigned = std::move(handle); }

    // Its entry in the store.
    [[nodiscard]] std::string entry(const std::string& service, const std::string& zone, const std::string& state = "ready", int coldLeftMs = 0) const;

    void setCold(int leftMs) { m_coldLeftMs = leftMs; }
    void setHealthy(bool healthy) { m_healthy = healthy; }

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] std::string address() const { return m_server.address(); }
    [[nodiscard]] raw_server& server() { return m_server; }

    [[nodiscard]] std::size_t arrivals() const { return m_arrivals; }
    [[nodiscard]] std::size_t healthChecks() const { return m_healthChecks; }
    [[nodiscard]] std::size_t runsOf(const std::string& requestId) const { return static_cast<std::size_t>(std::count(m_runs.begin(), m_runs.end(), requestId)); }
    [[nodiscard]] const http_request& lastRequest() const { return m_lastRequest; }

    // Clients that still wait for a mute searcher.
    [[nodiscard]] std::size_t waiting() const;

private:
    void handle(const http_request& request, const raw_exchange_handle& exchange);
    void answer(const http_request& request, const raw_exchange_handle& exchange);
    void reply(const http_request& request, const raw_exchange_handle& exchange);
    [[nodiscard]] std::string records(const std::string& requestId) const;
    [[nodiscard]] std::string sign(const std::string& requestId) const;
    [[nodiscard]] std::string format(unsigned status, const std::string& requestId, const std::string& body, bool signature, bool close = false) const;

    boost::asio::io_context& m_io;
    raw_server m_server;
    std::string m_id;
    std::size_t m_run; // of this process, over all searchers
    std::string m_advertised;
    arrival_handler m_onArrival;
    std::function<milliseconds()> m_workTime; // null: fixed records, at once
    std::string m_records;
    searcher_mood m_mood = searcher_mood::well;
    int m_coldLeftMs = 0;
    bool m_healthy = true;
    std::size_t m_arrivals = 0;
    std::size_t m_healthChecks = 0;
    std::function<void(const std::string&, const std::string&)> m_onSigned;
    mutable std::size_t m_signatures = 0;
    std::vector<std::string> m_runs;
    http_request m_lastRequest;
    std::vector<raw_exchange_handle> m_unanswered;
};

} // namespace limpetpier::standins
