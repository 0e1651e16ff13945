#pragma once

#include <cstdint>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Importance of a log line when not all lines can be written.
enum class log_importance : std::uint8_t {
    routine, // steps of successful requests
    important, // failures, and changes in the state that the process assumes
};

// Limits the log of one process in lines and bytes per second. Routine lines may use half of each limit, which reserves
// the rest for important lines under load.
class log_budget {
public:
    // Both limits apply to each second.
    log_budget(std::uint32_t linesPerSecond, std::uint32_t bytesPerSecond)
        : m_lineLimit(linesPerSecond)
        , m_byteLimit(bytesPerSecond)
    {
    }

    // True if a line may be written now; otherwise the line is counted as suppressed.
    [[nodiscard]] bool allows(log_importance importance, monotonic_time now);

    // Records a line that was written, with its length in bytes.
    void record(std::size_t bytes);

    // Returns the number of lines suppressed since the last call.
    std::uint64_t takeSuppressedCount();

private:
    std::uint32_t m_lineLimit;
    std::uint32_t m_byteLimit;
    monotonic_time m_secondStart {};
    std::uint32_t m_lines = 0;
    std::size_t m_bytes = 0;
    std::uint64_t m_suppressed = 0;
};

} // namespace limpetpier
