#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "limpetpier/coordination/cold_ramp.h"
#include "limpetpier/coordination/latency_histogram.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"
#include "limpetpier/state/outcome.h"

namespace limpetpier {

// Identifies a sub-request at a gate.
using gate_token = number_id<struct gate_token_tag>;

// A sub-request that is queued for a slot of one searcher.
struct gated_request {
    gate_token token;
    monotonic_time deadline;
    bool hedge = false; // hedges precede first attempts, because their query waits only for them
    std::uint32_t priority = 1; // smaller numbers precede, 0 is the most urgent
};

// How a started sub-request released the searcher's slot.
enum class slot_outcome : std::uint8_t {
    served, // a complete reply was received
    refused, // the target shed it, or no connection was established
    disconnected, // the connection was lost; the target may still be running it
    cancelled, // the target confirmed the cancellation
};

// Controls when the owner of one searcher sends sub-requests to it, with a bounded queue and the concurrency limit of a
// cold_ramp.
//
// The queue is bounded by time: a sub-request whose expected wait exceeds its deadline is refused immediately.
class searcher_gate {
public:
    // slots: concurrent sub-requests when warm; coldAllowance: concurrent sub-requests when cold.
    searcher_gate(std::uint32_t slots, std::uint32_t coldAllowance);

    // Applies changed limits; running sub-requests continue.
    void changeLimits(std::uint32_t slots, std::uint32_t coldAllowance) { m_ramp.changeLimits(slots, coldAllowance); }

    // Queues a sub-request; returns the reason if it is refused.
    std::optional<reason> enqueue(const gated_request& request, monotonic_time now);

    // Takes the next sub-request to send now; nullopt if none is queued or the concurrency limit is reached.
    std::optional<gated_request> startNext(monotonic_time now);

    // Removes a queued sub-request; false if it is not queued.
    bool removeQueued(gate_token token);

    // Removes and returns queued sub-requests whose deadline has passed.
    std::vector<gate_token> takeExpired(monotonic_time now);

    // Removes and returns all queued sub-requests.
    std::vector<gate_token> takeQueued();

    // Ends a started sub-request and updates the concurrency limit. usualServiceTime is that of warm searchers of the
    // same front, if known. Ignores tokens that are not running.
    void finish(gate_token token, slot_outcome outcome, microseconds serviceTime, std::optional<microseconds> usualServiceTime, monotonic_time now);

    // Processes an event that is not the end of a sub-request.
    void observe(searcher_event event);

    // Sub-requests that may be running at the searcher, including disconnected ones until their deadline.
    [[nodiscard]] std::uint32_t running(monotonic_time now);

    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }
    [[nodiscard]] std::uint32_t concurrencyLimit() const { return m_ramp.concurrencyLimit(); }
    [[nodiscard]] ramp_state state() const { return m_ramp.state(); }

    // Estimated time in the queue if the sub-request were queued now.
    [[nodiscard]] microseconds expectedWait(const gated_request& request) const;

private:
    static bool precedes(const gated_request& left, const gated_request& right);

    cold_ramp m_ramp;
    std::deque<gated_request> m_queue;
    std::map<gate_token, monotonic_time> m_running; // deadlines by token
    std::vector<monotonic_time> m_disconnected; // deadlines until which the target may run disconnected sub-requests
    double m_meanServiceTimeUs;
};

} // namespace limpetpier
