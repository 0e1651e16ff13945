#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "limpetpier/protocol/http_message.h"

namespace limpetpier::standins {

// A request to a fake server, answered with raw bytes, so that a test can also send an invalid response.
class raw_exchange {
public:
    virtual ~raw_exchange() = default;

    // Sends bytes unchanged; close: closes the connection normally afterwards. Does nothing if it is closed.
    virtual void send(std::string bytes, bool close) = 0;

    // Sends the beginning and then the other bytes again and again until the client closes the connection.
    virtual void sendWithoutEnd(std::string beginning, std::string repeated) = 0;

    // Closes the connection with a TCP reset.
    virtual void reset() = 0;

    // Returns false once either side has closed the connection.
    [[nodiscard]] virtual bool isOpen() const = 0;
};

using raw_exchange_handle = std::shared_ptr<raw_exchange>;

// Serves HTTP/1.1 requests on a loopback port; the handler sends the response bytes itself.
class raw_server {
public:
    using handler = std::function<void(const http_request&, raw_exchange_handle)>;

    // Port 0 selects a free port.
    raw_server(boost::asio::io_context& io, unsigned short port, handler handle);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    // Returns IP:port.
    [[nodiscard]] std::string address() const;
    // Number of accepted connections, including those beyond the limit.
    [[nodiscard]] std::size_t accepted() const;

    // Number of bytes that the connections took of replies without end.
    [[nodiscard]] std::size_t endlessBytesSent() const;

    // Resets new connections while this many are open.
    void limitConnections(std::size_t maxConnections);

    // Stops listening and resets all connections, as a crash of the process does.
    void crash();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace limpetpier::standins
