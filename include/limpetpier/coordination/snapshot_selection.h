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

// The snapshot that a query is answered from, divided into disjoint key ranges.
struct pinned_snapshot {
    snapshot_id snapshot;
    std::vector<shard_piece> pieces; // ascending and disjoint
    std::uint64_t coveredKeys = 0; // at most keySpaceSize
};

// Selects the newest of the snapshots that cover the most keys; nullopt if no snapshot is reported.
//
// While a new index version is rolled out, queries use the old one until the new one covers as many keys. While shards
// split or merge, only pieces of the same shard map are combined. Searchers that are not serving are ignored; ranges
// that no searcher serves are missing from the coverage.
std::optional<pinned_snapshot> selectSnapshot(const std::vector<searcher_report>& reports);

// Divides one snapshot into pieces, regardless of how many keys it covers.
pinned_snapshot divideSnapshot(const std::vector<searcher_report>& reports, snapshot_id snapshot);

} // namespace limpetpier
