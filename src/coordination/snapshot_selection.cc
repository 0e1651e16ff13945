#include "limpetpier/coordination/snapshot_selection.h"

#include <algorithm>
#include <set>

namespace limpetpier {

pinned_snapshot divideSnapshot(const std::vector<searcher_report>& reports, snapshot_id snapshot)
{
    std::map<key_range, std::vector<searcher_id>> holders;
    for (const auto& report : reports) {
        for (const auto& held : report.held) {
            if (held.snapshot == snapshot && report.serving)
                holders[held.range].push_back(report.searcher);
        }
    }
    pinned_snapshot pinned { snapshot, {}, 0 };
    range_set covered;
    for (auto& [range, replicas] : holders) {
        // Ranges of one shard map never overlap. A searcher that reports an overlapping range is ignored, so that no
        // key is counted twice.
        if (covered.overlaps(range))
            continue;
        covered.add(range);
        pinned.pieces.push_back({ range, std::move(replicas) });
    }
    pinned.coveredKeys = covered.size();
    return pinned;
}

std::optional<pinned_snapshot> selectSnapshot(const std::vector<searcher_report>& reports)
{
    std::set<snapshot_id> candidates;
    for (const auto& report : reports) {
        for (const auto& held : report.held)
            candidates.insert(held.snapshot);
    }
    std::optional<pinned_snapshot> best;
    for (auto candidate = candidates.rbegin(); candidate != candidates.rend(); ++candidate) {
        auto pinned = divideSnapshot(reports, *candidate);
        if (!best || pinned.coveredKeys > best->coveredKeys)
            best = std::move(pinned);
    }
    return best;
}

} // namespace limpetpier
