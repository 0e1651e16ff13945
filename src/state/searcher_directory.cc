#include "limpetpier/state/searcher_directory.h"

#include <algorithm>
#include <set>

namespace limpetpier {

namespace {

// Returns the end of a searcher's cold phase, given the known end and the one computed from a new entry. The computed end
// is too late by the delay of the entry, so the earlier of the two is more accurate. A computed end that is later by more
// than the maximum delay indicates a new cold phase.
monotonic_time updatedColdEnd(monotonic_time knownEnd, monotonic_time reportedEnd)
{
    return reportedEnd > knownEnd + searcher_directory::maxReportDelay ? reportedEnd : std::min(knownEnd, reportedEnd);
}

} // namespace

bool searcher_directory::put(const searcher_entry& entry, monotonic_time now)
{
    auto [position, added] = m_records.try_emplace(entry.id);
    auto& record = position->second;
    const bool changed = added || record.removeAt || !(record.entry == entry);
    if (added || record.entry.startTimeMs != entry.startTimeMs)
        record.coldUntil = now + entry.coldTimeLeft;
    else if (record.entry.coldTimeLeft != entry.coldTimeLeft)
        record.coldUntil = updatedColdEnd(record.coldUntil, now + entry.coldTimeLeft);
    record.entry = entry;
    record.removeAt.reset();
    return changed;
}

bool searcher_directory::remove(const searcher_id& searcher, monotonic_time now, monotonic_time keepUntil)
{
    const auto found = m_records.find(searcher);
    if (found == m_records.end())
        return false;
    auto& removeAt = found->second.removeAt;
    removeAt = std::min(removeAt.value_or(keepUntil), keepUntil);
    if (*removeAt <= now) {
        m_records.erase(found);
        return false;
    }
    m_nextRemoval = std::min(m_nextRemoval, *removeAt);
    return true;
}

std::set<searcher_id> searcher_directory::replaceAll(const std::vector<searcher_entry>& entries, monotonic_time now, monotonic_time keepUntil)
{
    std::set<searcher_id> present;
    std::set<searcher_id> changed;
    for (const auto& entry : entries) {
        present.insert(entry.id);
        if (put(entry, now))
            changed.insert(entry.id);
    }
    std::vector<searcher_id> absent;
    for (const auto& [id, record] : m_records) {
        if (!present.contains(id))
            absent.push_back(id);
    }
    for (const auto& id : absent) {
        remove(id, now, keepUntil);
        changed.insert(id);
    }
    return changed;
}

std::set<searcher_id> searcher_directory::expire(monotonic_time now)
{
    std::set<searcher_id> expired;
    if (now < m_nextRemoval)
        return expired;
    m_nextRemoval = monotonic_time::max();
    for (const auto& [id, record] : m_records) {
        if (!record.removeAt)
            continue;
        if (*record.removeAt <= now)
            expired.insert(id);
        else
            m_nextRemoval = std::min(m_nextRemoval, *record.removeAt);
    }
    for (const auto& id : expired)
        m_records.erase(id);
    return expired;
}

} // namespace limpetpier
