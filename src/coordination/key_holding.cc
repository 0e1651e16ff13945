#include "limpetpier/coordination/key_holding.h"

#include <algorithm>

#include "limpetpier/coordination/idempotency_table.h"
#include "limpetpier/coordination/ownership.h"

namespace limpetpier {

key_holding::key_holding(node_id self, incarnation_number incarnation, wall_time startedAt)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_startedAt(startedAt)
{
}

void key_holding::adopt(const assignment_epoch& epoch, wall_time now)
{
    if (!m_joined)
        m_joined = firstOwnEpoch(epoch);
    if (!m_joined)
        return;
    // Oldest first; a node that missed epochs learns them from the history.
    for (auto past = epoch.history.rbegin(); past != epoch.history.rend(); ++past) {
        const auto to = past->number.next();
        const bool isKnown = !m_transitions.empty() && to <= m_transitions.back().to;
        if (to >= *m_joined && !isKnown)
            addTransition(to, past->members, now);
    }
    while (!m_transitions.empty() && m_transitions.front().adoptedAt < now - 2 * idempotencyRetention)
        m_transitions.pop_front();
}

bool key_holding::containsSelf(const std::vector<epoch_member>& members) const
{
    return std::any_of(members.begin(), members.end(), [&](const epoch_member& member) { return member.id == m_self && member.incarnation == m_incarnation; });
}

std::optional<epoch_number> key_holding::firstOwnEpoch(const assignment_epoch& epoch) const
{
    for (auto past = epoch.history.rbegin(); past != epoch.history.rend(); ++past) {
        if (containsSelf(past->members))
            return past->number;
    }
    if (containsSelf(epoch.members))
        return epoch.number;
    return std::nullopt;
}

void key_holding::addTransition(epoch_number to, const std::vector<epoch_member>& before, wall_time now)
{
    transition change { to, before, {}, now };
    for (const auto& member : before) {
        if (member.id != m_self)
            change.floors[member.id] = std::nullopt;
        else if (member.incarnation != m_incarnation)
            change.floors[member.id] = m_startedAt; // an earlier process of this node: its records are lost
    }
    m_transitions.push_back(std::move(change));
}

void key_holding::handedOver(const node_id& from, epoch_number epoch, wall_time floor)
{
    for (auto& change : m_transitions) {
        const auto entry = change.floors.find(from);
        if (change.to <= epoch && entry != change.floors.end() && !entry->second)
            entry->second = floor;
    }
}

void key_holding::checkFences(const owner_fence& fence, monotonic_time now, wall_time wallTime)
{
    for (auto& change : m_transitions) {
        for (auto& [holder, floor] : change.floors) {
            // What the holder still runs was begun before its right lapsed, so its key is older than the floor.
            if (!floor && fence.fenced(holder, milliseconds { 0 }, now))
                floor = wallTime;
        }
    }
}

std::optional<wall_time> key_holding::floorFor(const idempotency_key& key) const
{
    if (!m_joined)
        return std::nullopt;
    wall_time result {}; // a founder of the first epoch holds every key from the beginning
    for (const auto& change : m_transitions) {
        const auto earlier = keyHolderOf(change.before, key);
        const auto entry = earlier ? change.floors.find(*earlier) : change.floors.end();
        if (entry == change.floors.end())
            continue; // nobody held it, or this process did
        if (!entry->second)
            return std::nullopt;
        result = std::max(result, *entry->second);
    }
    return result;
}

std::optional<wall_time> key_holding::floorToPassOn(epoch_number epoch) const
{
    wall_time result {};
    for (const auto& change : m_transitions) {
        if (change.to >= epoch)
            break;
        for (const auto& [holder, floor] : change.floors) {
            if (!floor)
                return std::nullopt;
            result = std::max(result, *floor);
        }
    }
    return result;
}

std::set<node_id> key_holding::pending() const
{
    std::set<node_id> result;
    for (const auto& change : m_transitions) {
        for (const auto& [holder, floor] : change.floors) {
            if (!floor)
                result.insert(holder);
        }
    }
    return result;
}

} // namespace limpetpier
