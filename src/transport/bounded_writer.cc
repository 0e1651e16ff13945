#include "limpetpier/transport/bounded_writer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace limpetpier {

namespace {

// A pipe that poll() reports as writable accepts at least this size without blocking.
constexpr std::size_t maxWriteBytes = PIPE_BUF;

// Buffered size from which append() writes, so that several lines share one system call.
constexpr std::size_t flushThresholdBytes = 3500;

} // namespace

bool bounded_writer::append(const std::string& line)
{
    if (m_buffer.size() + line.size() > m_maxBytes) {
        ++m_droppedLines;
        return false;
    }
    m_buffer += line;
    if (m_buffer.size() >= flushThresholdBytes)
        flush();
    return true;
}

void bounded_writer::flush()
{
    while (!m_buffer.empty()) {
        pollfd pollRequest { m_descriptor, POLLOUT, 0 };
        if (poll(&pollRequest, 1, 0) != 1 || (pollRequest.revents & POLLOUT) == 0)
            return;
        const auto written = write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), maxWriteBytes));
        if (written <= 0)
            return;
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace limpetpier
