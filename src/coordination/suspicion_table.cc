#include "limpetpier/coordination/suspicion_table.h"

#include <algorithm>

#include "limpetpier/coordination/ownership.h"

namespace limpetpier {

namespace {

// Longest gap between two ticks of a running process; a longer one means that the process was paused.
constexpr milliseconds maxTickGap { 1000 };

} // namespace

suspicion_table::suspicion_table(node_id self)
    : m_self(std::move(self))
{
}

void suspicion_table::adopt(const assignment_epoch& epoch, monotonic_time now)
{
    m_epoch = epoch;
    std::map<node_id, monotonic_time> lastContacts;
    for (const auto& member : epoch.members) {
        const auto witnesses = witnessesOf(epoch.members, member.id);
        if (std::find(witnesses.begin(), witnesses.end(), m_self) == witnesses.end())
            continue;
        const auto known = m_lastContact.find(member.id);
        lastContacts[member.id] = known == m_lastContact.end() ? now : known->second;
    }
    m_lastContact = std::move(lastContacts);
    std::erase_if(m_suspected, [&](const auto& entry) {
        const auto* member = epoch.find(entry.first);
        return !member || member->incarnation != entry.second.incarnation;
    });
}

void suspicion_table::recordContact(const node_id& member, monotonic_time now)
{
    const auto lastContact = m_lastContact.find(member);
    if (lastContact != m_lastContact.end())
        lastContact->second = now;
    const auto subject = m_suspected.find(member);
    if (subject != m_suspected.end())
        subject->second.renewedAt.erase(m_self);
}

void suspicion_table::mergeSuspicions(const std::vector<suspicion>& suspicions, monotonic_time now)
{
    for (const auto& received : suspicions) {
        const auto* member = m_epoch.find(received.subject);
        if (!member || member->incarnation != received.incarnation || received.witness == m_self)
            continue;
        auto& subject = m_suspected[received.subject];
        subject.incarnation = received.incarnation;
        const auto renewalTime = now - milliseconds(received.ageMs);
        auto& newestRenewal = subject.renewedAt.try_emplace(received.witness, renewalTime).first->second;
        newestRenewal = std::max(newestRenewal, renewalTime);
    }
}

void suspicion_table::tick(monotonic_time now)
{
    const bool wasPaused = m_lastTick != monotonic_time {} && now - m_lastTick > maxTickGap;
    m_lastTick = now;
    for (auto& [member, lastContact] : m_lastContact) {
        if (wasPaused)
            lastContact = now;
        if (now - lastContact < suspicionTimeout)
            continue;
        auto& subject = m_suspected[member];
        subject.incarnation = m_epoch.find(member)->incarnation;
        subject.renewedAt[m_self] = now;
    }
}

std::vector<suspicion> suspicion_table::suspicionsToSend(monotonic_time now) const
{
    std::vector<suspicion> result;
    for (const auto& [subject, state] : m_suspected) {
        for (const auto& [witness, renewalTime] : state.renewedAt) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - renewalTime);
            if (age < suspicionLifetime)
                result.push_back({ subject, state.incarnation, witness, static_cast<std::uint32_t>(age.count()) });
        }
    }
    std::stable_partition(result.begin(), result.end(), [&](const suspicion& candidate) { return candidate.witness == m_self; });
    if (result.size() > maxSuspicionsPerProbe)
        result.resize(maxSuspicionsPerProbe);
    return result;
}

std::vector<node_id> suspicion_table::removableMembers(monotonic_time now) const
{
    std::vector<node_id> result;
    for (const auto& [subject, state] : m_suspected) {
        const auto witnesses = witnessesOf(m_epoch.members, subject);
        const auto suspectingWitnesses = std::count_if(witnesses.begin(), witnesses.end(), [now, &renewals = state.renewedAt](const node_id& witness) {
            const auto renewal = renewals.find(witness);
            return renewal != renewals.end() && now - renewal->second < suspicionLifetime;
        });
        if (!witnesses.empty() && static_cast<std::size_t>(suspectingWitnesses) >= requiredFencedWitnesses(witnesses.size()))
            result.push_back(subject);
    }
    return result;
}

} // namespace limpetpier
