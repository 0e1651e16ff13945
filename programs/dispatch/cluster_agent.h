#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

#include "limpetpier/coordination/dispatch_right.h"
#include "limpetpier/coordination/key_floor_tracker.h"
#include "limpetpier/coordination/ownership_table.h"
#include "limpetpier/coordination/suspicion_table.h"
#include "limpetpier/state/operator_document.h"
#include "limpetpier/transport/node_link.h"
#include "limpetpier/transport/store_client.h"

namespace limpetpier {

// Immutable views that all workers share; a new one replaces the old one as a whole.
using epoch_view = std::shared_ptr<const assignment_epoch>;
using document_view = std::shared_ptr<const operator_document>;

struct cluster_agent_settings {
    epoch_member self;
    std::string storeAddress;
    std::vector<std::string> peers; // addresses to ask for state while the store is down
    milliseconds storeTimeout { 400 };
};

// What the services of the process tell the agent.
struct cluster_hooks {
    // True when no work is left that this node does not own any more.
    std::function<bool()> isReleased;

    // The epoch or the document changed.
    std::function<void()> onChange;
};

// The dispatcher's part in the cluster: membership, epochs, ownership, its own right, and the operators' document.
//
// One mutex guards all decisions of this class. Lock order of the process: the tables of search_service and
// order_service, then cluster_agent, then leaves. No mutex is held across I/O, and hooks are called without one.
class cluster_agent {
public:
    cluster_agent(asio::any_io_executor executor, cluster_agent_settings settings, link_directory& links, cluster_hooks hooks);
    ~cluster_agent();
    cluster_agent(const cluster_agent&) = delete;
    cluster_agent& operator=(const cluster_agent&) = delete;

    void start();

    // Gives up membership; owners that follow are told as soon as hooks.isReleased() holds.
    void leave();

    // True once this node has left and its successors know, or the store cannot be told.
    [[nodiscard]] bool hasLeft() const;

    [[nodiscard]] epoch_view epoch() const;
    [[nodiscard]] document_view document() const;
    [[nodiscard]] std::string documentText() const;
    [[nodiscard]] const node_id& self() const { return m_settings.self.id; }

    // True if this node may send to the searcher at this moment.
    [[nodiscard]] bool maySend(const searcher_id& searcher, monotonic_time now) const;

    // True if this node owns the searcher, whether or not earlier owners are out of the way.
    [[nodiscard]] bool owns(const searcher_id& searcher) const;

    [[nodiscard]] bool rightIsFresh(monotonic_time now) const;
    [[nodiscard]] bool isMember() const;
    [[nodiscard]] std::optional<wall_time> floorFor(const idempotency_key& key) const;
    [[nodiscard]] std::optional<wall_time> handoverFloor(epoch_number epoch) const;
    [[nodiscard]] std::optional<epoch_number> firstMemberEpoch() const;
    [[nodiscard]] std::vector<node_id> handoverReceivers(epoch_number epoch) const;
    [[nodiscard]] std::size_t ownedCount() const;
    [[nodiscard]] std::size_t pendingCount() const;

    void recordHandover(const handover_message& message);

    // Takes over a state that a peer sent.
    void adoptPeerState(const state_reply& state);

    // Handles a heartbeat from the probe port.
    void handleProbe(const probe_message& message, const asio::ip::udp::endpoint& sender);

    void setProbePort(probe_port* port) { m_probes = port; }

    // Calls made to the store so far.
    [[nodiscard]] std::uint64_t storeCalls() const { return m_storeCalls; }

private:
    awaitable<void> watchDocument();
    awaitable<void> watchEpoch();
    awaitable<void> probeLoop();
    awaitable<void> proposeLoop();
    awaitable<void> proposeEpoch(std::function<std::optional<assignment_epoch>(const assignment_epoch&)> change);
    awaitable<void> repairDocument(store_value stored);
    awaitable<void> sleepFor(milliseconds delay);

    void adoptNewerEpoch(assignment_epoch epoch);
    void adoptNewerDocument(const std::string& text);
    void adoptCurrentState();
    void activateUnblocked(monotonic_time now);
    void requestPeerStates();
    void recordStoreReachability(bool up);
    void logRightChange(monotonic_time now);
    [[nodiscard]] bool isStoreReader() const;
    [[nodiscard]] std::vector<epoch_member> probeTargets() const;
    probe_message makeProbe(monotonic_time now);

    asio::any_io_executor m_executor;
    cluster_agent_settings m_settings;
    link_directory& m_links;
    cluster_hooks m_hooks;
    store_client m_store;
    probe_port* m_probes = nullptr;

    mutable std::mutex m_mutex;
    epoch_view m_epoch;
    document_view m_document;
    std::string m_documentText;
    dispatch_right m_right;
    owner_fence m_fence;
    suspicion_table m_suspicions;
    key_floor_tracker m_keyFloors;
    ownership_table m_ownership;
    std::map<std::uint64_t, monotonic_time> m_probeSentAt;
    std::uint64_t m_probeSequence = 0;
    bool m_rightWasFresh = false;
    bool m_isStoreUp = true;

    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_hasLeft { false };
    std::atomic<std::uint64_t> m_storeCalls { 0 };
};

} // namespace limpetpier
