#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace limpetpier {

// Writes text to a descriptor and never waits for its reader. What the reader has not taken is kept up to a bound; then
// whole lines are dropped and counted.
class bounded_writer {
public:
    explicit bounded_writer(int descriptor, std::size_t mostBytes = defaultMostBytes)
        : m_descriptor(descriptor)
        , m_mostBytes(mostBytes)
    {
    }

    // Takes one line; false if there was no room for it.
    bool append(const std::string& line);

    // Passes on what the reader takes now.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }
    [[nodiscard]] std::size_t waiting() const { return m_buffer.size(); }

    static constexpr std::size_t defaultMostBytes = 128U << 10;

private:
    int m_descriptor;
    std::size_t m_mostBytes;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace limpetpier
