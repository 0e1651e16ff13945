#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "limpetpier/state/routing_table.h"

namespace limpetpier {

// What a searcher says of itself in the platform's list.
struct searcher_entry {
    searcher_id id;
    service_id service;
    std::string address; // IP:port
    data_centre_id zone;
    std::uint32_t slots = 1;
    bool draining = false;
    milliseconds coldTimeLeft { 0 }; // how much longer it stays cold, from when it was written
    std::uint64_t startTimeMs = 0; // start of this run, Unix milliseconds; 0 if unknown

    bool operator==(const searcher_entry&) const = default;
};

// The searchers of the deployment as last read from the platform's store.
//
// While the store was away entries may have lapsed although their searchers live. Removals seen after an outage wait for
// expiryGracePeriod, so that such a searcher is back before it is dropped.
class searcher_directory {
public:
    struct record {
        searcher_entry entry;
        monotonic_time coldUntil;
        std::optional<monotonic_time> removeAt;
    };

    // Adds or replaces an entry; false if nothing that matters changed.
    bool put(const searcher_entry& entry, monotonic_time now);

    // Removes an entry, at once or after the grace.
    void remove(const searcher_id& searcher, monotonic_time now, bool afterOutage);

    // Makes the directory hold these entries and no others; returns those that changed.
    std::set<searcher_id> replaceAll(const std::vector<searcher_entry>& entries, monotonic_time now, bool afterOutage);

    // Drops entries whose grace has ended and returns them.
    std::set<searcher_id> expire(monotonic_time now);

    [[nodiscard]] const std::map<searcher_id, record>& records() const { return m_records; }

    // The platform restores lapsed entries within about two seconds of the store's return.
    static constexpr milliseconds expiryGracePeriod { 2200 };

    // From the writing of an entry to its reading here, with the store well.
    static constexpr milliseconds maxReportDelay { 1500 };

private:
    std::map<searcher_id, record> m_records;
    monotonic_time m_nextRemoval = monotonic_time::max(); // no entry is dropped before
};

} // namespace limpetpier
