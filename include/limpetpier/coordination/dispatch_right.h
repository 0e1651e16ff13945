#pragma once

#include <map>
#include <set>
#include <vector>

#include "limpetpier/state/assignment_epoch.h"
#include "limpetpier/state/clock.h"

namespace limpetpier {

// Time for which one witness acknowledgement renews a member's right to dispatch, counted from the probe's send time.
constexpr milliseconds dispatchRightTtl { 1500 };

// Quorum lease that permits a member to send requests to the searchers that it owns.
//
// The right is fresh while a majority of the member's group (the member and its witnesses) has acknowledged a probe that
// was sent less than the time-to-live ago. The age of an acknowledgement counts from the time at which its probe was
// sent, on this process's monotonic clock, so a process that was paused finds its right stale when it resumes. Callers
// must check isFresh() immediately before every send.
class dispatch_right {
public:
    explicit dispatch_right(node_id self, milliseconds ttl = dispatchRightTtl);

    // Switches to a new epoch, document revision or both. Keeps the acknowledgements of nodes that are still witnesses.
    void adopt(const assignment_epoch& epoch, revision_number revision);

    // Records a witness's acknowledgement of the probe sent at probeSentAt. Ignores nodes that are not witnesses, and
    // witnesses that know a later epoch or document revision: a node that cannot follow a change must stop sending
    // within the time-to-live.
    void recordAck(const node_id& witness, epoch_number witnessEpoch, revision_number witnessRevision, monotonic_time probeSentAt);

    // Returns true if this node is a member and enough of its witnesses acknowledged a recent probe.
    [[nodiscard]] bool isFresh(monotonic_time now) const;

    // Returns the witnesses in the current epoch; empty if this node is not a member.
    [[nodiscard]] const std::vector<node_id>& witnesses() const { return m_witnesses; }

private:
    node_id m_self;
    milliseconds m_ttl;
    epoch_number m_epoch;
    revision_number m_revision;
    bool m_isMember = false;
    std::vector<node_id> m_witnesses;
    std::map<node_id, monotonic_time> m_newestAckedProbes; // witness -> send time of the newest probe it acknowledged
};

// Establishes that earlier owners of a searcher or key can no longer send, so that their successor may start.
//
// An earlier owner has stopped once it reports that it released its work. Without that report it is fenced: enough of
// its witnesses have moved to this node's epoch and document revision that it cannot renew its right, and the
// time-to-live of its last right plus the time limit of the requests sent under it have passed since.
class owner_fence {
public:
    explicit owner_fence(node_id self, milliseconds ttl = dispatchRightTtl);

    // Switches to a new epoch or document revision and discards what peers reported under the previous one. Does
    // nothing if neither has changed.
    void adopt(const assignment_epoch& epoch, revision_number revision, monotonic_time now);

    // Records the epoch and document revision that a peer has reached, and whether it has ended all work that it no
    // longer owns under them. Ignores peers that are behind this node.
    void recordPeerState(const node_id& peer, epoch_number peerEpoch, revision_number peerRevision, bool released, monotonic_time now);

    // Returns true once an earlier owner cannot renew its right and its last right plus workLimit have expired.
    [[nodiscard]] bool isFenced(const node_id& owner, milliseconds workLimit, monotonic_time now) const;

    // Returns true once every earlier owner has released its work or is fenced. workLimit is the longest run time
    // of a request that an owner sent just before it lost its right.
    [[nodiscard]] bool allStopped(const std::set<node_id>& earlierOwners, milliseconds workLimit, monotonic_time now) const;

    // Returns the peers whose state allStopped() depends on: the earlier owners and their witnesses in past epochs.
    [[nodiscard]] std::set<node_id> peersToAsk(const std::set<node_id>& earlierOwners) const;

private:
    // Returns true if, with these members, enough witnesses of the owner have been at this epoch and revision for `wait`.
    [[nodiscard]] bool isFencedIn(const std::vector<epoch_member>& members, const node_id& owner, milliseconds wait, monotonic_time now) const;

    node_id m_self;
    milliseconds m_ttl;
    assignment_epoch m_epoch;
    revision_number m_revision;
    std::map<node_id, monotonic_time> m_firstSeenCurrent; // peer -> when it was first seen at this epoch and revision
    std::set<node_id> m_released; // peers that have ended all work that they no longer own
};

} // namespace limpetpier
