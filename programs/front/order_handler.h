#pragma once

#include <atomic>

#include "cluster_view.h"
#include "limpetpier/protocol/caller_protocol.h"
#include "limpetpier/transport/call_table.h"

namespace limpetpier {

// The result of an order, as reported to the caller.
struct order_answer {
    outcome result = outcome::not_run;
    reason why = reason::none;
    std::string text; // the target's answer; empty unless the outcome is answered
    microseconds elapsed { 0 };
};

// Forwards orders to the dispatcher that holds their idempotency key and reports the outcome.
//
// Sends an order again after a broken link or a change of epoch; the holder runs each key at most once. Reports not_run
// only if the holder says so or no call with the key can have run.
class order_handler {
public:
    order_handler(cluster_view& view, link_directory& links, call_table& calls);

    // Runs an order until a final reply or the deadline.
    awaitable<order_answer> answer(front_route_handle route, order_call order);

    // Number of orders without an answer.
    [[nodiscard]] std::size_t openOrders() const { return m_openOrders; }

private:
    awaitable<call_reply> callHolder(const std::string& address, const order_request& request, monotonic_time deadline);

    cluster_view& m_view;
    link_directory& m_links;
    call_table& m_calls;
    std::atomic<std::size_t> m_openOrders { 0 };
};

} // namespace limpetpier
