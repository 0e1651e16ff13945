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
    if (!m_firstMemberEpoch)
        m_firstMemberEpoch = findFirstMemberEpoch(epoch);
    if (!m_firstMemberEpoch)
        return;
    // Oldest change first. The history supplies epochs that this node missed.
    for (std::size_t age = epoch.history.size(); age > 0; --age) {
        const auto& past = epoch.history[age - 1];
        const auto& membersAfter = age == 1 ? epoch.members : epoch.history[age - 2].members;
        const auto toEpoch = past.number.next();
        const bool isKnown = !m_changes.empty() && toEpoch <= m_changes.back().toEpoch;
        if (toEpoch >= *m_firstMemberEpoch && !isKnown)
            addChange(toEpoch, past.members, membersAfter, now);
    }
    while (!m_changes.empty() && m_changes.front().adoptedAt < now - 2 * idempotencyRetention)
        m_changes.pop_front();
}

bool key_floor_tracker::containsIncarnation(const std::vector<epoch_member>& members) const
{
    return std::any_of(members.begin(), members.end(), [&](const epoch_member& member) { return member.id == m_self && member.incarnation == m_incarnation; });
}

std::optional<epoch_number> key_floor_tracker::findFirstMemberEpoch(const assignment_epoch& epoch) const
{
    for (auto past = epoch.history.rbegin(); past != epoch.history.rend(); ++past) {
        if (containsIncarnation(past->members))
            return past->number;
    }
    if (containsIncarnation(epoch.members))
        return epoch.number;
    return std::nullopt;
}

void key_floor_tracker::addChange(epoch_number toEpoch, const std::vector<epoch_member>& membersBefore, const std::vector<epoch_member>& membersAfter, wall_time now)
{
    membership_change change { toEpoch, membersBefore, membersAfter, {}, now };
    const bool selfJoined = !containsId(membersBefore, m_self);
    for (const auto& member : membersBefore) {
        if (member.id == m_self && member.incarnation != m_incarnation)
            change.floors[member.id] = m_startedAt; // the records of an earlier process of this node are lost
        if (member.id != m_self && (selfJoined || !containsId(membersAfter, member.id)))
            change.floors[member.id] = std::nullopt;
    }
    m_changes.push_back(std::move(change));
    updateSettled();
}

void key_floor_tracker::updateSettled()
{
    for (auto& change : m_changes)
        change.settled = change.settled || std::all_of(change.floors.begin(), change.floors.end(), [](const auto& entry) { return entry.second.has_value(); });
}

void key_floor_tracker::recordHandover(const node_id& from, epoch_number epoch, wall_time floor)
{
    for (auto& change : m_changes) {
        const auto entry = change.floors.find(from);
        if (change.toEpoch <= epoch && entry != change.floors.end() && !entry->second)
            entry->second = floor;
    }
    updateSettled();
}

void key_floor_tracker::applyFences(const owner_fence& fence, monotonic_time now, wall_time wallTime)
{
    for (auto& change : m_changes) {
        if (change.settled)
            continue;
        for (auto& [holder, floor] : change.floors) {
            // A work limit of zero suffices: what the holder still runs began before its right expired, so its key is
            // older than the floor.
            if (!floor && fence.isFenced(holder, milliseconds { 0 }, now))
                floor = wallTime;
        }
    }
    updateSettled();
}

std::optional<wall_time> key_floor_tracker::floorFor(const idempotency_key& key) const
{
    if (!m_firstMemberEpoch)
        return std::nullopt;
    wall_time result {}; // a member of the first epoch holds its keys without an earlier holder
    for (const auto& change : m_changes) {
        const auto earlier = keyHolderOf(change.membersBefore, key);
        const auto entry = earlier ? change.floors.find(*earlier) : change.floors.end();
        if (entry == change.floors.end())
            continue; // no node held the key before this change, or it does not move to this process
        if (!entry->second)
            return std::nullopt;
        result = std::max(result, *entry->second);
    }
    return result;
}

std::optional<wall_time> key_floor_tracker::handoverFloor(epoch_number epoch) const
{
    wall_time result {};
    for (const auto& change : m_changes) {
        if (change.toEpoch >= epoch)
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
    const auto change = std::find_if(m_changes.begin(), m_changes.end(), [&](const membership_change& candidate) { return candidate.toEpoch == epoch; });
    if (change == m_changes.end())
        return result;
    const bool selfLeft = !containsId(change->membersAfter, m_self);
    for (const auto& member : change->membersAfter) {
        if (member.id != m_self && (selfLeft || !containsId(change->membersBefore, member.id)))
            result.push_back(member.id);
    }
    return result;
}

std::set<node_id> key_floor_tracker::pendingHolders() const
{
    std::set<node_id> result;
    for (const auto& change : m_changes) {
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
