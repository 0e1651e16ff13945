#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/routing_table.h"
#include "limpetpier/transport/http.h"

namespace limpetpier {

class client_connection;

// One request of a client, open until it is answered.
class client_call {
public:
    explicit client_call(std::shared_ptr<client_connection> connection)
        : m_connection(std::move(connection))
    {
    }

    // Answers the request; close ends the connection after the answer.
    void answer(http_reply reply);

    // Called once if the client goes away before the answer.
    void onDisconnect(std::function<void()> handler);

private:
    std::shared_ptr<client_connection> m_connection;
};

// Accepts clients of a single-threaded process and hands over their requests one at a time a connection.
//
// The connection is read while a request is open, so a client that leaves is noticed at once. Requests beyond the limits
// are answered here.
class client_listener {
public:
    using handler = std::function<void(http_request, client_call)>;

    client_listener(asio::any_io_executor executor, const asio::ip::tcp::endpoint& endpoint, handler handle);
    ~client_listener();
    client_listener(const client_listener&) = delete;
    client_listener& operator=(const client_listener&) = delete;

    // Limits for connections from now on. An open connection keeps the longest idle time it was promised.
    void changeLimits(const client_limits& limits);

    // Every answer from now on ends its connection.
    void disableKeepAlive();

    // Closes the listening socket and the connections that are idle.
    void drain();

    [[nodiscard]] std::size_t connections() const;

private:
    class implementation;
    friend class client_connection;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace limpetpier
