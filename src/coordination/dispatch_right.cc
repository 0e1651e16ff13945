#include "limpetpier/coordination/dispatch_right.h"

#include <algorithm>
#include <functional>

#include "limpetpier/coordination/ownership.h"

namespace limpetpier {

dispatch_right::dispatch_right(node_id self, milliseconds ttl)
    : m_self(std::move(self))
    , m_ttl(ttl)
{
}

void dispatch_right::adopt(const assignment_epoch& epoch, revision_number revision)
{
    m_epoch = epoch.number;
    m_revision = revision;
    m_isMember = epoch.contains(m_self);
    m_witnesses = m_isMember ? witnessesOf(epoch.members, m_self) : std::vector<node_id> {};
    std::erase_if(m_newestAckedProbes, [&](const auto& ack) { return std::find(m_witnesses.begin(), m_witnesses.end(), ack.first) == m_witnesses.end(); });
}

void dispatch_right::recordAck(const node_id& witness, epoch_number witnessEpoch, revision_number witnessRevision, monotonic_time probeSentAt)
{
    if (witnessEpoch > m_epoch || witnessRevision > m_revision)
        return;
    if (std::find(m_witnesses.begin(), m_witnesses.end(), witness) == m_witnesses.end())
        return;
    auto& newestProbe = m_newestAckedProbes.try_emplace(witness, probeSentAt).first->second;
    newestProbe = std::max(newestProbe, probeSentAt);
}

bool dispatch_right::isFresh(monotonic_time now) const
{
    if (!m_isMember)
        return false;
    const auto recentAcks = std::count_if(m_newestAckedProbes.begin(), m_newestAckedProbes.end(), [&](const auto& ack) { return now - ack.second < m_ttl; });
    return static_cast<std::size_t>(recentAcks) >= requiredAcks(m_witnesses.size());
}

owner_fence::owner_fence(node_id self, milliseconds ttl)
    : m_self(std::move(self))
    , m_ttl(ttl)
{
}

void owner_fence::adopt(const assignment_epoch& epoch, revision_number revision, monotonic_time now)
{
    if (epoch.number == m_epoch.number && revision == m_revision)
        return;
    m_epoch = epoch;
    m_revision = revision;
    m_firstSeenCurrent.clear();
    m_released.clear();
    m_firstSeenCurrent.emplace(m_self, now); // from now on this node, as a witness, renews no right of an earlier epoch
}

void owner_fence::recordPeerState(const node_id& peer, epoch_number peerEpoch, revision_number peerRevision, bool released, monotonic_time now)
{
    if (peerEpoch < m_epoch.number || peerRevision < m_revision)
        return;
    m_firstSeenCurrent.try_emplace(peer, now);
    if (released)
        m_released.insert(peer);
}

bool owner_fence::allStopped(const std::set<node_id>& earlierOwners, milliseconds workLimit, monotonic_time now) const
{
    return std::all_of(earlierOwners.begin(), earlierOwners.end(), [&](const node_id& owner) {
        return owner == m_self || m_released.contains(owner) || isFenced(owner, workLimit, now);
    });
}

std::set<node_id> owner_fence::peersToAsk(const std::set<node_id>& earlierOwners) const
{
    std::set<node_id> peers;
    for (const auto& owner : earlierOwners) {
        peers.insert(owner);
        for (const auto& past : m_epoch.history) {
            const auto witnesses = witnessesOf(past.members, owner);
            peers.insert(witnesses.begin(), witnesses.end());
        }
    }
    peers.erase(m_self);
    return peers;
}

bool owner_fence::isFenced(const node_id& owner, milliseconds workLimit, monotonic_time now) const
{
    const auto canSendIn = [&](const std::vector<epoch_member>& members) {
        const bool isMember = std::any_of(members.begin(), members.end(), [&](const epoch_member& member) { return member.id == owner; });
        return isMember && !isFencedIn(members, owner, m_ttl + workLimit, now);
    };
    const bool canSendInHistory = std::any_of(m_epoch.history.begin(), m_epoch.history.end(), [&](const past_epoch& past) { return canSendIn(past.members); });
    return !canSendInHistory && !canSendIn(m_epoch.members);
}

bool owner_fence::isFencedIn(const std::vector<epoch_member>& members, const node_id& owner, milliseconds wait, monotonic_time now) const
{
    const auto witnesses = witnessesOf(members, owner);
    const auto hasFenced = [&](const node_id& witness) {
        const auto firstSeen = m_firstSeenCurrent.find(witness);
        return firstSeen != m_firstSeenCurrent.end() && now - firstSeen->second >= wait;
    };
    const auto fencingWitnesses = std::count_if(witnesses.begin(), witnesses.end(), hasFenced);
    return static_cast<std::size_t>(fencingWitnesses) >= requiredFencedWitnesses(witnesses.size());
}

} // namespace limpetpier
