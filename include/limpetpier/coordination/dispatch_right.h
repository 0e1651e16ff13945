#pragma once

#include <map>
#include <set>
#include <vector>

#include "limpetpier/state/assignment_epoch.h"
#include "limpetpier/state/clock.h"

namespace limpetpier {

// How long an acknowledgement by a witness renews a member's right to dispatch.
constexpr milliseconds dispatchRightTtl { 1500 };

// A member's right to send to the searchers that it owns.
//
// The right is fresh while a majority of the member's group (its witnesses and itself) acknowledged it within the
// time-to-live. Age counts from the moment the probe was sent, on this process's own clock, so a paused process finds
// its right stale when it resumes. Ask isFresh() immediately before every send.
class dispatch_right {
public:
    explicit dispatch_right(node_id self, milliseconds ttl = dispatchRightTtl);

    // Starts a new epoch or document revision. Acknowledgements of witnesses that stay are kept.
    void adopt(const assignment_epoch& epoch, revision_number revision);

    // Records a witness's acknowledgement. A witness that knows a later epoch or document renews nothing, so a node
    // that cannot follow a change stops sending within the time-to-live.
    void recordAck(const node_id& witness, epoch_number witnessEpoch, revision_number witnessRevision, monotonic_time probeSentAt);

    [[nodiscard]] bool isFresh(monotonic_time now) const;
    [[nodiscard]] const std::vector<node_id>& witnesses() const { return m_witnesses; }

private:
    node_id m_self;
    milliseconds m_ttl;
    epoch_number m_epoch;
    revision_number m_revision;
    bool m_isMember = false;
    std::vector<node_id> m_witnesses;
    std::map<node_id, monotonic_time> m_acks;
};

// A successor's evidence that earlier owners have stopped sending.
//
// An earlier owner is out of the way when it says that it released its work, or once enough of its witnesses have
// moved on to this epoch and document that it cannot renew its right, plus the time for which an old right and its last
// requests may live.
class owner_fence {
public:
    explicit owner_fence(node_id self, milliseconds ttl = dispatchRightTtl);

    void adopt(const assignment_epoch& epoch, revision_number revision, monotonic_time now);

    // Records that a peer knows an epoch and document, and whether it has ended all work that it no longer owns there.
    void recordPeerState(const node_id& peer, epoch_number peerEpoch, revision_number peerRevision, bool released, monotonic_time now);

    // True once an earlier owner's right has lapsed without its help, and workLimit has passed since.
    [[nodiscard]] bool isFenced(const node_id& owner, milliseconds workLimit, monotonic_time now) const;

    // True once every earlier owner in this list has released its work or is fenced. workLimit bounds the work that
    // an owner may have started just before it lost its right.
    [[nodiscard]] bool allStopped(const std::set<node_id>& earlierOwners, milliseconds workLimit, monotonic_time now) const;

    // Peers whose state allStopped() still needs.
    [[nodiscard]] std::set<node_id> peersToAsk(const std::set<node_id>& earlierOwners) const;

private:
    [[nodiscard]] bool isFencedIn(const std::vector<epoch_member>& members, const node_id& owner, milliseconds wait, monotonic_time now) const;

    node_id m_self;
    milliseconds m_ttl;
    assignment_epoch m_epoch;
    revision_number m_revision;
    std::map<node_id, monotonic_time> m_movedOn; // peer -> when it was first seen in this epoch and document
    std::set<node_id> m_released;
};

} // namespace limpetpier
