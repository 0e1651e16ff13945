#pragma once

#include <atomic>

#include "cluster_view.h"
#include "limpetpier/protocol/caller_protocol.h"
#include "limpetpier/transport/call_table.h"

namespace limpetpier {

// What became of an order.
struct order_answer {
    outcome result = outcome::not_run;
    reason why = reason::none;
    std::string text; // the target's own answer
    microseconds elapsed { 0 };
};

// Takes orders to the holder of their key, and says truthfully what became of them.
//
// The same key may be sent again after a broken link or a change of epoch: the holder runs it at most once.
class order_handler {
public:
    order_handler(cluster_view& view, link_directory& links, call_table& calls);

    awaitable<order_answer> answer(front_route_handle route, order_call order);

    [[nodiscard]] std::size_t openOrders() const { return m_open; }

private:
    awaitable<call_reply> callHolder(const std::string& address, const order_request& request, monotonic_time deadline);

    cluster_view& m_view;
    link_directory& m_links;
    call_table& m_calls;
    std::atomic<std::size_t> m_open { 0 };
};

} // namespace limpetpier
