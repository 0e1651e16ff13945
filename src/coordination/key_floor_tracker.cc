#include "limpetpier/coordination/key_floor_tracker.h"

#include <algorithm>

#include "limpetpier/coordination/idempotency_table.h"
#include "limpetpier/coordination/ownership.h"

namespace limpetpier {

namespace {

bool containsId(const std::vector<epoch_member>& members, const node_id& id)
{
    return std::any_of(members.begin(), members.end(), [&](const epoch_member& member) { return member.id == id; });
}

} // namespace

key_floor_tracker::key_floor_tracker(node_id self, incarnation_number incarnation, wall_time startedAt)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_startedAt(startedAt)
{
}

void key_floor_tracker::adopt(const assignment_epoch& epoch, wall_time now)
{
    if (!m_joined)
        m_joined = firstOwnEpoch(epoch);
    if (!m_joined)
        return;
    // Oldest first; a node that missed epochs learns them from the history.
    for (std::size_t back = epoch.history.size(); back > 0; --back) {
        const auto& past = epoch.history[back - 1];
        const auto& after = back == 1 ? epoch.members : epoch.history[back - 2].members;
        const auto to = past.number.next();
        const bool isKnown = !m_transitions.empty() && to <= m_transitions.back().to;
        if (to >= *m_joined && !isKnown)
            addTransition(to, past.members, after, now);
    }
    while (!m_transitions.empty() && m_transitions.front().adoptedAt < now - 2 * idempotencyRetention)
        m_transitions.pop_front();
}

bool key_floor_tracker::containsSelf(const std::vector<epoch_member>& members) const
{
    return std::any_of(members.begin(), members.end(), [&](const epoch_member& member) { return member.id == m_self && member.incarnation == m_incarnation; });
}

std::optional<epoch_number> key_floor_tracker::firstOwnEpoch(const assignment_epoch& epoch) const
{
    for (auto past = epoch.history.rbegin(); past != epoch.history.rend(); ++past) {
        if (containsSelf(past->members))
            return past->number;
    }
    if (containsSelf(epoch.members))
        return epoch.number;
    return std::nullopt;
}

void key_floor_tracker::addTransition(epoch_number to, const std::vector<epoch_member>& before, const std::vector<epoch_member>& after, wall_time now)
{
    transition change { to, before, after, {}, now };
    const bool selfJoined = !containsId(before, m_self);
    for (const auto& member : before) {
        if (member.id == m_self && member.incarnation != m_incarnation)
            change.floors[member.id] = m_startedAt; // an earlier process of this node: its records are lost
        if (member.id != m_self && (selfJoined || !containsId(after, member.id)))
            change.floors[member.id] = std::nullopt;
    }
    m_transitions.push_back(std::move(change));
    noteSettled();
}

void key_floor_tracker::noteSettled()
{
    for (auto& change : m_transitions)
        change.settled = change.settled || std::all_of(change.floors.begin(), change.floors.end(), [](const auto& entry) { return entry.second.has_value(); });
}

void key_floor_tracker::recordHandover(const node_id& from, epoch_number epoch, wall_time floor)
{
    for (auto& change : m_transitions) {
        const auto entry = change.floors.find(from);
        if (change.to <= epoch && entry != change.floors.end() && !entry->second)
            entry->second = floor;
    }
    noteSettled();
}

void key_floor_tracker::applyFences(const owner_fence& fence, monotonic_time now, wall_time wallTime)
{
    for (auto& change : m_transitions) {
        if (change.settled)
            continue;
        for (auto& [holder, floor] : change.floors) {
            // What the holder still runs was begun before its right lapsed, so its key is older than the floor.
            if (!floor && fence.isFenced(holder, milliseconds { 0 }, now))
                floor = wallTime;
        }
    }
    noteSettled();
}

std::optional<wall_time> key_floor_tracker::floorFor(const idempotency_key& key) const
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

std::optional<wall_time> key_floor_tracker::handoverFloor(epoch_number epoch) const
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

std::vector<node_id> key_floor_tracker::handoverReceivers(epoch_number epoch) const
{
    std::vector<node_id> result;
    const auto change = std::find_if(m_transitions.begin(), m_transitions.end(), [&](const transition& item) { return item.to == epoch; });
    if (change == m_transitions.end())
        return result;
    const bool selfLeft = !containsId(change->after, m_self);
    for (const auto& member : change->after) {
        if (member.id != m_self && (selfLeft || !containsId(change->before, member.id)))
            result.push_back(member.id);
    }
    return result;
}

std::set<node_id> key_floor_tracker::pendingHolders() const
{
    std::set<node_id> result;
    for (const auto& change : m_transitions) {
        if (change.settled)
            continue;
        for (const auto& [holder, floor] : change.floors) {
            if (!floor)
                result.insert(holder);
        }
    }
    return result;
}

} // namespace limpetpier
