#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/transport/endpoints.h"

namespace limpetpier {

// Limits on the memory and connections that clients can occupy in an http_server.
struct http_limits {
    std::size_t headerBytes = 8U << 10; // of one request, larger headers are answered with 431
    std::size_t bodyBytes = 64U << 10; // of one request, larger bodies are answered with 413
    milliseconds requestTimeout { 5000 }; // from the first byte of a request to its last
    milliseconds idleTimeout { 120'000 }; // between requests
    std::size_t connections = 4096; // open at once, further connections are closed on accept
    std::size_t maxOpen = std::numeric_limits<std::size_t>::max(); // open at once, another connection is closed in favour of a new one
    std::size_t totalBytes = 64U << 20; // of all incomplete requests and unsent replies, beyond it one is given up
};

// An HTTP/1.1 server on one port. Each connection runs on its own strand.
//
// Requests that exceed the limits are answered with a 4xx status without calling the handler. A request that is still
// incomplete at the request timeout is answered with 408.
//
//     http_server server(io.get_executor(), endpoint, {}, handle);
class http_server {
public:
    // Produces the reply to one request. Runs on the strand of the connection. If it throws, the connection is closed
    // without a reply.
    using handler = std::function<awaitable<http_reply>(http_request)>;

    // Listens on the endpoint and starts accepting. Throws boost::system::system_error if the endpoint can't be bound.
    http_server(asio::any_io_executor executor, const asio::ip::tcp::endpoint& endpoint, http_limits limits, handler handle);

    // Drains the server: open connections end after their next reply or at the idle timeout.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Sets the delay between accepting a connection and reading its first byte.
    void setAcceptDelay(milliseconds delay);

    // Stops accepting connections and closes each open connection after its next reply.
    void drain();

    // Aborts every connection with a TCP reset.
    void resetConnections();

    // Number of open connections.
    [[nodiscard]] std::size_t connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

// Progress of an exchange. Only not_written proves that the server did not receive the request.
enum class exchange_stage : std::uint8_t {
    not_written, // no byte of the request was written
    no_reply, // at least part of the request was written
    replied, // a complete reply was received
};

// Result of one exchange. The reply is set only if the stage is replied.
struct exchange_result {
    exchange_stage stage = exchange_stage::not_written;
    http_reply reply;
};

// A client connection over HTTP/1.1 that performs one exchange at a time. Not thread-safe.
class http_connection {
public:
    // Creates an unconnected client whose operations run on the executor.
    explicit http_connection(asio::any_io_executor executor);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    // Connects to a server. False if the connection fails or isn't established within the timeout.
    awaitable<bool> connect(asio::ip::tcp::endpoint endpoint, milliseconds timeout);

    // Sends a request once, without retries, and reads the reply. The timeout covers both. The connection is closed
    // unless a complete reply was received that allows keep-alive.
    awaitable<exchange_result> exchange(http_request request, microseconds timeout);

    // Closes the connection, which aborts a pending exchange. Must be called on the connection's executor.
    void close();

    // True if the connection can be used for another exchange.
    [[nodiscard]] bool isOpen() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace limpetpier
