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

using gate_token = number_id<struct gate_token_tag>;

// A sub-request that waits for a slot of one searcher.
struct gated_request {
    gate_token token;
    monotonic_time deadline;
    bool hedge = false; // hedges go before first tries: their query waits for nothing else
    std::uint32_t priority = 1; // 0 goes first
};

// How a started sub-request ended, as far as the searcher's slot is concerned.
enum class slot_outcome : std::uint8_t {
    served, // a whole reply came
    refused, // the target shed it, or no connection came up
    disconnected, // the connection broke: the target may still be running it
    cancelled, // the target confirmed the cancellation
};

// Decides when the owner of one searcher sends to it: slots, a bounded queue and the cold ramp.
//
// The queue is bounded by time: a sub-request whose expected wait exceeds its remaining deadline is refused at once.
class searcher_gate {
public:
    searcher_gate(std::uint32_t slots, std::uint32_t coldAllowance);

    // Takes over changed limits; what runs already goes on.
    void changeLimits(std::uint32_t slots, std::uint32_t coldAllowance) { m_ramp.changeLimits(slots, coldAllowance); }

    // Queues an item, or says why it is refused.
    std::optional<reason> enqueue(const gated_request& item, monotonic_time now);

    // The next item to send now, if the searcher bears one more.
    std::optional<gated_request> startNext(monotonic_time now);

    // Takes a queued item back; false if it is not queued (any more).
    bool removeQueued(gate_token token);

    // Removes and returns queued items whose deadline has passed.
    std::vector<gate_token> takeExpired(monotonic_time now);

    // Removes and returns everything queued.
    std::vector<gate_token> takeQueued();

    // Ends a started item. typical is the usual service time of warm searchers of the same front, if known.
    void finish(gate_token token, slot_outcome end, microseconds serviceTime, std::optional<microseconds> typical, monotonic_time now);

    // Evidence that did not come with an item.
    void observe(searcher_event evidence);

    [[nodiscard]] std::uint32_t running(monotonic_time now);
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }
    [[nodiscard]] std::uint32_t concurrencyLimit() const { return m_ramp.concurrencyLimit(); }
    [[nodiscard]] ramp_state state() const { return m_ramp.state(); }
    [[nodiscard]] microseconds expectedWait(const gated_request& item) const;

private:
    static bool goesBefore(const gated_request& left, const gated_request& right);

    cold_ramp m_ramp;
    std::deque<gated_request> m_queue;
    std::map<gate_token, monotonic_time> m_running; // token -> deadline
    std::vector<monotonic_time> m_lingering; // cut items that the target may run until then
    double m_meanServiceUs;
};

} // namespace limpetpier
