#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace limpetpier {

// Writes text to a descriptor and never waits for its reader. What the reader has not taken is kept up to a bound; then
// whole lines are dropped and counted.
class bounded_writer {
public:
    explicit bounded_writer(int descriptor, std::size_t maxBytes = defaultMaxBytes)
        : m_descriptor(descriptor)
        , m_maxBytes(maxBytes)
    {
    }

    // Takes one line; false if there was no room for it.
    bool append(const std::string& line);

    // Passes on what the reader takes now.
    void flush();

    [[nodiscard]] std::uint64_t droppedLines() const { return m_droppedLines; }
    [[nodiscard]] std::size_t bufferedBytes() const { return m_buffer.size(); }

    static constexpr std::size_t defaultMaxBytes = 128U << 10;

private:
    int m_descriptor;
    std::size_t m_maxBytes;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
};

} // namespace limpetpier
