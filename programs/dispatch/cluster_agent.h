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

// Immutable snapshots of the epoch and the document in force, shared by all worker threads. A change replaces the
// snapshot.
using epoch_view = std::shared_ptr<const assignment_epoch>;
using document_view = std::shared_ptr<const operator_document>;

// Settings of a cluster_agent.
struct cluster_agent_settings {
    epoch_member self;
    std::string storeAddress;
    std::vector<std::string> peers; // addresses of dispatchers to request state from while the store is down
    milliseconds storeTimeout { 400 };
};

// Callbacks from the agent to the services of the process.
struct cluster_hooks {
    // Returns true when no work remains for searchers and keys that this node no longer owns.
    std::function<bool()> isReleased;

    // Called after the epoch or the document has changed.
    std::function<void()> onChange;
};

// Maintains the dispatcher's membership, epoch, ownership, dispatch right and copy of the operators' document.
//
// A few members watch the store; the others learn of changes from probes and request the state from a peer. While the
// store is down, no new epoch is proposed.
//
// One mutex guards all decisions of this class. Lock order of the process: the tables of search_service and
// order_service, then cluster_agent, then leaf mutexes. No mutex is held across I/O or while a hook is called. The
// public functions may be called from any thread.
class cluster_agent {
public:
    cluster_agent(asio::any_io_executor executor, cluster_agent_settings settings, link_directory& links, cluster_hooks hooks);
    ~cluster_agent();
    cluster_agent(const cluster_agent&) = delete;
    cluster_agent& operator=(const cluster_agent&) = delete;

    // Starts the loops that watch the store, probe peers and propose epochs. Requires setProbePort().
    void start();

    // Removes this node from the members. Probes tell the new owners as soon as hooks.isReleased() returns true.
    void leave();

    // Returns true once leave() has removed this node from the epoch in force.
    [[nodiscard]] bool hasLeft() const;

    // Returns the epoch in force; number 0 before one is known.
    [[nodiscard]] epoch_view epoch() const;

    // Returns the operators' document in force; revision 0 before one is known.
    [[nodiscard]] document_view document() const;

    // Returns the document in force as it was received; empty before one is known.
    [[nodiscard]] std::string documentText() const;

    // Returns the id of this node.
    [[nodiscard]] const node_id& self() const { return m_settings.self.id; }

    // Returns true if the searcher is active at this node and the dispatch right is fresh. Call it immediately before
    // every send.
    [[nodiscard]] bool maySend(const searcher_id& searcher, monotonic_time now) const;

    // Returns true if this node owns the searcher, active or pending.
    [[nodiscard]] bool owns(const searcher_id& searcher) const;

    // Returns true if this node's dispatch right is fresh, see dispatch_right.
    [[nodiscard]] bool rightIsFresh(monotonic_time now) const;

    // Returns true if this incarnation of the node is a member of the epoch in force.
    [[nodiscard]] bool isMember() const;

    // Returns the floor of an idempotency key, see key_floor_tracker::floorFor().
    [[nodiscard]] std::optional<wall_time> floorFor(const idempotency_key& key) const;

    // Returns the floor to send with the handover for an epoch, see key_floor_tracker::handoverFloor().
    [[nodiscard]] std::optional<wall_time> handoverFloor(epoch_number epoch) const;

    // Returns the first known epoch of which this incarnation is a member, or nothing before it joined.
    [[nodiscard]] std::optional<epoch_number> firstMemberEpoch() const;

    // Returns the nodes to which keys move from this node in the change to an epoch.
    [[nodiscard]] std::vector<node_id> handoverReceivers(epoch_number epoch) const;

    // Returns the number of owned searchers, active and pending.
    [[nodiscard]] std::size_t ownedCount() const;

    // Returns the number of owned searchers that wait until their earlier owners have stopped.
    [[nodiscard]] std::size_t pendingCount() const;

    // Records that a peer has handed over its records, with its floor.
    void recordHandover(const handover_message& message);

    // Adopts the epoch and the document of a peer if they are newer than those in force.
    void adoptPeerState(const state_reply& state);

    // Processes a probe or its acknowledgement from the probe port. Acknowledges a probe, and requests the state of a
    // peer that knows a later epoch or document revision.
    void handleProbe(const probe_message& message, const asio::ip::udp::endpoint& sender);

    // Sets the port over which probes are sent. Call it before start(); the port must stay valid while the loops run.
    void setProbePort(probe_port* port) { m_probes = port; }

    // Returns the number of calls made to the store so far.
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
    void recordStoreReachability(bool reachable);
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
    bool m_isStoreReachable = true;

    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_hasLeft { false };
    std::atomic<std::uint64_t> m_storeCalls { 0 };
};

} // namespace limpetpier
