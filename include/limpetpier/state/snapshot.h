#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "limpetpier/state/ids.h"
#include "limpetpier/state/key_range.h"

namespace limpetpier {

// One state of an index: its contents and the way in which they are divided into shards.
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

// A snapshot that a searcher can answer from, and the part of the key space that it holds there.
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

// What an owner last learned from a searcher.
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
