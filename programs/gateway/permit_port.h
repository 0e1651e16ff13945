#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>

#include "limpetpier/protocol/codec.h"
#include "limpetpier/transport/endpoints.h"

namespace limpetpier {

// Exchanges sealed messages about permits with other gateways over UDP: a question and its answer are one datagram each,
// and no connections have to be kept.
class permit_port {
public:
    // Receives a message and the address of its sender.
    using handler = std::function<void(const permit_message&, const asio::ip::udp::endpoint&)>;

    // Binds address (IP:port) and starts receiving. Throws boost::system::system_error if it can't be bound.
    permit_port(const asio::any_io_executor& executor, const std::string& address, const std::string& secret, handler onMessage);
    ~permit_port();
    permit_port(const permit_port&) = delete;
    permit_port& operator=(const permit_port&) = delete;

    // Sends a message. Errors are ignored: it may be lost anyway.
    void send(const permit_message& message, const asio::ip::udp::endpoint& peer);

private:
    struct receiver;

    node_codec m_codec;
    std::shared_ptr<receiver> m_receiver; // kept by its pending operation
};

} // namespace limpetpier
