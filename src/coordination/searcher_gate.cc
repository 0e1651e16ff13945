#include "limpetpier/coordination/searcher_gate.h"

#include <algorithm>

namespace limpetpier {

namespace {

// Assumed mean service time before the first reply.
constexpr double initialServiceTimeUs = 4000;

// Weight of one reply in the moving average of the service time.
constexpr double meanWeight = 0.05;

// A reply that takes this many times the usual service time indicates a cold searcher.
constexpr int slowFactor = 4;

// Maximum queue length of one searcher, regardless of deadlines.
constexpr std::size_t maxQueueLength = 1000;

} // namespace

searcher_gate::searcher_gate(std::uint32_t slots, std::uint32_t coldAllowance)
    : m_ramp(slots, coldAllowance)
    , m_meanServiceTimeUs(initialServiceTimeUs)
{
}

std::optional<reason> searcher_gate::enqueue(const gated_request& request, monotonic_time now)
{
    if (request.deadline <= now)
        return reason::deadline_passed;
    if (m_queue.size() >= maxQueueLength || now + expectedWait(request) > request.deadline)
        return m_ramp.state() == ramp_state::warm ? reason::queue_full : reason::target_cold;
    const auto position = std::find_if(m_queue.begin(), m_queue.end(), [&](const gated_request& other) { return precedes(request, other); });
    m_queue.insert(position, request);
    return std::nullopt;
}

std::optional<gated_request> searcher_gate::startNext(monotonic_time now)
{
    if (m_queue.empty() || running(now) >= m_ramp.concurrencyLimit())
        return std::nullopt;
    auto request = m_queue.front();
    m_queue.pop_front();
    m_running.emplace(request.token, request.deadline);
    return request;
}

bool searcher_gate::removeQueued(gate_token token)
{
    return std::erase_if(m_queue, [&](const gated_request& request) { return request.token == token; }) > 0;
}

std::vector<gate_token> searcher_gate::takeExpired(monotonic_time now)
{
    std::vector<gate_token> expired;
    std::erase_if(m_queue, [&](const gated_request& request) {
        if (request.deadline > now)
            return false;
        expired.push_back(request.token);
        return true;
    });
    return expired;
}

std::vector<gate_token> searcher_gate::takeQueued()
{
    std::vector<gate_token> all;
    for (const auto& request : m_queue)
        all.push_back(request.token);
    m_queue.clear();
    return all;
}

void searcher_gate::finish(gate_token token, slot_outcome outcome, microseconds serviceTime, std::optional<microseconds> usualServiceTime, monotonic_time now)
{
    const auto started = m_running.find(token);
    if (started == m_running.end())
        return;
    const auto deadline = started->second;
    m_running.erase(started);
    switch (outcome) {
    case slot_outcome::served: {
        m_meanServiceTimeUs += meanWeight * (static_cast<double>(serviceTime.count()) - m_meanServiceTimeUs);
        const bool slow = usualServiceTime && serviceTime > slowFactor * *usualServiceTime;
        m_ramp.observe(slow ? searcher_event::slow_reply : searcher_event::good_reply);
        return;
    }
    case slot_outcome::refused:
        m_ramp.observe(searcher_event::refused);
        return;
    case slot_outcome::disconnected:
        m_ramp.observe(searcher_event::refused);
        if (deadline > now)
            m_disconnected.push_back(deadline);
        return;
    case slot_outcome::cancelled:
        return;
    }
}

void searcher_gate::observe(searcher_event event)
{
    m_ramp.observe(event);
}

std::uint32_t searcher_gate::running(monotonic_time now)
{
    std::erase_if(m_disconnected, [&](monotonic_time deadline) { return deadline <= now; });
    return static_cast<std::uint32_t>(m_running.size() + m_disconnected.size());
}

microseconds searcher_gate::expectedWait(const gated_request& request) const
{
    const auto ahead = std::count_if(m_queue.begin(), m_queue.end(), [&](const gated_request& other) { return !precedes(request, other); });
    const auto busy = m_running.size() + m_disconnected.size();
    const auto concurrencyLimit = m_ramp.concurrencyLimit();
    const auto waitedFor = static_cast<double>(ahead) + (busy >= concurrencyLimit ? static_cast<double>(busy - concurrencyLimit) + 0.5 : 0.0);
    return microseconds { static_cast<std::int64_t>(waitedFor * m_meanServiceTimeUs / concurrencyLimit) };
}

bool searcher_gate::precedes(const gated_request& left, const gated_request& right)
{
    if (left.hedge != right.hedge)
        return left.hedge;
    return left.priority < right.priority;
}

} // namespace limpetpier
