#include "limpetpier/coordination/log_budget.h"

#include <utility>

namespace limpetpier {

namespace {

constexpr std::uint32_t routineDivisor = 2; // routine lines may use 1/2 of each limit

} // namespace

bool log_budget::allows(log_importance importance, monotonic_time now)
{
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_lines = 0;
        m_bytes = 0;
    }
    const auto divisor = importance == log_importance::routine ? routineDivisor : 1;
    if (m_lines < m_lineLimit / divisor && m_bytes < m_byteLimit / divisor)
        return true;
    ++m_suppressed;
    return false;
}

void log_budget::record(std::size_t bytes)
{
    ++m_lines;
    m_bytes += bytes;
}

std::uint64_t log_budget::takeSuppressedCount() { return std::exchange(m_suppressed, 0); }

} // namespace limpetpier
