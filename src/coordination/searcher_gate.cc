#include "limpetpier/coordination/searcher_gate.h"

#include <algorithm>

namespace limpetpier {

namespace {

// Service time assumed before the first reply.
constexpr double initialServiceUs = 4000;

// Weight of one reply in the mean service time.
constexpr double meanWeight = 0.05;

// A reply this many times slower than usual is how a cold searcher answers.
constexpr int slowFactor = 4;

// Items that may queue at one searcher, whatever their deadlines.
constexpr std::size_t maxQueued = 1000;

} // namespace

searcher_gate::searcher_gate(std::uint32_t slots, std::uint32_t coldAllowance)
    : m_ramp(slots, coldAllowance)
    , m_meanServiceUs(initialServiceUs)
{
}

std::optional<reason> searcher_gate::enqueue(const gated_request& item, monotonic_time now)
{
    if (item.deadline <= now)
        return reason::deadline_passed;
    if (m_queue.size() >= maxQueued || now + expectedWait(item) > item.deadline)
        return m_ramp.state() == ramp_state::warm ? reason::queue_full : reason::target_cold;
    const auto place = std::find_if(m_queue.begin(), m_queue.end(), [&](const gated_request& other) { return goesBefore(item, other); });
    m_queue.insert(place, item);
    return std::nullopt;
}

std::optional<gated_request> searcher_gate::startNext(monotonic_time now)
{
    if (m_queue.empty() || running(now) >= m_ramp.concurrencyLimit())
        return std::nullopt;
    auto item = m_queue.front();
    m_queue.pop_front();
    m_running.emplace(item.token, item.deadline);
    return item;
}

bool searcher_gate::removeQueued(gate_token token)
{
    return std::erase_if(m_queue, [&](const gated_request& item) { return item.token == token; }) > 0;
}

std::vector<gate_token> searcher_gate::takeExpired(monotonic_time now)
{
    std::vector<gate_token> expired;
    std::erase_if(m_queue, [&](const gated_request& item) {
        if (item.deadline > now)
            return false;
        expired.push_back(item.token);
        return true;
    });
    return expired;
}

std::vector<gate_token> searcher_gate::takeQueued()
{
    std::vector<gate_token> all;
    for (const auto& item : m_queue)
        all.push_back(item.token);
    m_queue.clear();
    return all;
}

void searcher_gate::finish(gate_token token, slot_outcome end, microseconds serviceTime, std::optional<microseconds> typical, monotonic_time now)
{
    const auto started = m_running.find(token);
    if (started == m_running.end())
        return;
    const auto deadline = started->second;
    m_running.erase(started);
    switch (end) {
    case slot_outcome::served: {
        m_meanServiceUs += meanWeight * (static_cast<double>(serviceTime.count()) - m_meanServiceUs);
        const bool slow = typical && serviceTime > slowFactor * *typical;
        m_ramp.observe(slow ? searcher_event::slow_reply : searcher_event::good_reply);
        return;
    }
    case slot_outcome::refused:
        m_ramp.observe(searcher_event::refused);
        return;
    case slot_outcome::disconnected:
        m_ramp.observe(searcher_event::refused);
        if (deadline > now)
            m_lingering.push_back(deadline);
        return;
    case slot_outcome::cancelled:
        return;
    }
}

void searcher_gate::observe(searcher_event evidence)
{
    m_ramp.observe(evidence);
}

std::uint32_t searcher_gate::running(monotonic_time now)
{
    std::erase_if(m_lingering, [&](monotonic_time until) { return until <= now; });
    return static_cast<std::uint32_t>(m_running.size() + m_lingering.size());
}

microseconds searcher_gate::expectedWait(const gated_request& item) const
{
    const auto ahead = std::count_if(m_queue.begin(), m_queue.end(), [&](const gated_request& other) { return !goesBefore(item, other); });
    const auto busy = m_running.size() + m_lingering.size();
    const auto allowance = m_ramp.concurrencyLimit();
    const auto before = static_cast<double>(ahead) + (busy >= allowance ? static_cast<double>(busy - allowance) + 0.5 : 0.0);
    return microseconds { static_cast<std::int64_t>(before * m_meanServiceUs / allowance) };
}

bool searcher_gate::goesBefore(const gated_request& left, const gated_request& right)
{
    if (left.hedge != right.hedge)
        return left.hedge;
    return left.priority < right.priority;
}

} // namespace limpetpier
