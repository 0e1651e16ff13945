#pragma once

#include <map>
#include <vector>

#include "limpetpier/state/assignment_epoch.h"
#include "limpetpier/state/clock.h"

namespace limpetpier {

// Report by a witness that it no longer receives messages from a member.
struct suspicion {
    node_id subject;
    incarnation_number incarnation;
    node_id witness;
    std::uint32_t ageMs = 0; // milliseconds since the witness last renewed the suspicion

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(subject, incarnation, witness, ageMs);
    }
};

// Time without a message from a member after which its witness suspects it.
constexpr milliseconds suspicionTimeout { 1500 };

// Age at which a suspicion that was not renewed expires.
constexpr milliseconds suspicionLifetime { 2000 };

// Maximum number of suspicions in one probe.
constexpr std::size_t maxSuspicionsPerProbe = 8;

// Failure detector for the members of an epoch.
//
// A member becomes removable only when so many of its witnesses suspect it that it cannot renew its right to dispatch. A
// broken link between only two nodes therefore removes no member.
class suspicion_table {
public:
    explicit suspicion_table(node_id self);

    // Switches to a new epoch. Watches the members whose witness this node is, and drops suspicions of nodes and
    // incarnations that are no longer members.
    void adopt(const assignment_epoch& epoch, monotonic_time now);

    // Records a probe or an acknowledgement from a member and withdraws this node's own suspicion of it.
    void recordContact(const node_id& member, monotonic_time now);

    // Records suspicions received from a peer. Ignores suspicions of nodes or incarnations
    // that are not members, and this node's own.
    void mergeSuspicions(const std::vector<suspicion>& suspicions, monotonic_time now);

    // Starts or renews this node's own suspicions. A long gap since the last call means that this process was paused and
    // received nothing itself, so the silence of the other members is not counted.
    void tick(monotonic_time now);

    // Returns at most maxSuspicionsPerProbe unexpired suspicions to send to peers, this node's own first.
    [[nodiscard]] std::vector<suspicion> suspicionsToSend(monotonic_time now) const;

    // Returns the members that enough witnesses suspect.
    [[nodiscard]] std::vector<node_id> removableMembers(monotonic_time now) const;

private:
    struct suspected_member {
        incarnation_number incarnation;
        std::map<node_id, monotonic_time> renewedAt; // witness -> when it last renewed its suspicion
    };

    node_id m_self;
    assignment_epoch m_epoch;
    std::map<node_id, monotonic_time> m_lastContact; // members whose witness this node is -> time of last contact
    std::map<node_id, suspected_member> m_suspected; // by subject
    monotonic_time m_lastTick {};
};

} // namespace limpetpier
