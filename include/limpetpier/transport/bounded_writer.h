#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace limpetpier {

// Writes lines to a file descriptor without blocking on a slow reader. Unwritten text is buffered up to a size limit.
// When the buffer is full, whole lines are dropped and counted.
class bounded_writer {
public:
    // Writes to a descriptor that stays owned by the caller and buffers at most maxBytes.
    explicit bounded_writer(int descriptor, std::size_t maxBytes = defaultMaxBytes)
        : m_descriptor(descriptor)
        , m_maxBytes(maxBytes)
    {
    }

    // Buffers one line, which includes its line break, and flushes the buffer once enough text is buffered. False if
    // the line was dropped because the buffer is full.
    bool append(const std::string& line);

    // Writes buffered text until the descriptor would block.
    void flush();

    // Number of lines dropped so far.
    [[nodiscard]] std::uint64_t droppedLines() const { return m_droppedLines; }

    // Size of the text that is not yet written.
    [[nodiscard]] std::size_t bufferedBytes() const { return m_buffer.size(); }

    // Default buffer size.
    static constexpr std::size_t defaultMaxBytes = 128U << 10;

private:
    int m_descriptor;
    std::size_t m_maxBytes;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
};

} // namespace limpetpier
