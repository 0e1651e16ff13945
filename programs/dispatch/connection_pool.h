#pragma once

#include <deque>
#include <memory>

#include "limpetpier/transport/http.h"

namespace limpetpier {

using connection_handle = std::shared_ptr<http_connection>; // shared by the pool and a running exchange

// The connections to one searcher, never more than it accepts. Used on one strand.
class connection_pool {
public:
    connection_pool(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, std::size_t limit);

    // The idle connection that was used last, or a new one; null if none can be had.
    awaitable<connection_handle> acquire();

    // The same, but the idle connection that was used longest ago.
    awaitable<connection_handle> acquireOldest();

    // A new connection; null at the limit or if the searcher does not accept it.
    awaitable<connection_handle> open();

    // Returns a taken connection; a closed one is only counted out.
    void release(connection_handle connection);

    // Takes a particular connection out of the idle ones.
    void removeIdle(const connection_handle& connection);

    // A connection that is not open but counts as taken, for release() after a failure.
    connection_handle makeClosedConnection();

    // Takes effect on connections opened from now on.
    void setLimit(std::size_t limit) { m_limit = limit; }

    // Closes the idle connections.
    void closeIdle();

    // Closes the idle connections and every one that is given back from now on.
    void retire();

    [[nodiscard]] std::size_t idleCount() const { return m_idle.size(); }

private:
    asio::any_io_executor m_executor;
    asio::ip::tcp::endpoint m_endpoint;
    std::size_t m_limit;
    std::deque<connection_handle> m_idle; // front: used longest ago
    std::size_t m_openCount = 0;
    bool m_retired = false;
};

} // namespace limpetpier
