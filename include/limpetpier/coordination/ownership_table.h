#pragma once

#include <map>
#include <set>

#include "limpetpier/coordination/dispatch_right.h"
#include "limpetpier/state/operator_document.h"

namespace limpetpier {

// The searchers that a node owns, and which of them it may use already.
//
// A searcher that was another node's is pending until the fence says that no earlier owner can send any more. One that
// the node owned and used before a change stays in use.
//
//     table.adopt(document, epoch);
//     table.activateUnblocked(fence, now);
//     if (table.isActive(searcher)) ...
class ownership_table {
public:
    explicit ownership_table(node_id self);

    // Takes over a new epoch, a new document, or both.
    void adopt(const operator_document& document, const assignment_epoch& epoch);

    // Puts searchers in use whose earlier owners are out of the way.
    void activateUnblocked(const owner_fence& fence, monotonic_time now);

    [[nodiscard]] bool owns(const searcher_id& searcher) const { return m_owned.contains(searcher); }
    [[nodiscard]] bool isActive(const searcher_id& searcher) const;
    [[nodiscard]] std::size_t size() const { return m_owned.size(); }
    [[nodiscard]] std::size_t pendingCount() const;

    // Earlier owners that pending searchers wait for.
    [[nodiscard]] std::set<node_id> blockingOwners() const;

private:
    struct ownership {
        bool active = false;
        std::set<node_id> earlierOwners;
        milliseconds workLimit { 0 }; // longest deadline of the front
    };

    [[nodiscard]] std::set<node_id> earlierOwnersOf(const front_spec& front, const searcher_spec& searcher, const assignment_epoch& epoch) const;

    node_id m_self;
    std::map<searcher_id, ownership> m_owned;
    std::map<front_id, front_spec> m_lastFronts;
    std::vector<epoch_member> m_lastMembers;
};

} // namespace limpetpier
