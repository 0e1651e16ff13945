#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/transport/endpoints.h"

namespace limpetpier {

// Bounds of what a client can make a server hold.
struct http_limits {
    std::size_t headerBytes = 8U << 10;
    std::size_t bodyBytes = 64U << 10;
    milliseconds requestTimeout { 5000 }; // from the first byte of a request to its last
    milliseconds idleTimeout { 120'000 }; // between requests
    std::size_t connections = 4096;
};

// Serves HTTP/1.1 on one port; each connection runs on a strand of its own.
//
// Requests beyond the limits are answered with 4xx before any handler sees them; a request that stays incomplete is
// answered with 408.
//
//     http_server server(io.get_executor(), endpoint, {}, handle);
class http_server {
public:
    using handler = std::function<awaitable<http_reply>(http_request)>;

    http_server(asio::any_io_executor executor, const asio::ip::tcp::endpoint& endpoint, http_limits limits, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Delay before the first byte of a new connection is read.
    void setAcceptDelay(milliseconds delay);

    // Stops accepting and asks clients to close after their current request.
    void drain();

    // Cuts every connection.
    void resetConnections();

    [[nodiscard]] std::size_t connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

// How far an exchange got. Only not_written proves that the server did not see the request.
enum class exchange_stage : std::uint8_t {
    not_written,
    no_reply,
    replied,
};

struct exchange_result {
    exchange_stage stage = exchange_stage::not_written;
    http_reply reply;
};

// One client connection, for one exchange at a time.
class http_connection {
public:
    explicit http_connection(asio::any_io_executor executor);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    awaitable<bool> connect(asio::ip::tcp::endpoint endpoint, milliseconds timeout);

    // Sends a request once and reads its reply. After anything but a whole reply the connection is closed.
    awaitable<exchange_result> exchange(http_request request, microseconds timeout);

    // Ends a running exchange early. Must be called on the connection's executor.
    void close();

    [[nodiscard]] bool isOpen() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace limpetpier
