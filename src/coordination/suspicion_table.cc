#include "limpetpier/coordination/suspicion_table.h"

#include <algorithm>

#include "limpetpier/coordination/ownership.h"

namespace limpetpier {

namespace {

// A gap between two ticks beyond this means that the process was paused.
constexpr milliseconds pausedAfter { 1000 };

} // namespace

suspicion_table::suspicion_table(node_id self)
    : m_self(std::move(self))
{
}

void suspicion_table::adopt(const assignment_epoch& epoch, monotonic_time now)
{
    m_epoch = epoch;
    std::map<node_id, monotonic_time> watched;
    for (const auto& member : epoch.members) {
        const auto witnesses = witnessesOf(epoch.members, member.id);
        if (std::find(witnesses.begin(), witnesses.end(), m_self) == witnesses.end())
            continue;
        const auto known = m_watched.find(member.id);
        watched[member.id] = known == m_watched.end() ? now : known->second;
    }
    m_watched = std::move(watched);
    std::erase_if(m_subjects, [&](const auto& entry) {
        const auto* member = epoch.find(entry.first);
        return !member || member->incarnation != entry.second.incarnation;
    });
}

void suspicion_table::recordContact(const node_id& member, monotonic_time now)
{
    const auto watched = m_watched.find(member);
    if (watched != m_watched.end())
        watched->second = now;
    const auto subject = m_subjects.find(member);
    if (subject != m_subjects.end())
        subject->second.saidBy.erase(m_self);
}

void suspicion_table::mergeSuspicions(const std::vector<suspicion>& suspicions, monotonic_time now)
{
    for (const auto& item : suspicions) {
        const auto* member = m_epoch.find(item.subject);
        if (!member || member->incarnation != item.incarnation || item.witness == m_self)
            continue;
        auto& subject = m_subjects[item.subject];
        subject.incarnation = item.incarnation;
        const auto saidAt = now - milliseconds(item.ageMs);
        auto& newest = subject.saidBy.try_emplace(item.witness, saidAt).first->second;
        newest = std::max(newest, saidAt);
    }
}

void suspicion_table::tick(monotonic_time now)
{
    const bool wasPaused = m_lastTick != monotonic_time {} && now - m_lastTick > pausedAfter;
    m_lastTick = now;
    for (auto& [member, lastHeard] : m_watched) {
        if (wasPaused)
            lastHeard = now;
        if (now - lastHeard < suspicionTimeout)
            continue;
        auto& subject = m_subjects[member];
        subject.incarnation = m_epoch.find(member)->incarnation;
        subject.saidBy[m_self] = now;
    }
}

std::vector<suspicion> suspicion_table::suspicionsToSend(monotonic_time now) const
{
    std::vector<suspicion> result;
    for (const auto& [subject, state] : m_subjects) {
        for (const auto& [witness, saidAt] : state.saidBy) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - saidAt);
            if (age < suspicionLifetime)
                result.push_back({ subject, state.incarnation, witness, static_cast<std::uint32_t>(age.count()) });
        }
    }
    std::stable_partition(result.begin(), result.end(), [&](const suspicion& item) { return item.witness == m_self; });
    if (result.size() > maxSuspicionsPerProbe)
        result.resize(maxSuspicionsPerProbe);
    return result;
}

std::vector<node_id> suspicion_table::removableMembers(monotonic_time now) const
{
    std::vector<node_id> result;
    for (const auto& [subject, state] : m_subjects) {
        const auto witnesses = witnessesOf(m_epoch.members, subject);
        const auto agreeing = std::count_if(witnesses.begin(), witnesses.end(), [now, &saidBy = state.saidBy](const node_id& witness) {
            const auto said = saidBy.find(witness);
            return said != saidBy.end() && now - said->second < suspicionLifetime;
        });
        if (!witnesses.empty() && static_cast<std::size_t>(agreeing) >= requiredFencedWitnesses(witnesses.size()))
            result.push_back(subject);
    }
    return result;
}

} // namespace limpetpier
