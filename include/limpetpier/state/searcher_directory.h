#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "limpetpier/state/rollout.h"
#include "limpetpier/state/routing_table.h"

namespace limpetpier {

// A searcher's own entry in the platform's store.
struct searcher_entry {
    searcher_id id;
    service_id service;
    std::string address; // IP:port
    data_centre_id zone;
    std::uint32_t slots = 1;
    bool draining = false;
    milliseconds coldTimeLeft { 0 }; // remaining cold time when the entry was written
    std::uint64_t startTimeMs = 0; // process start, in milliseconds since the Unix epoch; 0 if unknown
    software_version version {}; // empty if unknown

    bool operator==(const searcher_entry&) const = default;
};

// The searchers of the deployment as last read from the platform's store.
//
// During an outage of the store, entries may expire although their searchers are alive. A removal that may be the effect
// of an outage is therefore delayed, so that the entry can be restored.
class searcher_directory {
public:
    // An entry with the local times derived from it.
    struct record {
        searcher_entry entry;
        monotonic_time coldUntil;
        std::optional<monotonic_time> removeAt; // set while a removal is delayed
    };

    // Adds or replaces an entry and cancels its delayed removal. Returns whether this changed anything.
    bool put(const searcher_entry& entry, monotonic_time now);

    // Removes an entry at keepUntil, immediately if that is not later than now. A delay that has begun is not prolonged.
    // Returns whether the removal is delayed.
    bool remove(const searcher_id& searcher, monotonic_time now, monotonic_time keepUntil);

    // Replaces the contents of the directory, removing absent entries as remove() does. Returns the searchers whose
    // entries were added, changed or are absent.
    std::set<searcher_id> replaceAll(const std::vector<searcher_entry>& entries, monotonic_time now, monotonic_time keepUntil);

    // Removes the entries whose delay has ended and returns their searchers.
    std::set<searcher_id> expire(monotonic_time now);

    [[nodiscard]] const std::map<searcher_id, record>& records() const { return m_records; }

    // Maximum time from the writing of an entry until it is read here while the store is available.
    static constexpr milliseconds maxReportDelay { 1500 };

private:
    std::map<searcher_id, record> m_records;
    monotonic_time m_nextRemoval = monotonic_time::max(); // no record is removed before this time
};

} // namespace limpetpier
