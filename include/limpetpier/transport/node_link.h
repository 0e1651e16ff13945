#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "limpetpier/protocol/codec.h"
#include "limpetpier/transport/endpoints.h"

namespace limpetpier {

class node_link;
using node_link_handle = std::shared_ptr<node_link>; // shared by its coroutines and the tables that name it

// What a process does with its links. Handlers run on the link's strand.
struct link_handlers {
    std::function<void(const node_link_handle&, node_message)> onMessage;

    // wasOpen is false when no connection ever came up, so that nothing was sent.
    std::function<void(const node_link_handle&, bool wasOpen)> onClosed;

    // The peer did not answer a ping in time, see link_directory::pingIfIdle(). The link stays open.
    std::function<void(const node_link_handle&)> onPingTimeout;

    // A frame that was not sealed by a node of the deployment; the link is closed afterwards.
    std::function<void(const std::string& what)> onBadFrame;
};

// A TCP connection to another node that carries sealed frames both ways.
//
// Both ends send a ping when they have nothing else to say; a link on which nothing arrives for linkReceiveTimeout is closed,
// so a connection that has gone silent for good is replaced by a new one.
class node_link : public std::enable_shared_from_this<node_link> {
public:
    node_link(asio::any_io_executor executor, const node_codec& codec, link_handlers handlers, std::string peerAddress);
    ~node_link();
    node_link(const node_link&) = delete;
    node_link& operator=(const node_link&) = delete;

    // Starts as the connecting side, or with an accepted socket.
    void connect();
    void accept(asio::ip::tcp::socket socket);

    // Queues a message; messages sent before the connection is up wait for it. May be called from any thread.
    void send(const node_message& message);

    // Asks for a sign of life after a time without any; onPingTimeout is called when the grace passes without one.
    void pingIfIdle(milliseconds quiet, milliseconds grace);

    void close();

    // Address that was connected to; empty for accepted links.
    [[nodiscard]] const std::string& peerAddress() const { return m_peerAddress; }

private:
    class implementation;
    std::string m_peerAddress;
    std::unique_ptr<implementation> m_implementation;
};

// Silence after which a link is given up, and the interval of pings.
constexpr milliseconds linkReceiveTimeout { 1500 };
constexpr milliseconds linkPingInterval { 400 };
constexpr milliseconds linkConnectTimeout { 700 };

// Bytes that may wait on one link for a peer that does not read.
constexpr std::size_t maxLinkBacklogBytes = 32U << 20;

// The outgoing links of a process, one for each peer address, connected on first use.
class link_directory {
public:
    link_directory(asio::any_io_executor executor, const node_codec& codec, link_handlers handlers);

    // Sends over the link to an address. A failure shows as onClosed with that address.
    void send(const std::string& address, const node_message& message);

    // Checks the link to an address, if there is one, for a peer that has stopped answering.
    void pingIfIdle(const std::string& address, milliseconds quiet, milliseconds grace);

private:
    asio::any_io_executor m_executor;
    const node_codec& m_codec;
    link_handlers m_handlers;
    std::mutex m_mutex;
    std::map<std::string, node_link_handle> m_links;
};

// Accepts links from other nodes.
class link_server {
public:
    link_server(asio::any_io_executor executor, const asio::ip::tcp::endpoint& endpoint, const node_codec& codec, link_handlers handlers);
    ~link_server();
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

// Sends and receives sealed heartbeats over UDP.
class probe_port {
public:
    using handler = std::function<void(const probe_message&, const asio::ip::udp::endpoint&)>;

    probe_port(asio::any_io_executor executor, const asio::ip::udp::endpoint& endpoint, const node_codec& codec, handler onProbe, std::function<void(const std::string&)> onBadDatagram);
    ~probe_port();
    probe_port(const probe_port&) = delete;
    probe_port& operator=(const probe_port&) = delete;

    void send(const probe_message& message, const asio::ip::udp::endpoint& peer);

    // Payload bytes sent so far.
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace limpetpier
