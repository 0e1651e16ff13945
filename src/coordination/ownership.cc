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

// Members from the best to the worst for an item.
std::vector<const epoch_member*> ranked(const std::vector<epoch_member>& members, const std::string& item)
{
    std::vector<std::pair<std::uint64_t, const epoch_member*>> scored;
    scored.reserve(members.size());
    for (const auto& member : members)
        scored.emplace_back(rendezvousScore(item, member.id.value()), &member);
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) { return left > right; });
    std::vector<const epoch_member*> result;
    result.reserve(scored.size());
    for (const auto& [score, member] : scored)
        result.push_back(member);
    return result;
}

} // namespace

std::optional<node_id> ownerOf(const std::vector<epoch_member>& members, const front_spec& front, const searcher_spec& searcher)
{
    if (members.empty())
        return std::nullopt;
    const bool replicated = front.kind == front_kind::fan_out;
    const auto item = front.id.value() + "/" + (replicated ? std::to_string(searcher.instance) : searcher.id.value());
    auto candidates = ranked(members, item);

    // Replicas choose in the order of their ids; each takes the best member that no earlier one took.
    std::vector<const searcher_spec*> replicas;
    for (const auto& other : front.searchers) {
        if (replicated ? other.instance == searcher.instance : other.id == searcher.id)
            replicas.push_back(&other);
    }
    std::sort(replicas.begin(), replicas.end(), [](const auto* left, const auto* right) { return left->id < right->id; });

    std::vector<const epoch_member*> taken;
    for (const auto* replica : replicas) {
        const auto isFree = [&](const epoch_member* member) { return std::find(taken.begin(), taken.end(), member) == taken.end(); };
        const auto isLocal = [&](const epoch_member* member) { return isFree(member) && member->dataCentre == replica->dataCentre; };
        auto choice = std::find_if(candidates.begin(), candidates.end(), isLocal);
        if (choice == candidates.end())
            choice = std::find_if(candidates.begin(), candidates.end(), isFree);
        if (choice == candidates.end()) {
            taken.clear(); // more replicas than members
            choice = candidates.begin();
        }
        if (replica->id == searcher.id)
            return (*choice)->id;
        taken.push_back(*choice);
    }
    return std::nullopt;
}

std::optional<node_id> keyHolderOf(const std::vector<epoch_member>& members, const idempotency_key& key)
{
    const auto candidates = ranked(members, "key/" + key.value());
    if (candidates.empty())
        return std::nullopt;
    return candidates.front()->id;
}

std::vector<node_id> witnessesOf(const std::vector<epoch_member>& members, const node_id& member)
{
    std::vector<node_id> witnesses;
    for (const auto* candidate : ranked(members, "witness/" + member.value())) {
        if (candidate->id == member)
            continue;
        witnesses.push_back(candidate->id);
        if (witnesses.size() == witnessCount)
            break;
    }
    return witnesses;
}

std::size_t acksNeeded(std::size_t witnesses)
{
    const std::size_t group = witnesses + 1;
    const std::size_t majority = group / 2 + 1;
    return majority - 1;
}

std::size_t fencesNeeded(std::size_t witnesses)
{
    return witnesses - acksNeeded(witnesses) + 1;
}

} // namespace limpetpier
