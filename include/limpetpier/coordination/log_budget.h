#pragma once

#include <cstdint>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// What a log line is worth when there is no room for all.
enum class log_importance : std::uint8_t {
    routine, // steps of requests that go well
    important, // failures, and changes of what the process believes
};

// Bounds the log of one process in lines and bytes a second. Routine lines may use half of it, so that the others find
// room under load.
class log_budget {
public:
    log_budget(std::uint32_t linesPerSecond, std::uint32_t bytesPerSecond)
        : m_lineLimit(linesPerSecond)
        , m_byteLimit(bytesPerSecond)
    {
    }

    // True if a line may be written now; otherwise it is counted as left out.
    [[nodiscard]] bool allows(log_importance importance, monotonic_time now);

    // Records a line that was written.
    void record(std::size_t bytes);

    // Lines left out since the last call.
    std::uint64_t takeSuppressedCount();

private:
    std::uint32_t m_lineLimit;
    std::uint32_t m_byteLimit;
    monotonic_time m_second {};
    std::uint32_t m_lines = 0;
    std::size_t m_bytes = 0;
    std::uint64_t m_leftOut = 0;
};

} // namespace limpetpier
