#pragma once

#include <map>
#include <set>

#include "limpetpier/coordination/dispatch_right.h"
#include "limpetpier/state/operator_document.h"

namespace limpetpier {

// Tracks the searchers that a node owns and which of them are active, so that it may send to them.
//
// A searcher that another node may have owned is pending until the fence establishes that no earlier owner can still send
// to it. A searcher that was active before a change and keeps its owner stays active.
//
//     table.adopt(document, epoch);
//     table.activateUnblocked(fence, now);
//     if (table.isActive(searcher)) ...
class ownership_table {
public:
    explicit ownership_table(node_id self);

    // Recomputes the owned searchers for a new epoch, a new document or both. New searchers are pending.
    void adopt(const operator_document& document, const assignment_epoch& epoch);

    // Activates the pending searchers whose earlier owners have all stopped.
    void activateUnblocked(const owner_fence& fence, monotonic_time now);

    // Returns true if this node owns the searcher, active or pending.
    [[nodiscard]] bool owns(const searcher_id& searcher) const { return m_owned.contains(searcher); }
    // Returns true if this node owns the searcher and may send to it.
    [[nodiscard]] bool isActive(const searcher_id& searcher) const;
    // Returns the number of owned searchers, active and pending.
    [[nodiscard]] std::size_t size() const { return m_owned.size(); }
    // Returns the number of pending searchers.
    [[nodiscard]] std::size_t pendingCount() const;

    // Returns the earlier owners of all pending searchers.
    [[nodiscard]] std::set<node_id> blockingOwners() const;

private:
    struct owned_searcher {
        bool active = false;
        std::set<node_id> earlierOwners;
        milliseconds workLimit { 0 }; // deadline of the front, which bounds the run time of a request
    };

    // Returns the other nodes that owned the searcher in the epoch's history, or in the document and epoch that were in
    // force here before.
    [[nodiscard]] std::set<node_id> earlierOwnersOf(const front_spec& front, const searcher_spec& searcher, const assignment_epoch& epoch) const;

    node_id m_self;
    std::map<searcher_id, owned_searcher> m_owned;
    std::map<front_id, front_spec> m_previousFronts;
    std::vector<epoch_member> m_previousMembers;
};

} // namespace limpetpier
