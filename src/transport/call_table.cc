#include "limpetpier/transport/call_table.h"

namespace limpetpier {

call_number call_table::open(const std::string& address, handler onReply)
{
    const call_number call { ++m_lastNumber };
    const std::lock_guard lock(m_mutex);
    m_calls[call] = { address, std::move(onReply) };
    return call;
}

void call_table::handleReply(const call_reply& reply)
{
    handler onReply;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_calls.find(reply.call);
        if (found == m_calls.end())
            return;
        onReply = std::move(found->second.onReply);
        m_calls.erase(found);
    }
    onReply(reply);
}

void call_table::handleClosed(const std::string& address, bool wasOpen)
{
    std::vector<call_reply> replies;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [call, pending] : m_calls) {
            if (pending.address == address)
                replies.push_back({ call, wasOpen ? outcome::outcome_unknown : outcome::not_run, reason::link_lost, {} });
        }
    }
    for (const auto& reply : replies)
        handleReply(reply);
}

void call_table::remove(call_number call)
{
    const std::lock_guard lock(m_mutex);
    m_calls.erase(call);
}

std::size_t call_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls.size();
}

} // namespace limpetpier
