#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "limpetpier/protocol/http_message.h"

namespace limpetpier::standins {

// One request to a stand-in, answered with raw bytes, so that a test can also send what is no answer.
class raw_exchange {
public:
    virtual ~raw_exchange() = default;

    // Sends bytes as they are; close ends the connection in order afterwards.
    virtual void send(std::string bytes, bool close) = 0;

    // Ends the connection with a reset.
    virtual void reset() = 0;

    // False once the client has closed.
    [[nodiscard]] virtual bool isOpen() const = 0;
};

using raw_exchange_handle = std::shared_ptr<raw_exchange>;

// Serves HTTP/1.1 requests on a loopback port; the answers are the handler's own bytes.
class raw_server {
public:
    using handler = std::function<void(const http_request&, raw_exchange_handle)>;

    // Port 0 takes a free one.
    raw_server(boost::asio::io_context& io, unsigned short port, handler handle);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::size_t accepted() const;

    // Connections beyond this many are reset.
    void limitConnections(std::size_t most);

    // Stops listening and resets all connections, as the end of a process does.
    void crash();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace limpetpier::standins
