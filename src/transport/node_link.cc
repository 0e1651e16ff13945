#include "limpetpier/transport/node_link.h"

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <deque>
#include <optional>

#include "limpetpier/state/errors.h"

namespace limpetpier {

using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using boost::system::error_code;

class node_link::implementation {
public:
    implementation(asio::any_io_executor executor, const node_codec& nodeCodec, link_handlers linkHandlers)
        : socket(executor)
        , timer(executor)
        , codec(nodeCodec)
        , handlers(std::move(linkHandlers))
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
    const node_codec& codec;
    link_handlers handlers;
    std::deque<std::string> outgoing;
    std::size_t outgoingBytes = 0;
    monotonic_time lastReceived = monotonic_clock::now();
    bool isOpen = false;
    bool wasOpen = false;
    bool isClosed = false;
    bool isWriting = false;
    std::optional<monotonic_time> pingSentAt; // of an unanswered ping that pingIfIdle() sent

    awaitable<void> runConnecting(node_link_handle self)
    {
        co_await connectWithTimeout(self);
        if (isOpen)
            co_await runOpen(self);
    }

    awaitable<void> connectWithTimeout(node_link_handle self)
    {
        timer.expires_after(linkConnectTimeout);
        timer.async_wait([this, self](error_code error) {
            if (!error && !isOpen)
                shutDown(self);
        });
        error_code error;
        co_await socket.async_connect(parseTcpEndpoint(self->peerAddress()), asio::redirect_error(asio::use_awaitable, error));
        timer.cancel();
        if (error || isClosed) {
            shutDown(self);
            co_return;
        }
        open();
    }

    void open()
    {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        isOpen = true;
        wasOpen = true;
        lastReceived = monotonic_clock::now();
    }

    awaitable<void> runOpen(node_link_handle self)
    {
        startWriting(self);
        asio::co_spawn(socket.get_executor(), keepAlive(self), asio::detached);
        try {
            std::string frame;
            while (!isClosed) {
                std::array<char, frameLengthBytes> length {};
                co_await asio::async_read(socket, asio::buffer(length), asio::use_awaitable);
                frame.resize(node_codec::parseLength({ length.data(), length.size() }));
                co_await asio::async_read(socket, asio::buffer(frame), asio::use_awaitable);
                lastReceived = monotonic_clock::now();
                pingSentAt.reset();
                receive(self, codec.openFrame(frame));
            }
        } catch (const frame_error& error) {
            if (handlers.onBadFrame)
                handlers.onBadFrame(error.what());
        } catch (const boost::system::system_error&) {
            // The connection ended. shutDown() reports it with onClosed.
        }
        shutDown(self);
    }

    void receive(const node_link_handle& self, node_message message)
    {
        const auto* ping = std::get_if<ping_message>(&message);
        if (!ping)
            handlers.onMessage(self, std::move(message));
        else if (ping->wantsReply)
            queue(self, codec.sealFrame(ping_message {}));
    }

    void pingIfIdle(const node_link_handle& self, milliseconds idleTime, milliseconds timeout)
    {
        const auto now = monotonic_clock::now();
        if (!isOpen || now - lastReceived < idleTime)
            return;
        if (!pingSentAt) {
            pingSentAt = now;
            queue(self, codec.sealFrame(ping_message { true }));
        } else if (now - *pingSentAt >= timeout && handlers.onPingTimeout) {
            handlers.onPingTimeout(self);
        }
    }

    awaitable<void> keepAlive(node_link_handle self)
    {
        while (!isClosed) {
            timer.expires_after(linkPingInterval);
            error_code error;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            if (isClosed)
                co_return;
            if (monotonic_clock::now() - lastReceived > linkReceiveTimeout) {
                shutDown(self);
                co_return;
            }
            queue(self, codec.sealFrame(ping_message {}));
        }
    }

    void queue(const node_link_handle& self, std::string frame)
    {
        if (isClosed)
            return;
        outgoingBytes += frame.size();
        outgoing.push_back(std::move(frame));
        if (outgoingBytes > maxLinkBacklogBytes) {
            shutDown(self);
            return;
        }
        startWriting(self);
    }

    void startWriting(const node_link_handle& self)
    {
        if (isOpen && !isWriting && !outgoing.empty())
            asio::co_spawn(socket.get_executor(), write(self), asio::detached);
    }

    awaitable<void> write(node_link_handle self)
    {
        if (std::exchange(isWriting, true))
            co_return;
        while (!outgoing.empty() && !isClosed) {
            const auto frames = std::exchange(outgoing, {});
            outgoingBytes = 0;
            std::vector<asio::const_buffer> buffers;
            buffers.reserve(frames.size());
            for (const auto& frame : frames)
                buffers.emplace_back(asio::buffer(frame));
            error_code error;
            co_await asio::async_write(socket, buffers, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                shutDown(self);
                break;
            }
        }
        isWriting = false;
    }

    void shutDown(const node_link_handle& self)
    {
        if (std::exchange(isClosed, true))
            return;
        isOpen = false;
        error_code ignored;
        socket.close(ignored);
        timer.cancel();
        outgoing.clear();
        if (handlers.onClosed)
            handlers.onClosed(self, wasOpen);
    }
};

node_link::node_link(asio::any_io_executor executor, const node_codec& codec, link_handlers handlers, std::string peerAddress)
    : m_peerAddress(std::move(peerAddress))
    , m_implementation(std::make_unique<implementation>(std::move(executor), codec, std::move(handlers)))
{
}

node_link::~node_link() = default;

void node_link::connect()
{
    asio::co_spawn(m_implementation->socket.get_executor(), m_implementation->runConnecting(shared_from_this()), asio::detached);
}

void node_link::accept(tcp::socket socket)
{
    m_implementation->socket = std::move(socket);
    m_implementation->open();
    asio::co_spawn(m_implementation->socket.get_executor(), m_implementation->runOpen(shared_from_this()), asio::detached);
}

void node_link::send(const node_message& message)
{
    auto frame = m_implementation->codec.sealFrame(message);
    asio::post(m_implementation->socket.get_executor(), [self = shared_from_this(), frame = std::move(frame)]() mutable {
        self->m_implementation->queue(self, std::move(frame));
    });
}

void node_link::pingIfIdle(milliseconds idleTime, milliseconds timeout)
{
    asio::post(m_implementation->socket.get_executor(), [self = shared_from_this(), idleTime, timeout] {
        self->m_implementation->pingIfIdle(self, idleTime, timeout);
    });
}

void node_link::close()
{
    asio::post(m_implementation->socket.get_executor(), [self = shared_from_this()] { self->m_implementation->shutDown(self); });
}

link_directory::link_directory(asio::any_io_executor executor, const node_codec& codec, link_handlers handlers)
    : m_executor(std::move(executor))
    , m_codec(codec)
    , m_handlers(std::move(handlers))
{
}

void link_directory::send(const std::string& address, const node_message& message)
{
    node_link_handle link;
    {
        const std::lock_guard lock(m_mutex);
        auto& entry = m_links[address];
        if (!entry) {
            auto handlers = m_handlers;
            handlers.onClosed = [this](const node_link_handle& closed, bool wasOpen) {
                {
                    const std::lock_guard guard(m_mutex);
                    const auto found = m_links.find(closed->peerAddress());
                    if (found != m_links.end() && found->second == closed)
                        m_links.erase(found);
                }
                if (m_handlers.onClosed)
                    m_handlers.onClosed(closed, wasOpen);
            };
            entry = std::make_shared<node_link>(asio::make_strand(m_executor), m_codec, std::move(handlers), address);
            entry->connect();
        }
        link = entry;
    }
    link->send(message);
}

void link_directory::pingIfIdle(const std::string& address, milliseconds idleTime, milliseconds timeout)
{
    node_link_handle link;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_links.find(address);
        if (found == m_links.end())
            return;
        link = found->second;
    }
    link->pingIfIdle(idleTime, timeout);
}

class link_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::any_io_executor executor, const tcp::endpoint& endpoint, const node_codec& codec, link_handlers handlers)
        : m_acceptor(executor, endpoint)
        , m_codec(codec)
        , m_handlers(std::move(handlers))
    {
    }

    awaitable<void> run(std::shared_ptr<implementation> self)
    {
        (void)self;
        const auto executor = m_acceptor.get_executor();
        while (m_acceptor.is_open()) {
            error_code error;
            auto socket = co_await m_acceptor.async_accept(asio::make_strand(executor), asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error)
                continue;
            const auto strand = socket.get_executor();
            auto link = std::make_shared<node_link>(strand, m_codec, m_handlers, std::string());
            asio::post(strand, [link, socket = std::move(socket)]() mutable { link->accept(std::move(socket)); });
        }
    }

    tcp::acceptor m_acceptor;

private:
    const node_codec& m_codec;
    link_handlers m_handlers;
};

link_server::link_server(asio::any_io_executor executor, const tcp::endpoint& endpoint, const node_codec& codec, link_handlers handlers)
    : m_implementation(std::make_shared<implementation>(executor, endpoint, codec, std::move(handlers)))
{
    asio::co_spawn(executor, m_implementation->run(m_implementation), asio::detached);
}

link_server::~link_server()
{
    error_code ignored;
    m_implementation->m_acceptor.close(ignored);
}

class probe_port::implementation {
public:
    implementation(asio::any_io_executor executor, const udp::endpoint& endpoint, const node_codec& codec, handler onProbe, std::function<void(const std::string&)> onBadDatagram)
        : m_socket(asio::make_strand(executor), endpoint)
        , m_codec(codec)
        , m_onProbe(std::move(onProbe))
        , m_onBadDatagram(std::move(onBadDatagram))
    {
    }

    awaitable<void> run(std::shared_ptr<implementation> self)
    {
        (void)self;
        std::array<char, maxDatagramBytes> buffer {};
        while (m_socket.is_open()) {
            udp::endpoint sender;
            error_code error;
            const auto size = co_await m_socket.async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (!error)
                receive({ buffer.data(), size }, sender);
        }
    }

    void send(const probe_message& message, const udp::endpoint& peer)
    {
        error_code ignored; // heartbeats may be lost anyway
        const auto datagram = m_codec.sealDatagram(message);
        const std::lock_guard lock(m_sendMutex);
        m_socket.send_to(asio::buffer(datagram), peer, 0, ignored);
        bytesSent += datagram.size();
    }

    void close()
    {
        asio::post(m_socket.get_executor(), [this] {
            error_code ignored;
            m_socket.close(ignored);
        });
    }

    asio::any_io_executor executor() { return m_socket.get_executor(); }

    std::atomic<std::uint64_t> bytesSent { 0 };

private:
    void receive(std::string_view datagram, const udp::endpoint& sender)
    {
        probe_message message;
        try {
            message = m_codec.openDatagram(datagram);
        } catch (const frame_error& error) {
            m_onBadDatagram(error.what());
            return;
        }
        m_onProbe(message, sender);
    }

    udp::socket m_socket;
    const node_codec& m_codec;
    handler m_onProbe;
    std::function<void(const std::string&)> m_onBadDatagram;
    std::mutex m_sendMutex;
};

probe_port::probe_port(asio::any_io_executor executor, const udp::endpoint& endpoint, const node_codec& codec, handler onProbe, std::function<void(const std::string&)> onBadDatagram)
    : m_implementation(std::make_shared<implementation>(std::move(executor), endpoint, codec, std::move(onProbe), std::move(onBadDatagram)))
{
    asio::co_spawn(m_implementation->executor(), m_implementation->run(m_implementation), asio::detached);
}

probe_port::~probe_port() { m_implementation->close(); }
std::uint64_t probe_port::bytesSent() const { return m_implementation->bytesSent; }
void probe_port::send(const probe_message& message, const udp::endpoint& peer) { m_implementation->send(message, peer); }

} // namespace limpetpier
