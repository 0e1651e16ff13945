#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "limpetpier/coordination/dispatch_right.h"
#include "limpetpier/state/assignment_epoch.h"
#include "limpetpier/state/clock.h"

namespace limpetpier {

// Tracks the floor of each idempotency key that this node holds. A key created before its floor may have been run by an
// earlier holder whose records are lost.
//
// A change of epoch moves some keys to this node from other holders. Such a key is usable only after its earlier holder
// has handed over its records (its own floor then applies) or is fenced (the time of fencing is then the floor). Keys
// move only from nodes that leave and to nodes that join, so a change affects few pairs of nodes.
//
//     if (const auto floor = tracker.floorFor(key)) table.begin(key, fingerprint, *floor, now);
class key_floor_tracker {
public:
    // startedAt is the floor of keys that an earlier process of this node held, since its records are lost.
    key_floor_tracker(node_id self, incarnation_number incarnation, wall_time startedAt);

    // Adds the changes of membership up to this epoch, including those in its history that this node missed, and drops
    // changes older than twice the idempotency retention. Does nothing before this incarnation is a member.
    void adopt(const assignment_epoch& epoch, wall_time now);

    // Records that an earlier holder has handed over all records that moved to this node up to an epoch, and its floor.
    void recordHandover(const node_id& from, epoch_number epoch, wall_time floor);

    // Sets the floor to wallTime for earlier holders that have not handed over their records and are fenced.
    void applyFences(const owner_fence& fence, monotonic_time now, wall_time wallTime);

    // Returns the floor of a key that this node holds, or nothing while an earlier holder may still run it or before this
    // incarnation is a member. Keys that no other node has held have a floor of zero.
    [[nodiscard]] std::optional<wall_time> floorFor(const idempotency_key& key) const;

    // Returns the floor to send with the handover for an epoch, or nothing while a change before that epoch is unsettled.
    [[nodiscard]] std::optional<wall_time> handoverFloor(epoch_number epoch) const;

    // Returns the nodes to which keys move from this node in the change to an epoch; empty if the change is unknown.
    [[nodiscard]] std::vector<node_id> handoverReceivers(epoch_number epoch) const;

    // Returns the earlier holders that have neither handed over their records nor been fenced.
    [[nodiscard]] std::set<node_id> pendingHolders() const;

    // Returns the first known epoch of which this incarnation is a member, or nothing before it joined.
    [[nodiscard]] std::optional<epoch_number> firstMemberEpoch() const { return m_firstMemberEpoch; }

private:
    // Change of membership between two consecutive epochs.
    struct membership_change {
        epoch_number toEpoch;
        std::vector<epoch_member> membersBefore;
        std::vector<epoch_member> membersAfter;
        std::map<node_id, std::optional<wall_time>> floors; // earlier holder -> its floor, once known
        wall_time adoptedAt; // when this node learned of the change
        bool settled = false; // every floor is known
    };

    [[nodiscard]] bool containsIncarnation(const std::vector<epoch_member>& members) const;
    [[nodiscard]] std::optional<epoch_number> findFirstMemberEpoch(const assignment_epoch& epoch) const;
    void updateSettled();
    void addChange(epoch_number toEpoch, const std::vector<epoch_member>& membersBefore, const std::vector<epoch_member>& membersAfter, wall_time now);

    node_id m_self;
    incarnation_number m_incarnation;
    wall_time m_startedAt;
    std::optional<epoch_number> m_firstMemberEpoch;
    std::deque<membership_change> m_changes; // oldest first
};

} // namespace limpetpier
