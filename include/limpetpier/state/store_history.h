#pragma once

#include <algorithm>
#include <compare>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"

namespace limpetpier {

using store_revision = number_id<struct store_revision_tag>;
using store_era = number_id<struct store_era_tag>;

// A point in the history of the platform's store. A store that is restored from an older copy begins a new era and assigns
// the revisions after that copy again, so a revision has a meaning only within its era.
struct store_position {
    store_era era; // zero if the store states none
    store_revision revision;

    auto operator<=>(const store_position&) const = default; // by era, then by revision
};

// What a process knows of the store's history from its answers.
class store_history {
public:
    // Records the era of any answer. Returns true if the store has been restored from an older copy since the last one.
    // An earlier era is that of a late answer and has no effect.
    bool recordEra(store_era era)
    {
        if (m_era && era <= *m_era)
            return false;
        const bool isRestored = m_era.has_value();
        m_era = era;
        if (isRestored)
            m_latest = {};
        return isRestored;
    }

    // Records the revision that the store has at a read. Returns true if it has been restored from an older copy without
    // stating it: the revision is lower than an earlier one. A store that states its era says so by the era alone.
    bool recordRead(store_revision revision)
    {
        if (m_era) {
            m_latest = std::max(m_latest, revision);
            return false;
        }
        const bool isRestored = revision < m_latest;
        m_latest = revision;
        return isRestored;
    }

    // Records the revision up to which a watch has returned the changes after another. Returns as recordRead().
    bool recordChanges(store_revision after, store_revision revision)
    {
        if (m_era)
            return recordRead(revision);
        const bool isRestored = revision < after;
        m_latest = isRestored ? revision : std::max(m_latest, revision); // an answer may hold only some of the changes
        return isRestored;
    }

    [[nodiscard]] store_era era() const { return m_era.value_or(store_era {}); }
    [[nodiscard]] store_position latest() const { return { era(), m_latest }; }

private:
    std::optional<store_era> m_era; // highest so far
    store_revision m_latest; // that the store is known to have reached in this era
};

// Keys that a restored store does not list but that were known before. They count as present until their writers have had
// the time to write them again.
class carried_keys {
public:
    void carry(const std::set<std::string>& keys, monotonic_time until)
    {
        m_keys.insert(keys.begin(), keys.end());
        m_until = until;
    }

    [[nodiscard]] bool contains(const std::string& key) const { return m_keys.contains(key); }

    // Records that the store lists or has removed a key again, so that it is no longer carried.
    void confirm(const std::string& key) { m_keys.erase(key); }

    void clear() { m_keys.clear(); }

    // Returns the keys that were not written again in time and stops carrying them.
    std::set<std::string> takeExpired(monotonic_time now) { return now < m_until ? std::set<std::string>() : std::exchange(m_keys, {}); }

private:
    std::set<std::string> m_keys;
    monotonic_time m_until {};
};

} // namespace limpetpier
