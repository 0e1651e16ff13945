#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>

#include "limpetpier/coordination/idempotency_table.h"
#include "limpetpier/transport/call_table.h"
#include "search_service.h"

namespace limpetpier {

// Runs non-idempotent requests at most once.
//
// As the holder of a key this node decides whether a request runs, and sends it to the owner of one searcher; as the
// owner it passes the request on to the searcher once. Its table's mutex comes before cluster_agent's in the
// lock order.
class order_service {
public:
    order_service(asio::any_io_executor executor, cluster_agent& agent, search_service& searches, link_directory& links, call_table& calls);

    // From a front: decide by key and run.
    void handleOrder(const node_link_handle& link, const order_request& request);

    // From a holder: run on an owned searcher.
    void handleRun(const node_link_handle& link, const run_request& request);

    void handleHandover(const node_link_handle& link, const handover_message& message);
    void handleHandoverAck(const handover_ack& ack);

    // Gives records to the holders that follow in a new epoch; called again and again, it repeats what was not
    // acknowledged.
    void reconcile();

    // True when every record whose key moved away has been handed over.
    [[nodiscard]] bool isReleased() const;

    // Orders that this node runs as a holder at the moment.
    [[nodiscard]] std::size_t openOrderCount() const;
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
    epoch_number m_lastHandoverEpoch; // last epoch whose hand-over was started
    monotonic_time m_handoverSentAt {};
};

} // namespace limpetpier
