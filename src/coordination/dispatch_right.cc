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
    std::erase_if(m_acks, [&](const auto& ack) { return std::find(m_witnesses.begin(), m_witnesses.end(), ack.first) == m_witnesses.end(); });
}

void dispatch_right::recordAck(const node_id& witness, epoch_number witnessEpoch, revision_number witnessRevision, monotonic_time probeSentAt)
{
    if (witnessEpoch > m_epoch || witnessRevision > m_revision)
        return;
    if (std::find(m_witnesses.begin(), m_witnesses.end(), witness) == m_witnesses.end())
        return;
    auto& newest = m_acks.try_emplace(witness, probeSentAt).first->second;
    newest = std::max(newest, probeSentAt);
}

bool dispatch_right::isFresh(monotonic_time now) const
{
    if (!m_isMember)
        return false;
    const auto recent = std::count_if(m_acks.begin(), m_acks.end(), [&](const auto& ack) { return now - ack.second < m_ttl; });
    return static_cast<std::size_t>(recent) >= requiredAcks(m_witnesses.size());
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
    m_movedOn.clear();
    m_released.clear();
    m_movedOn.emplace(m_self, now); // this node renews nobody in an earlier epoch from here on
}

void owner_fence::recordPeerState(const node_id& peer, epoch_number peerEpoch, revision_number peerRevision, bool released, monotonic_time now)
{
    if (peerEpoch < m_epoch.number || peerRevision < m_revision)
        return;
    m_movedOn.try_emplace(peer, now);
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
    const auto blocksIn = [&](const std::vector<epoch_member>& members) {
        const bool isMember = std::any_of(members.begin(), members.end(), [&](const epoch_member& member) { return member.id == owner; });
        return isMember && !isFencedIn(members, owner, m_ttl + workLimit, now);
    };
    const bool blocksEarlier = std::any_of(m_epoch.history.begin(), m_epoch.history.end(), [&](const past_epoch& past) { return blocksIn(past.members); });
    return !blocksEarlier && !blocksIn(m_epoch.members);
}

bool owner_fence::isFencedIn(const std::vector<epoch_member>& members, const node_id& owner, milliseconds wait, monotonic_time now) const
{
    const auto witnesses = witnessesOf(members, owner);
    const auto hasLapsed = [&](const node_id& witness) {
        const auto moved = m_movedOn.find(witness);
        return moved != m_movedOn.end() && now - moved->second >= wait;
    };
    const auto lapsed = std::count_if(witnesses.begin(), witnesses.end(), hasLapsed);
    return static_cast<std::size_t>(lapsed) >= requiredFencedWitnesses(witnesses.size());
}

} // namespace limpetpier
