#include "limpetpier/coordination/rate_keeper.h"

#include <algorithm>
#include <cmath>

namespace limpetpier {

void permit_bucket::fill(monotonic_time now)
{
    now = std::max(now, m_filledAt);
    m_tokens = std::min(m_tokens + m_limit.perSecond * std::chrono::duration<double>(now - m_filledAt).count(), capacity());
    m_filledAt = now;
}

void permit_bucket::changeLimit(const rate_limit& limit, monotonic_time now)
{
    fill(now);
    m_limit = limit;
    fill(now);
}

std::uint32_t permit_bucket::withdraw(std::uint32_t wanted, monotonic_time now)
{
    fill(now);
    const auto granted = std::min(wanted, static_cast<std::uint32_t>(m_tokens));
    m_tokens -= granted;
    return granted;
}

double permit_bucket::level(monotonic_time now)
{
    fill(now);
    return m_tokens;
}

milliseconds permit_bucket::timeToToken(monotonic_time now)
{
    constexpr double millisecondsPerSecond = 1000;
    fill(now);
    if (m_tokens >= 1)
        return milliseconds(0);
    if (m_limit.perSecond <= 0)
        return milliseconds::max();
    return milliseconds(static_cast<std::int64_t>(std::ceil((1 - m_tokens) / m_limit.perSecond * millisecondsPerSecond)));
}

rate_limit rate_keeper::partOf(const limited_workspace& entry)
{
    const auto keepers = static_cast<double>(std::max<std::size_t>(entry.keepers.size(), 1));
    return { entry.limit.perSecond / keepers, entry.limit.burst / keepers };
}

void rate_keeper::start(limited_workspace& entry, monotonic_time at) const
{
    entry.bucket.emplace(partOf(entry), m_startLevel, at);
    entry.startsAt = at;
}

void rate_keeper::update(const std::map<workspace_id, rate_limit>& limits, const std::vector<listed_member>& members, bool isRestart, monotonic_time now)
{
    std::erase_if(m_workspaces, [&](const auto& known) { return !limits.contains(known.first); });
    if (members.empty())
        return;
    const member_share ranking(members.front(), members);
    const auto contains = [](const std::vector<node_id>& nodes, const node_id& node) { return std::find(nodes.begin(), nodes.end(), node) != nodes.end(); };
    const auto isListed = [&](const node_id& node) { return std::any_of(members.begin(), members.end(), [&](const listed_member& member) { return member.name == node; }); };
    for (const auto& [workspace, limit] : limits) {
        std::vector<node_id> keepers;
        for (const auto index : ranking.firstRanked(workspace.value(), keepersPerWorkspace))
            keepers.push_back(members[index].name);
        const bool isNew = !m_workspaces.contains(workspace);
        auto& entry = m_workspaces[workspace];
        entry.limit = limit;
        const auto previous = std::exchange(entry.keepers, keepers);
        if (m_isLeaving || !contains(keepers, m_self)) {
            entry.bucket.reset();
            continue;
        }
        if (entry.bucket) {
            entry.bucket->changeLimit(partOf(entry), now);
            continue;
        }
        // The first list of a new process does not tell who kept the workspace before it joined.
        const bool isFirstList = isNew && !m_hasList;
        const bool othersKeepLess = !isNew && (previous.size() < keepers.size() || std::any_of(previous.begin(), previous.end(), [&](const node_id& node) { return !contains(keepers, node) && isListed(node); }));
        const bool displaces = isFirstList ? !isRestart && members.size() > 1 : othersKeepLess;
        start(entry, displaces ? now + m_confirmationPeriod : now);
    }
    m_hasList = true;
}

void rate_keeper::confirm(monotonic_time confirmedAt, monotonic_time now)
{
    const bool wasPaused = now - m_checkedAt > m_confirmationPeriod / 2;
    const bool hadLapsed = confirmedAt > m_confirmedAt && now - m_confirmedAt > m_confirmationPeriod;
    if (m_checkedAt != monotonic_time {} && (wasPaused || hadLapsed)) {
        for (auto& [workspace, entry] : m_workspaces) {
            if (entry.bucket)
                start(entry, now + m_confirmationPeriod);
        }
    }
    m_checkedAt = now;
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
}

void rate_keeper::leave()
{
    m_isLeaving = true;
    for (auto& [workspace, entry] : m_workspaces)
        entry.bucket.reset();
}

std::vector<node_id> rate_keeper::keepersOf(const workspace_id& workspace) const
{
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end())
        return {};
    auto result = found->second.keepers;
    // Half of the processes prefer each keeper, so that the parts are used evenly; a keeper prefers itself.
    const auto own = std::find(result.begin(), result.end(), m_self);
    const auto first = own != result.end() ? own : result.begin() + static_cast<std::ptrdiff_t>(std::hash<std::string> {}(m_self.value()) % std::max<std::size_t>(result.size(), 1));
    std::rotate(result.begin(), first, result.end());
    return result;
}

rate_keeper::answer rate_keeper::grant(const workspace_id& workspace, std::uint32_t wanted, monotonic_time now)
{
    const auto found = m_workspaces.find(workspace);
    const bool isConfirmed = now - m_confirmedAt <= m_confirmationPeriod && now - m_checkedAt <= m_confirmationPeriod / 2;
    if (found == m_workspaces.end() || !found->second.bucket || !isConfirmed)
        return {};
    auto& entry = found->second;
    if (now < entry.startsAt)
        return { 0, std::chrono::ceil<milliseconds>(entry.startsAt - now), false, 0 };
    const auto granted = entry.bucket->withdraw(wanted, now);
    const auto level = entry.bucket->level(now);
    return { granted, granted > 0 ? milliseconds(0) : entry.bucket->timeToToken(now), granted == 0, level };
}

std::size_t rate_keeper::keptCount() const
{
    return static_cast<std::size_t>(std::count_if(m_workspaces.begin(), m_workspaces.end(), [](const auto& known) { return known.second.bucket.has_value(); }));
}

} // namespace limpetpier
