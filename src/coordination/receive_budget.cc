#include "limpetpier/coordination/receive_budget.h"

#include <algorithm>

namespace limpetpier {

receive_budget::account::account(std::shared_ptr<receive_budget> budget, std::function<void()> onRevoked)
    : m_budget(std::move(budget))
    , m_onRevoked(std::move(onRevoked))
{
    m_budget->m_accounts.push_back(this);
}

receive_budget::account::~account()
{
    clear();
    std::erase(m_budget->m_accounts, this);
}

void receive_budget::account::add(std::size_t bytes)
{
    if (m_revoked)
        return;
    m_bytes += bytes;
    m_budget->m_used += bytes;
    while (m_budget->m_used > m_budget->m_limit)
        m_budget->revokeLargest();
}

void receive_budget::account::clear()
{
    if (!m_revoked)
        m_budget->m_used -= m_bytes;
    m_bytes = 0;
    m_revoked = false;
}

void receive_budget::revokeLargest()
{
    const auto heldBytes = [](const account* candidate) { return candidate->m_revoked ? 0 : candidate->m_bytes; };
    auto* largest = *std::max_element(m_accounts.begin(), m_accounts.end(), [&](const account* left, const account* right) { return heldBytes(left) < heldBytes(right); });
    m_used -= heldBytes(largest);
    largest->m_revoked = true;
    largest->m_onRevoked();
}

} // namespace limpetpier
