#pragma once

#include <optional>
#include <string>
#include <vector>

#include "limpetpier/state/ids.h"

namespace limpetpier {

// A dispatcher that may own searchers.
struct epoch_member {
    node_id id;
    data_centre_id dataCentre;
    std::string address; // "IP:port" of its node link (TCP) and its probes (UDP)
    incarnation_number incarnation; // grows with every start of the process

    auto operator<=>(const epoch_member&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(id, dataCentre, address, incarnation);
    }
};

// The members of one earlier epoch, kept so that successors know whom to fence.
struct past_epoch {
    epoch_number number;
    std::vector<epoch_member> members;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(number, members);
    }
};

// The agreed member list from which every node computes the same owners.
//
// It lives as one value in the platform's store and advances by compare-and-swap, one number at a time.
struct assignment_epoch {
    epoch_number number;
    std::vector<epoch_member> members; // ascending by id
    std::vector<past_epoch> history; // newest first, at most maxEpochHistory

    [[nodiscard]] const epoch_member* find(const node_id& id) const;
    [[nodiscard]] bool contains(const node_id& id) const { return find(id) != nullptr; }

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(number, members, history);
    }
};

constexpr std::size_t maxEpochHistory = 4;

// The epoch that follows when a node joins or restarts; nothing if it is already a member in this incarnation.
std::optional<assignment_epoch> withMember(const assignment_epoch& current, const epoch_member& joining);

// The epoch that follows when a node leaves; nothing if it is no member.
std::optional<assignment_epoch> withoutMember(const assignment_epoch& current, const node_id& leaving);

// Store form. parseEpoch() throws document_error.
std::string formatEpoch(const assignment_epoch& epoch);
assignment_epoch parseEpoch(const std::string& text);

} // namespace limpetpier
