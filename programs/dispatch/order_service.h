#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>

#include "limpetpier/coordination/idempotency_table.h"
#include "limpetpier/transport/call_table.h"
#include "search_service.h"

namespace limpetpier {

// Runs non-idempotent requests (orders) at most once.
//
// The holder of an order's idempotency key decides whether the order runs and sends it to the owner of one searcher. The
// owner sends it to the searcher once. A node has both roles.
//
// Its mutex comes before that of cluster_agent in the lock order. The public functions may be called from any thread.
class order_service {
public:
    order_service(asio::any_io_executor executor, cluster_agent& agent, search_service& searches, link_directory& links, call_table& calls);

    // Handles an order from a front as the holder of its key; replies over the link with a call_reply.
    void handleOrder(const node_link_handle& link, const order_request& request);

    // Handles an order from a holder as the owner of a searcher; replies over the link with a call_reply.
    void handleRun(const node_link_handle& link, const run_request& request);

    // Merges the records that an earlier holder sent. Acknowledges the last message of a handover, unless this node does
    // not know its epoch yet; the sender then repeats the handover.
    void handleHandover(const node_link_handle& link, const handover_message& message);

    // Ends the handover to the node that acknowledged it.
    void handleHandoverAck(const handover_ack& ack);

    // Sends records to the nodes that hold their keys in a new epoch. Must be called periodically: it repeats handovers
    // that have not been acknowledged.
    void reconcile();

    // Returns true when the handovers for all epochs up to the current one have been acknowledged.
    [[nodiscard]] bool isReleased() const;

    // Returns the number of orders that this node runs as a holder.
    [[nodiscard]] std::size_t openOrderCount() const;

    // Returns the number of idempotency records.
    [[nodiscard]] std::size_t recordCount() const;

private:
    struct running_order;
    using order_handle = std::shared_ptr<running_order>;

    awaitable<void> decideByKey(node_link_handle link, order_request request);
    void startOrder(const node_link_handle& link, const order_request& request, const front_spec& front, monotonic_time deadline);
    void tryNextSearcher(const order_handle& order);
    void runLocally(const run_request& request, std::function<void(const call_reply&)> onFinished);
    void finishOrder(const order_handle& order, const call_reply& result);
    bool startNextHandover(const assignment_epoch& epoch);
    void sendHandover(const epoch_member& receiver, epoch_number epoch, wall_time floor, const std::vector<idempotency_record>& records);

    asio::any_io_executor m_executor;
    cluster_agent& m_agent;
    search_service& m_searches;
    link_directory& m_links;
    call_table& m_calls;

    mutable std::mutex m_mutex;
    idempotency_table m_table;
    std::set<idempotency_key> m_runningKeys;
    std::map<node_id, epoch_number> m_openHandovers; // receiver -> epoch whose acknowledgement is awaited
    epoch_number m_lastHandoverEpoch; // last epoch whose handover was started
    monotonic_time m_handoverSentAt {};
};

} // namespace limpetpier
