#include "limpetpier/transport/bounded_writer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace limpetpier {

namespace {

// A descriptor that is ready for writing takes at least this much without waiting.
constexpr std::size_t chunkBytes = PIPE_BUF;

// Lines are gathered up to this size before they are written.
constexpr std::size_t gatherBytes = 3500;

} // namespace

bool bounded_writer::append(const std::string& line)
{
    if (m_buffer.size() + line.size() > m_maxBytes) {
        ++m_droppedLines;
        return false;
    }
    m_buffer += line;
    if (m_buffer.size() >= gatherBytes)
        flush();
    return true;
}

void bounded_writer::flush()
{
    while (!m_buffer.empty()) {
        pollfd ready { m_descriptor, POLLOUT, 0 };
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            return;
        const auto written = write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), chunkBytes));
        if (written <= 0)
            return;
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace limpetpier
