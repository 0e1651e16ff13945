#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "limpetpier/state/assignment_epoch.h"
#include "limpetpier/state/operator_document.h"

namespace limpetpier {

// Nodes that vouch for a member, besides itself. Constant, so that probing costs a node the same at any fleet size.
constexpr std::size_t maxWitnesses = 7;

// The member that owns a searcher: the only node that connects to it.
//
// Replicas of one instance get different owners while two members live. Among equals a member in the
// searcher's own data centre is preferred. Every node computes the same answer from the same epoch and document.
//
//     auto owner = ownerOf(epoch.members, front, front.searchers[0]);
std::optional<node_id> ownerOf(const std::vector<epoch_member>& members, const front_spec& front, const searcher_spec& searcher);

// The member that keeps the idempotency record of a key.
std::optional<node_id> keyHolderOf(const std::vector<epoch_member>& members, const idempotency_key& key);

// The other members whose acknowledgements renew a member's right to dispatch.
std::vector<node_id> witnessesOf(const std::vector<epoch_member>& members, const node_id& member);

// Acknowledging witnesses that a member needs: with itself, a majority of its group.
std::size_t requiredAcks(std::size_t witnesses);

// Witnesses that must have left the member's epoch before its right can no longer be renewed.
std::size_t requiredFencedWitnesses(std::size_t witnesses);

} // namespace limpetpier
