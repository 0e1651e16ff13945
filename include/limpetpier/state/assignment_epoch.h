#pragma once

#include <optional>
#include <string>
#include <vector>

#include "limpetpier/state/ids.h"

namespace limpetpier {

// A dispatcher that can be assigned searchers.
struct epoch_member {
    node_id id;
    data_centre_id dataCentre;
    std::string address; // "IP:port", used for both node links (TCP) and probes (UDP)
    incarnation_number incarnation; // increases with every start of the process

    auto operator<=>(const epoch_member&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(id, dataCentre, address, incarnation);
    }
};

// The members of an earlier epoch. New owners use it to determine which former owners must be fenced.
struct past_epoch {
    epoch_number number;
    std::vector<epoch_member> members;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(number, members);
    }
};

// The agreed member list, from which every node computes the same assignment of searchers to owners.
//
// Stored as a single value in the platform's store. Each update is a compare-and-swap that increments the number by one.
struct assignment_epoch {
    epoch_number number;
    std::vector<epoch_member> members; // sorted by id, ascending
    std::vector<past_epoch> history; // newest first, at most maxEpochHistory

    // Returns the member with this id, or null.
    [[nodiscard]] const epoch_member* find(const node_id& id) const;
    [[nodiscard]] bool contains(const node_id& id) const { return find(id) != nullptr; }

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(number, members, history);
    }
};

// Number of earlier epochs that an epoch keeps.
constexpr std::size_t maxEpochHistory = 4;

// Returns the next epoch, in which the node has joined or its entry is updated after a restart. Returns nullopt if an
// identical entry is already present.
std::optional<assignment_epoch> withMember(const assignment_epoch& current, const epoch_member& joining);

// Returns the next epoch, in which the node has left. Returns nullopt if it is not a member.
std::optional<assignment_epoch> withoutMember(const assignment_epoch& current, const node_id& leaving);

// Serializes the epoch to the JSON text kept in the store.
std::string formatEpoch(const assignment_epoch& epoch);

// Parses the output of formatEpoch(). Throws document_error if the text is malformed.
assignment_epoch parseEpoch(const std::string& text);

} // namespace limpetpier
