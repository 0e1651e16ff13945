#pragma once

#include <deque>
#include <memory>

#include "limpetpier/transport/http.h"

namespace limpetpier {

// Connection that the pool shares with a running exchange.
using connection_handle = std::shared_ptr<http_connection>;

// Pool of HTTP connections to one searcher, with a limit on their number. Not thread-safe; use it on one strand.
//
//     auto connection = co_await pool.acquire();
//     if (connection) {
//         co_await connection->exchange(request, timeout);
//         pool.release(std::move(connection));
//     }
class connection_pool {
public:
    // limit is the largest number of open connections, acquired and idle.
    connection_pool(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, std::size_t limit);

    // Returns the most recently used idle connection, or opens one. Returns null at the limit or if connecting fails.
    awaitable<connection_handle> acquire();

    // Like acquire(), but returns the least recently used idle connection.
    awaitable<connection_handle> acquireOldest();

    // Opens a connection. Returns null at the limit or if connecting fails or times out.
    awaitable<connection_handle> open();

    // Returns an acquired connection to the pool. A closed connection no longer counts towards the limit.
    void release(connection_handle connection);

    // Removes a connection from the idle ones, so that it counts as acquired. No effect if it is not idle.
    void removeIdle(const connection_handle& connection);

    // Returns a closed connection that counts as acquired. A caller that has no other connection left after a failure
    // can pass it to release().
    connection_handle makeClosedConnection();

    // Sets the limit for connections opened from now on; open ones stay.
    void setLimit(std::size_t limit) { m_limit = limit; }

    // Closes the idle connections.
    void closeIdle();

    // Closes the idle connections, and every acquired one when it is released.
    void retire();

    // Returns the number of idle connections.
    [[nodiscard]] std::size_t idleCount() const { return m_idle.size(); }

private:
    asio::any_io_executor m_executor;
    asio::ip::tcp::endpoint m_endpoint;
    std::size_t m_limit;
    std::deque<connection_handle> m_idle; // least recently used first
    std::size_t m_openCount = 0; // acquired and idle
    bool m_retired = false;
};

} // namespace limpetpier
