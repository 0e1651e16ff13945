#include "limpetpier/coordination/connection_budget.h"

#include <algorithm>
#include <tuple>

namespace limpetpier {

namespace {

// Order in which connections are closed for a new one; a larger rank goes first. 0: never.
int closingRank(connection_activity activity, bool isOverdue)
{
    switch (activity) {
    case connection_activity::receiving:
        return 4;
    case connection_activity::sending:
        return isOverdue ? 3 : 0;
    case connection_activity::unused:
        return 2;
    case connection_activity::idle:
        return 1;
    case connection_activity::running:
        break;
    }
    return 0;
}

// Order in which messages are given up for memory; a larger rank goes first. 0: never.
int releasingRank(connection_activity activity, bool isOverdue)
{
    if (activity == connection_activity::receiving)
        return isOverdue ? 3 : 2;
    if (activity == connection_activity::sending)
        return isOverdue ? 3 : 1;
    return 0;
}

} // namespace

connection_budget::account::account(std::shared_ptr<connection_budget> budget, std::function<void()> onRevoked)
    : m_budget(std::move(budget))
    , m_onRevoked(std::move(onRevoked))
{
    const std::lock_guard lock(m_budget->m_mutex);
    m_budget->m_accounts.push_back(this);
    ++m_budget->m_open;
}

connection_budget::account::~account()
{
    const std::lock_guard lock(m_budget->m_mutex);
    if (!m_revoked) {
        m_budget->release(*this);
        --m_budget->m_open;
    }
    std::erase(m_budget->m_accounts, this);
}

void connection_budget::account::update(std::size_t bytes, connection_activity activity, monotonic_time since, monotonic_time now)
{
    const std::lock_guard lock(m_budget->m_mutex);
    m_budget->set(*this, bytes, activity, since, now);
}

void connection_budget::account::add(std::size_t bytes)
{
    const std::lock_guard lock(m_budget->m_mutex);
    m_budget->set(*this, m_bytes + bytes, connection_activity::receiving, {}, {});
}

void connection_budget::account::clear()
{
    const std::lock_guard lock(m_budget->m_mutex);
    if (!m_revoked)
        m_budget->release(*this);
    else
        ++m_budget->m_open;
    m_bytes = 0;
    m_activity = connection_activity::idle;
    m_revoked = false;
}

bool connection_budget::account::isRevoked() const
{
    const std::lock_guard lock(m_budget->m_mutex);
    return m_revoked;
}

connection_budget::limits connection_budget::limitsForMachine(std::size_t memoryBytes, std::size_t openFiles)
{
    limits result;
    if (memoryBytes > 0)
        result.bytes = memoryBytes / 4;
    if (openFiles > 0)
        result.connections = std::max<std::size_t>(openFiles / 4 * 3, 1);
    return result;
}

void connection_budget::changeLimits(const limits& bounds)
{
    const std::lock_guard lock(m_mutex);
    m_limits = bounds;
}

void connection_budget::set(account& changed, std::size_t bytes, connection_activity activity, monotonic_time since, monotonic_time now)
{
    if (changed.m_revoked)
        return;
    release(changed);
    m_used += bytes;
    m_running += activity == connection_activity::running ? bytes : 0;
    changed.m_bytes = bytes;
    changed.m_activity = activity;
    changed.m_since = since;
    while (m_used > m_limits.bytes) {
        const auto rankOf = [now](const account& candidate) {
            return std::tuple(candidate.m_bytes == 0 ? 0 : releasingRank(candidate.m_activity, now - candidate.m_since > patience), candidate.m_bytes);
        };
        auto* chosen = select(rankOf);
        if (chosen == nullptr)
            return;
        revoke(*chosen);
    }
}

bool connection_budget::makeRoomForConnection(monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    if (m_open < m_limits.connections)
        return true;
    const auto rankOf = [now](const account& candidate) {
        return std::tuple(closingRank(candidate.m_activity, now - candidate.m_since > patience), now - candidate.m_since);
    };
    auto* chosen = select(rankOf);
    if (chosen == nullptr)
        return false;
    revoke(*chosen);
    return true;
}

// Returns the account of the greatest rank, the oldest if there are several; null if no rank is above 0.
template <typename Rank>
connection_budget::account* connection_budget::select(Rank rankOf)
{
    account* best = nullptr;
    for (auto* candidate : m_accounts) {
        if (!candidate->m_revoked && std::get<0>(rankOf(*candidate)) > 0 && (best == nullptr || rankOf(*candidate) > rankOf(*best)))
            best = candidate;
    }
    return best;
}

void connection_budget::revoke(account& chosen)
{
    release(chosen);
    --m_open;
    ++m_revocations;
    chosen.m_revoked = true;
    chosen.m_onRevoked();
}

// Subtracts what the account holds, which is then set anew.
void connection_budget::release(account& released)
{
    m_used -= released.m_bytes;
    m_running -= released.m_activity == connection_activity::running ? released.m_bytes : 0;
}

bool connection_budget::hasRoomToRun(std::size_t bytes) const
{
    const std::lock_guard lock(m_mutex);
    return m_running == 0 || (m_running <= m_limits.bytes / 2 && bytes <= m_limits.bytes / 2 - m_running);
}

std::size_t connection_budget::used() const
{
    const std::lock_guard lock(m_mutex);
    return m_used;
}

std::size_t connection_budget::revocations() const
{
    const std::lock_guard lock(m_mutex);
    return m_revocations;
}

} // namespace limpetpier
