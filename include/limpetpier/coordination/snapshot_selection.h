#pragma once

#include <map>
#include <optional>
#include <vector>

#include "limpetpier/state/snapshot.h"

namespace limpetpier {

// One key range of a pinned snapshot and the searchers that hold it.
struct shard_piece {
    key_range range;
    std::vector<searcher_id> replicas;
};

// The snapshot that a query is answered from, divided into disjoint pieces.
struct pinned_snapshot {
    snapshot_id snapshot;
    std::vector<shard_piece> pieces; // ascending and disjoint
    std::uint64_t coveredKeys = 0; // of keySpaceSize
};

// Chooses the newest snapshot among those that cover most keys.
//
// While a new index version spreads, queries stay on the old one until the new one covers as much; while shards split
// or merge, only pieces of one shard map are combined. Searchers that are not serving are left out; a range that
// nobody serves is a gap of the coverage.
std::optional<pinned_snapshot> selectSnapshot(const std::vector<searcher_report>& reports);

// The division of one snapshot, whatever it covers.
pinned_snapshot divideSnapshot(const std::vector<searcher_report>& reports, snapshot_id snapshot);

} // namespace limpetpier
