#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "limpetpier/state/assignment_epoch.h"
#include "limpetpier/state/operator_document.h"

namespace limpetpier {

// Maximum number of witnesses of a member. It is constant so that the probe load of a node does not grow with the number
// of members.
constexpr std::size_t maxWitnesses = 7;

// Returns the member that owns a searcher, or nothing if there are no members. Only the owner connects to the searcher.
//
// Replicas of one instance get different owners as long as there are at least as many members as replicas. A member in the
// searcher's own data centre is preferred. The result depends only on the arguments, so all nodes with the same epoch and
// document agree.
//
//     auto owner = ownerOf(epoch.members, front, front.searchers[0]);
std::optional<node_id> ownerOf(const std::vector<epoch_member>& members, const front_spec& front, const searcher_spec& searcher);

// Returns the member that holds the idempotency record of a key, or nothing if there are no members.
std::optional<node_id> keyHolderOf(const std::vector<epoch_member>& members, const idempotency_key& key);

// Returns the other members whose acknowledgements renew a member's right to dispatch, at most maxWitnesses.
std::vector<node_id> witnessesOf(const std::vector<epoch_member>& members, const node_id& member);

// Returns how many witnesses must acknowledge a member: together with the member, they are a majority of its group.
std::size_t requiredAcks(std::size_t witnessCount);

// Returns how many witnesses must stop acknowledging a member before its right can no longer be renewed.
std::size_t requiredFencedWitnesses(std::size_t witnessCount);

} // namespace limpetpier
