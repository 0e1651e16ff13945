#pragma once

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Outages of the platform's store as one process observes them, and how long the removal of a searcher's entry may be
// their effect.
//
// Entries of live searchers expire while the searchers can't reach the store, and are restored within restorationTime of
// its return. An entry that is missing after that belongs to a searcher that has left, whenever its removal is read.
class outage_record {
public:
    // minExpiryOutage: shortest outage in which the entry of a live searcher can expire.
    explicit outage_record(milliseconds minExpiryOutage)
        : m_minExpiryOutage(minExpiryOutage)
    {
    }

    // Records that the store has been unavailable since the given time: when a call was sent that it did not answer, or
    // when a connection to it ended. Returns true if this begins an outage.
    bool recordFailure(monotonic_time since)
    {
        if (!m_available)
            return false;
        m_available = false;
        m_unavailableSince = since;
        return true;
    }

    // Records an answer of the store. Returns true if it ends an outage.
    bool recordAnswer(monotonic_time now)
    {
        if (m_available)
            return false;
        m_available = true;
        if (now - m_unavailableSince >= m_minExpiryOutage)
            m_restoredBy = now + restorationTime;
        return true;
    }

    // Records that the store has come back from an older copy. Entries that were written since that copy are missing until
    // their searchers write them again, as at the end of an outage.
    void recordRestoredStore(monotonic_time now) { m_restoredBy = now + restorationTime; }

    // Returns false from the beginning of an outage to its end.
    [[nodiscard]] bool isAvailable() const { return m_available; }

    // Returns the time by which the platform has restored the entries that expired during the last outage long enough for
    // that; the zero time if there was none.
    [[nodiscard]] monotonic_time restoredBy() const { return m_restoredBy; }

    // Returns the time until which a searcher whose entry was removed is kept, so that a restored entry can be read first.
    // Not later than the present if no removal is the effect of an outage.
    [[nodiscard]] monotonic_time keepRemovedUntil() const { return m_restoredBy + restorationMargin; }

    // From the store's return until the platform has restored the expired entries of live searchers.
    static constexpr milliseconds restorationTime { 2000 };

    // Time to read the restored entries.
    static constexpr milliseconds restorationMargin { 200 };

private:
    milliseconds m_minExpiryOutage;
    bool m_available = true;
    monotonic_time m_unavailableSince {};
    monotonic_time m_restoredBy {};
};

} // namespace limpetpier
