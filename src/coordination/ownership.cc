#include "limpetpier/coordination/ownership.h"

#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace limpetpier {

namespace {

std::uint64_t rendezvousScore(const std::string& item, const std::string& member)
{
    const auto seed = XXH3_64bits(item.data(), item.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

// Returns the members by descending rendezvous score for an item.
std::vector<const epoch_member*> rankMembers(const std::vector<epoch_member>& members, const std::string& item)
{
    std::vector<std::pair<std::uint64_t, const epoch_member*>> scoredMembers;
    scoredMembers.reserve(members.size());
    for (const auto& member : members)
        scoredMembers.emplace_back(rendezvousScore(item, member.id.value()), &member);
    std::sort(scoredMembers.begin(), scoredMembers.end(), [](const auto& left, const auto& right) { return left > right; });
    std::vector<const epoch_member*> result;
    result.reserve(scoredMembers.size());
    for (const auto& [score, member] : scoredMembers)
        result.push_back(member);
    return result;
}

// Returns the searchers that hold the same shard, ordered by id; the searcher alone if the front is not a fan-out.
std::vector<const searcher_spec*> replicasOf(const front_spec& front, const searcher_spec& searcher)
{
    std::vector<const searcher_spec*> replicas;
    for (const auto& other : front.searchers) {
        const bool isReplica = front.kind == front_kind::fan_out && other.instance == searcher.instance;
        if (isReplica || other.id == searcher.id)
            replicas.push_back(&other);
    }
    std::sort(replicas.begin(), replicas.end(), [](const auto* left, const auto* right) { return left->id < right->id; });
    return replicas;
}

// Returns the index of the replica that a member prefers to own. It depends only on the member and the item, so replicas
// rarely compete for a member and a change of membership moves few of them.
std::size_t preferredReplica(const epoch_member& member, const std::string& item, std::size_t replicaCount)
{
    return rendezvousScore("replica/" + item, member.id.value()) % replicaCount;
}

// Returns the owner for one replica: the highest-ranked candidate that owns no other replica and prefers this one, or
// else the highest-ranked candidate that owns no other replica. Returns null if there is none. With localOnly, considers
// only candidates in the replica's data centre.
const epoch_member* selectOwner(const std::vector<const epoch_member*>& candidates, const std::vector<const epoch_member*>& owners, const searcher_spec& replica, const std::string& item, std::size_t position, bool localOnly)
{
    const epoch_member* fallback = nullptr;
    for (const auto* candidate : candidates) {
        const bool isTaken = std::find(owners.begin(), owners.end(), candidate) != owners.end();
        if (isTaken || (localOnly && candidate->dataCentre != replica.dataCentre))
            continue;
        if (preferredReplica(*candidate, item, owners.size()) == position)
            return candidate;
        if (!fallback)
            fallback = candidate;
    }
    return fallback;
}

} // namespace

std::optional<node_id> ownerOf(const std::vector<epoch_member>& members, const front_spec& front, const searcher_spec& searcher)
{
    if (members.empty())
        return std::nullopt;
    const auto replicas = replicasOf(front, searcher);
    const auto item = front.id.value() + "/" + (front.kind == front_kind::fan_out ? std::to_string(searcher.instance) : searcher.id.value());
    const auto candidates = rankMembers(members, item);

    // Replicas with a member in their own data centre are assigned first, so that losing a member moves only the replica
    // that it owned.
    std::vector<const epoch_member*> owners(replicas.size(), nullptr);
    for (const bool localOnly : { true, false }) {
        for (std::size_t position = 0; position < replicas.size(); ++position) {
            if (!owners[position])
                owners[position] = selectOwner(candidates, owners, *replicas[position], item, position, localOnly);
        }
    }
    const auto requested = std::find_if(replicas.begin(), replicas.end(), [&](const auto* replica) { return replica->id == searcher.id; });
    const auto* owner = owners[static_cast<std::size_t>(requested - replicas.begin())];
    return owner ? owner->id : candidates.front()->id; // there are more replicas than members
}

std::optional<node_id> keyHolderOf(const std::vector<epoch_member>& members, const idempotency_key& key)
{
    const auto candidates = rankMembers(members, "key/" + key.value());
    if (candidates.empty())
        return std::nullopt;
    return candidates.front()->id;
}

std::vector<node_id> witnessesOf(const std::vector<epoch_member>& members, const node_id& member)
{
    std::vector<node_id> witnesses;
    for (const auto* candidate : rankMembers(members, "witness/" + member.value())) {
        if (candidate->id == member)
            continue;
        witnesses.push_back(candidate->id);
        if (witnesses.size() == maxWitnesses)
            break;
    }
    return witnesses;
}

std::size_t requiredAcks(std::size_t witnessCount)
{
    const std::size_t groupSize = witnessCount + 1;
    const std::size_t majority = groupSize / 2 + 1;
    return majority - 1;
}

std::size_t requiredFencedWitnesses(std::size_t witnessCount)
{
    return witnessCount - requiredAcks(witnessCount) + 1;
}

} // namespace limpetpier
