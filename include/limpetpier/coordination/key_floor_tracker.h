#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "limpetpier/coordination/dispatch_right.h"
#include "limpetpier/state/assignment_epoch.h"
#include "limpetpier/state/clock.h"

namespace limpetpier {

// Tells from which time on this node can vouch for an idempotency key.
//
// Every change of epoch moves some keys here from other holders. Such a key is only usable once its earlier holder has
// handed over its records (then the earlier holder's own floor counts) or is fenced (then the time of the fence counts).
// Keys move only from nodes that leave and to nodes that join, so a change concerns few pairs of nodes.
//
//     if (const auto floor = holding.floorFor(key)) table.begin(key, fingerprint, *floor, now);
class key_floor_tracker {
public:
    key_floor_tracker(node_id self, incarnation_number incarnation, wall_time startedAt);

    void adopt(const assignment_epoch& epoch, wall_time now);

    // Records that an earlier holder gave all records that moved here up to an epoch, and its own floor.
    void recordHandover(const node_id& from, epoch_number epoch, wall_time floor);

    // Fences earlier holders that gave nothing and can send no more.
    void applyFences(const owner_fence& fence, monotonic_time now, wall_time wallTime);

    // Earliest time from which a key that this node holds can be vouched for; nothing while its earlier holder may
    // still run it.
    [[nodiscard]] std::optional<wall_time> floorFor(const idempotency_key& key) const;

    // The floor to pass on in the hand-over for an epoch; nothing while changes before that epoch are unsettled.
    [[nodiscard]] std::optional<wall_time> handoverFloor(epoch_number epoch) const;

    // Nodes that gain keys from this one in the change to an epoch.
    [[nodiscard]] std::vector<node_id> handoverReceivers(epoch_number epoch) const;

    // Earlier holders that neither handed over nor are fenced.
    [[nodiscard]] std::set<node_id> pendingHolders() const;

    // First epoch of which this incarnation is a member; nothing before it joined.
    [[nodiscard]] std::optional<epoch_number> firstMemberEpoch() const { return m_joined; }

private:
    struct transition {
        epoch_number to;
        std::vector<epoch_member> before;
        std::vector<epoch_member> after;
        std::map<node_id, std::optional<wall_time>> floors; // by earlier holder
        wall_time adoptedAt;
        bool settled = false; // every floor is known; nothing is left to check
    };

    [[nodiscard]] bool containsSelf(const std::vector<epoch_member>& members) const;
    [[nodiscard]] std::optional<epoch_number> firstOwnEpoch(const assignment_epoch& epoch) const;
    void noteSettled();
    void addTransition(epoch_number to, const std::vector<epoch_member>& before, const std::vector<epoch_member>& after, wall_time now);

    node_id m_self;
    incarnation_number m_incarnation;
    wall_time m_startedAt;
    std::optional<epoch_number> m_joined;
    std::deque<transition> m_transitions; // oldest first
};

} // namespace limpetpier
