#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "limpetpier/coordination/connection_budget.h"
#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/routing_table.h"
#include "limpetpier/transport/http.h"

namespace limpetpier {

class client_connection;

// Handle to a request of a client that awaits its reply.
class client_call {
public:
    // For client_listener, which creates one for each request.
    explicit client_call(std::shared_ptr<client_connection> connection)
        : m_connection(std::move(connection))
    {
    }

    // Sends the reply. If its close flag is set, the connection is closed afterwards. Ignored if the request has been
    // answered or the client has disconnected.
    void answer(http_reply reply);

    // Sets a handler that is called once if the client disconnects before the request is answered, or has disconnected.
    void onDisconnect(std::function<void()> handler);

private:
    std::shared_ptr<client_connection> m_connection;
};

// An HTTP/1.1 server for a single-threaded process. Each connection has at most one request in progress.
//
// Connections are read while a request is in progress, so that a disconnect is detected immediately. Requests that
// exceed the limits are answered with a 4xx status without calling the handler. Listeners can share a budget of memory and
// connections; a connection that it chooses to give up is closed, and its incomplete request is answered with 503.
class client_listener {
public:
    // Receives each request. Its call may be answered at once or later.
    using handler = std::function<void(http_request, client_call)>;

    // Listens on the endpoint and starts accepting. Throws boost::system::system_error if the endpoint can't be bound.
    client_listener(asio::any_io_executor executor, const asio::ip::tcp::endpoint& endpoint, handler handle, std::shared_ptr<connection_budget> budget = std::make_shared<connection_budget>(connection_budget::limits {}));

    // Stops accepting and closes idle connections. Requests in progress can still be answered.
    ~client_listener();
    client_listener(const client_listener&) = delete;
    client_listener& operator=(const client_listener&) = delete;

    // Sets new limits for all connections. Until its next reply, an open connection keeps the longest idle timeout that
    // has applied since its previous reply.
    void changeLimits(const client_limits& limits);

    // Closes each connection after its next reply, which announces this with "Connection: close".
    void disableKeepAlive();

    // Stops accepting connections and closes the idle ones.
    void drain();

    // Number of open connections.
    [[nodiscard]] std::size_t connections() const;

    // Number of connections whose latest request awaits its reply or the rest of it.
    [[nodiscard]] std::size_t unfinishedReplies() const;

private:
    class implementation;
    friend class client_connection;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace limpetpier
