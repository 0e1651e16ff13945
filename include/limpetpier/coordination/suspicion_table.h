#pragma once

#include <map>
#include <vector>

#include "limpetpier/state/assignment_epoch.h"
#include "limpetpier/state/clock.h"

namespace limpetpier {

// A witness's word that it no longer hears a member.
struct suspicion {
    node_id subject;
    incarnation_number incarnation;
    node_id witness;
    std::uint32_t ageMs = 0; // since the witness last renewed its word

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(subject, incarnation, witness, ageMs);
    }
};

// Silence after which a witness suspects a member.
constexpr milliseconds suspicionTimeout { 1500 };

// Suspicions older than this no longer count.
constexpr milliseconds suspicionLifetime { 2000 };

// Suspicions that one probe carries at most.
constexpr std::size_t maxSuspicionsPerProbe = 8;

// Failure detection for the members of an epoch.
//
// A member is proposed for removal only when so many of its witnesses suspect it that it cannot renew its right; a cut
// between two nodes alone therefore removes nobody.
class suspicion_table {
public:
    explicit suspicion_table(node_id self);

    void adopt(const assignment_epoch& epoch, monotonic_time now);

    // Records a probe or an acknowledgement from a member.
    void recordContact(const node_id& member, monotonic_time now);

    // Records suspicions that a peer passed on.
    void mergeSuspicions(const std::vector<suspicion>& suspicions, monotonic_time now);

    // Renews this node's own suspicions. A long gap since the last call means that this process was paused, and then
    // every silence is its own.
    void tick(monotonic_time now);

    // Suspicions to pass on, own ones first.
    [[nodiscard]] std::vector<suspicion> suspicionsToSend(monotonic_time now) const;

    // Members that enough witnesses suspect.
    [[nodiscard]] std::vector<node_id> removableMembers(monotonic_time now) const;

private:
    struct subject_state {
        incarnation_number incarnation;
        std::map<node_id, monotonic_time> saidBy; // witness -> when it last renewed its word
    };

    node_id m_self;
    assignment_epoch m_epoch;
    std::map<node_id, monotonic_time> m_watched; // members whose witness this node is -> last heard
    std::map<node_id, subject_state> m_subjects;
    monotonic_time m_lastTick {};
};

} // namespace limpetpier
