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
using node_link_handle = std::shared_ptr<node_link>; // shared by the link's coroutines and the tables that refer to it

// Callbacks of a node_link. They run on the link's strand.
struct link_handlers {
    // Receives each message except pings.
    std::function<void(const node_link_handle&, node_message)> onMessage;

    // Called once when the link closes. wasOpen is false if the connection was never established, so that nothing was
    // sent.
    std::function<void(const node_link_handle&, bool wasOpen)> onClosed;

    // Called if the peer did not answer a ping in time, see link_directory::pingIfIdle(). The link stays open.
    std::function<void(const node_link_handle&)> onPingTimeout;

    // Receives the error for a frame that is too large or was not sealed by a node of the deployment. The link closes
    // afterwards.
    std::function<void(const std::string& what)> onBadFrame;
};

// A TCP connection between two nodes that carries sealed frames in both directions.
//
// Both ends send pings at linkPingInterval. A link that receives nothing for linkReceiveTimeout is closed, so that a
// dead connection is detected and can be replaced.
class node_link : public std::enable_shared_from_this<node_link> {
public:
    // Creates an unconnected link that runs on the executor, which must be a strand. The codec must outlive the link.
    // The address is empty for accepted links.
    node_link(asio::any_io_executor executor, const node_codec& codec, link_handlers handlers, std::string peerAddress);
    ~node_link();
    node_link(const node_link&) = delete;
    node_link& operator=(const node_link&) = delete;

    // Starts the link by connecting to the peer address.
    void connect();

    // Starts the link on an accepted socket.
    void accept(asio::ip::tcp::socket socket);

    // Queues a message, which is sent once the connection is established. The link closes if more than
    // maxLinkBacklogBytes are queued. Thread-safe.
    void send(const node_message& message);

    // Sends a ping that requests a reply if nothing was received for the idle time. If nothing was received since that
    // ping, later calls report onPingTimeout once the timeout has passed; no timer does. Thread-safe.
    void pingIfIdle(milliseconds idleTime, milliseconds timeout);

    // Closes the link. Thread-safe.
    void close();

    // Address that the link connects to. Empty for accepted links.
    [[nodiscard]] const std::string& peerAddress() const { return m_peerAddress; }

private:
    class implementation;
    std::string m_peerAddress;
    std::unique_ptr<implementation> m_implementation;
};

// Time without received data after which a link is closed.
constexpr milliseconds linkReceiveTimeout { 1500 };

// Interval of pings on a link.
constexpr milliseconds linkPingInterval { 400 };

// Time limit for establishing the connection of a link.
constexpr milliseconds linkConnectTimeout { 700 };

// Maximum size of the frames queued on one link. Bounds the memory that a peer that does not read can occupy.
constexpr std::size_t maxLinkBacklogBytes = 32U << 20;

// The outgoing links of a process: one link per peer address, connected on first use. Thread-safe.
class link_directory {
public:
    // Creates an empty directory. The codec must outlive the directory, and the directory its links.
    link_directory(asio::any_io_executor executor, const node_codec& codec, link_handlers handlers);

    // Sends a message on the link to an address. A failure is reported by onClosed with that address.
    void send(const std::string& address, const node_message& message);

    // Calls node_link::pingIfIdle() on the link to an address, if there is one.
    void pingIfIdle(const std::string& address, milliseconds idleTime, milliseconds timeout);

private:
    asio::any_io_executor m_executor;
    const node_codec& m_codec;
    link_handlers m_handlers;
    std::mutex m_mutex;
    std::map<std::string, node_link_handle> m_links;
};

// Accepts links from other nodes on a TCP port.
class link_server {
public:
    // Listens on the endpoint and starts accepting. Throws boost::system::system_error if the endpoint can't be bound.
    // The codec must outlive the accepted links.
    link_server(asio::any_io_executor executor, const asio::ip::tcp::endpoint& endpoint, const node_codec& codec, link_handlers handlers);

    // Stops accepting. Accepted links stay open.
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
    // Receives a heartbeat and the address of its sender.
    using handler = std::function<void(const probe_message&, const asio::ip::udp::endpoint&)>;

    // Binds the endpoint and starts receiving. onBadDatagram receives the error for a datagram that was not sealed by a
    // node of the deployment. Throws boost::system::system_error if the endpoint can't be bound.
    probe_port(asio::any_io_executor executor, const asio::ip::udp::endpoint& endpoint, const node_codec& codec, handler onProbe, std::function<void(const std::string&)> onBadDatagram);

    // Closes the socket.
    ~probe_port();
    probe_port(const probe_port&) = delete;
    probe_port& operator=(const probe_port&) = delete;

    // Sends a heartbeat. Errors are ignored because heartbeats may be lost anyway. Thread-safe.
    void send(const probe_message& message, const asio::ip::udp::endpoint& peer);

    // Total size of the datagrams sent, without UDP and IP headers.
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace limpetpier
