#include "limpetpier/coordination/ownership_table.h"

#include <algorithm>

#include "limpetpier/coordination/ownership.h"

namespace limpetpier {

ownership_table::ownership_table(node_id self)
    : m_self(std::move(self))
{
}

void ownership_table::adopt(const operator_document& document, const assignment_epoch& epoch)
{
    std::map<searcher_id, owned_searcher> owned;
    for (const auto& [id, front] : document.fronts) {
        for (const auto& searcher : front.searchers) {
            if (ownerOf(epoch.members, front, searcher) != m_self)
                continue;
            auto& entry = owned[searcher.id];
            entry.workLimit = front.deadline;
            const auto known = m_owned.find(searcher.id);
            entry.active = known != m_owned.end() && known->second.active;
            if (entry.active)
                continue;
            entry.earlierOwners = earlierOwnersOf(front, searcher, epoch);
            if (known != m_owned.end())
                entry.earlierOwners.insert(known->second.earlierOwners.begin(), known->second.earlierOwners.end());
        }
    }
    m_owned = std::move(owned);
    m_previousFronts = document.fronts;
    m_previousMembers = epoch.members;
}

std::set<node_id> ownership_table::earlierOwnersOf(const front_spec& front, const searcher_spec& searcher, const assignment_epoch& epoch) const
{
    std::set<node_id> owners;
    for (const auto& past : epoch.history) {
        if (const auto owner = ownerOf(past.members, front, searcher))
            owners.insert(*owner);
    }
    const auto previousFront = m_previousFronts.find(front.id);
    if (previousFront != m_previousFronts.end()) {
        if (const auto owner = ownerOf(m_previousMembers, previousFront->second, searcher))
            owners.insert(*owner);
    }
    owners.erase(m_self);
    return owners;
}

void ownership_table::activateUnblocked(const owner_fence& fence, monotonic_time now)
{
    for (auto& [searcher, entry] : m_owned)
        entry.active = entry.active || fence.allStopped(entry.earlierOwners, entry.workLimit, now);
}

bool ownership_table::isActive(const searcher_id& searcher) const
{
    const auto found = m_owned.find(searcher);
    return found != m_owned.end() && found->second.active;
}

std::size_t ownership_table::pendingCount() const
{
    return static_cast<std::size_t>(std::count_if(m_owned.begin(), m_owned.end(), [](const auto& entry) { return !entry.second.active; }));
}

std::set<node_id> ownership_table::blockingOwners() const
{
    std::set<node_id> owners;
    for (const auto& [searcher, entry] : m_owned) {
        if (!entry.active)
            owners.insert(entry.earlierOwners.begin(), entry.earlierOwners.end());
    }
    return owners;
}

} // namespace limpetpier
