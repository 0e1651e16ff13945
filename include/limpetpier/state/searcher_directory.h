#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

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

    bool operator==(const searcher_entry&) const = default;
};

// The searchers of the deployment as last read from the platform's store.
//
// During an outage of the store, entries may expire although their searchers are alive. Removals seen after an outage
// are therefore delayed by expiryGracePeriod, in which such a searcher can register again.
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

    // Removes an entry: immediately, or after expiryGracePeriod if afterOutage is set.
    void remove(const searcher_id& searcher, monotonic_time now, bool afterOutage);

    // Replaces the contents of the directory, removing absent entries as remove() does. Returns the searchers whose
    // entries were added, changed or are absent.
    std::set<searcher_id> replaceAll(const std::vector<searcher_entry>& entries, monotonic_time now, bool afterOutage);

    // Removes the entries whose grace period has ended and returns their searchers.
    std::set<searcher_id> expire(monotonic_time now);

    [[nodiscard]] const std::map<searcher_id, record>& records() const { return m_records; }

    // Time for an expired entry to reappear after an outage. The platform restores entries within about two seconds of the
    // store's recovery.
    static constexpr milliseconds expiryGracePeriod { 2200 };

    // Maximum time from the writing of an entry until it is read here while the store is available.
    static constexpr milliseconds maxReportDelay { 1500 };

private:
    std::map<searcher_id, record> m_records;
    monotonic_time m_nextRemoval = monotonic_time::max(); // no record is removed before this time
};

} // namespace limpetpier
