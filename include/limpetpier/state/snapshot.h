#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "limpetpier/state/ids.h"
#include "limpetpier/state/key_range.h"

namespace limpetpier {

// Identifies a state of an index: the version of its contents and of its partitioning into shards.
struct snapshot_id {
    std::uint64_t indexVersion = 0;
    std::uint64_t shardMap = 0;

    auto operator<=>(const snapshot_id&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(indexVersion, shardMap);
    }
};

// A snapshot that a searcher holds, and the key range that it serves of it.
struct held_snapshot {
    snapshot_id snapshot;
    key_range range;

    auto operator<=>(const held_snapshot&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(snapshot, range);
    }
};

// The state of a searcher as last reported to its owner.
struct searcher_report {
    searcher_id searcher;
    bool serving = false;
    std::vector<held_snapshot> held;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(searcher, serving, held);
    }
};

} // namespace limpetpier
