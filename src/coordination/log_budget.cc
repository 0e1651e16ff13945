#include "limpetpier/coordination/log_budget.h"

#include <utility>

namespace limpetpier {

namespace {

constexpr std::uint32_t routinePart = 2; // one in so many of the budget

} // namespace

bool log_budget::allows(log_importance importance, monotonic_time now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_lines = 0;
        m_bytes = 0;
    }
    const auto part = importance == log_importance::routine ? routinePart : 1;
    if (m_lines < m_lineLimit / part && m_bytes < m_byteLimit / part)
        return true;
    ++m_leftOut;
    return false;
}

void log_budget::record(std::size_t bytes)
{
    ++m_lines;
    m_bytes += bytes;
}

std::uint64_t log_budget::takeSuppressedCount() { return std::exchange(m_leftOut, 0); }

} // namespace limpetpier
