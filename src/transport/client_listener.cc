#include "limpetpier/transport/client_listener.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core/error.hpp>
#include <optional>

#include "limpetpier/protocol/http_request_reader.h"
#include "limpetpier/transport/http_format.h"

namespace limpetpier {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

// Maximum data buffered while a request is in progress. Beyond it, reading pauses until the reply is written.
constexpr std::size_t readAheadBytes = 16U << 10;

// Time limit for writing a reply to a client before its connection is closed.
constexpr milliseconds writeTimeout { 5000 };

// Interval of the checks for idle connections, incomplete requests and blocked writes.
constexpr milliseconds sweepInterval { 500 };

// Delay before accepting again after an error such as running out of file descriptors.
constexpr milliseconds acceptRetryDelay { 50 };

http_reply errorReply(unsigned status, const std::string& message)
{
    http_reply reply;
    reply.status = status;
    reply.body = R"({"error":")" + message + "\"}\n";
    reply.close = true;
    return reply;
}

} // namespace

class client_listener::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(const asio::any_io_executor& executor, const tcp::endpoint& endpoint, handler handle)
        : m_acceptor(executor, endpoint)
        , m_acceptRetryTimer(executor)
        , m_sweepTimer(executor)
        , m_handle(std::move(handle))
    {
    }

    void start()
    {
        accept();
        sweep();
    }

    void stop();
    void drain();

    client_limits limits;
    bool keepAliveDisabled = false;
    bool draining = false;
    std::set<std::shared_ptr<client_connection>> connections;

    void handleRequest(http_request request, client_call call) { m_handle(std::move(request), std::move(call)); }

private:
    void accept();
    void sweep();

    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptRetryTimer;
    asio::steady_timer m_sweepTimer;
    handler m_handle;
};

class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(tcp::socket socket, std::shared_ptr<client_listener::implementation> listener)
        : m_socket(std::move(socket))
        , m_listener(std::move(listener))
        , m_idleLimit(m_listener->limits.idleTimeout)
    {
    }

    void start()
    {
        beast::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        startReader();
        read();
    }

    void answer(http_reply reply)
    {
        if (m_state != state::waiting)
            return;
        m_state = state::writing;
        m_phaseStart = monotonic_clock::now();
        m_onDisconnect = nullptr;
        m_closeAfter = reply.close || !m_keepAlive || m_listener->keepAliveDisabled;
        reply.close = m_closeAfter;
        m_output = formatReply(reply, m_isHead);
        asio::async_write(m_socket, asio::buffer(m_output), [self = shared_from_this()](const beast::error_code& error, std::size_t) { self->handleWritten(error); });
    }

    void onDisconnect(std::function<void()> handler) { m_onDisconnect = std::move(handler); }

    [[nodiscard]] bool isIdle() const { return m_state == state::reading && !m_requestStarted; }
    [[nodiscard]] bool hasUnfinishedReply() const { return m_state == state::waiting || m_state == state::writing; }

    void sweep(monotonic_time now)
    {
        m_idleLimit = std::max(m_idleLimit, m_listener->limits.idleTimeout);
        const bool writeTimedOut = m_state == state::writing && now - m_phaseStart > writeTimeout;
        if (writeTimedOut || (isIdle() && now - m_phaseStart > m_idleLimit))
            closeConnection();
        else if (m_state == state::reading && m_requestStarted && now - m_phaseStart > m_listener->limits.headerTimeout)
            rejectRequest(errorReply(408, "request still incomplete at the header timeout; send the complete request in time"));
    }

    void closeConnection()
    {
        if (m_state == state::closed)
            return;
        m_state = state::closed;
        beast::error_code ignored;
        m_socket.close(ignored);
        const auto self = shared_from_this();
        m_listener->connections.erase(self);
        if (auto handler = std::exchange(m_onDisconnect, nullptr))
            handler();
    }

private:
    enum class state : std::uint8_t {
        reading,
        waiting,
        writing,
        closed,
    };

    void startReader()
    {
        m_reader.emplace(http_request_reader::limits { m_listener->limits.headerBytes, m_listener->limits.bodyBytes });
        m_continueSent = false;
    }

    void read()
    {
        if (m_readPending || m_state == state::closed || m_unparsed.size() >= readAheadBytes)
            return;
        m_readPending = true;
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const beast::error_code& error, std::size_t count) {
            self->m_readPending = false;
            self->handleRead(error, count);
        });
    }

    void handleRead(const beast::error_code& error, std::size_t count)
    {
        if (m_state == state::closed)
            return;
        if (error) {
            if (m_state != state::writing)
                closeConnection();
            return;
        }
        m_unparsed.append(m_buffer.data(), count);
        if (m_state == state::reading)
            parse();
        read();
    }

    void parse()
    {
        while (m_state == state::reading && !m_unparsed.empty()) {
            if (!m_requestStarted) {
                m_requestStarted = true;
                m_phaseStart = monotonic_clock::now();
            }
            m_unparsed.erase(0, m_reader->put(m_unparsed));
            if (const auto& rejection = m_reader->rejected())
                rejectRequest(errorReply(rejection->status, rejection->reason));
            else if (m_reader->isComplete())
                return dispatchRequest();
            else
                sendContinue();
        }
    }

    void sendContinue()
    {
        if (m_continueSent || !m_reader->expectsContinue())
            return;
        m_continueSent = true;
        static const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(m_socket, asio::buffer(line), [self = shared_from_this()](const beast::error_code&, std::size_t) {});
    }

    void dispatchRequest()
    {
        m_keepAlive = m_reader->keepAlive();
        auto request = m_reader->takeRequest();
        m_isHead = request.method == "HEAD";
        m_state = state::waiting;
        m_requestStarted = false;
        m_listener->handleRequest(std::move(request), client_call(shared_from_this()));
    }

    void rejectRequest(http_reply reply)
    {
        m_state = state::waiting;
        answer(std::move(reply));
    }

    void handleWritten(const beast::error_code& error)
    {
        if (m_state != state::writing)
            return;
        m_output.clear();
        if (error || m_closeAfter) {
            beast::error_code ignored;
            if (!error)
                m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            closeConnection();
            return;
        }
        m_state = state::reading;
        m_requestStarted = false;
        m_phaseStart = monotonic_clock::now();
        m_idleLimit = m_listener->limits.idleTimeout;
        startReader();
        parse();
        read();
    }

    tcp::socket m_socket;
    std::shared_ptr<client_listener::implementation> m_listener;
    milliseconds m_idleLimit;
    state m_state = state::reading;
    bool m_requestStarted = false; // part of the next request was received
    bool m_keepAlive = true;
    bool m_isHead = false;
    bool m_closeAfter = false;
    bool m_continueSent = false;
    bool m_readPending = false;
    monotonic_time m_phaseStart = monotonic_clock::now(); // of the idle time, request or reply that sweep() limits
    std::optional<http_request_reader> m_reader;
    std::string m_unparsed;
    std::string m_output;
    std::function<void()> m_onDisconnect;
    std::array<char, 2048> m_buffer {};
};

void client_listener::implementation::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const beast::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || self->draining)
            return;
        if (error) {
            self->m_acceptRetryTimer.expires_after(acceptRetryDelay);
            self->m_acceptRetryTimer.async_wait([self](const beast::error_code& cancelled) {
                if (!cancelled)
                    self->accept();
            });
            return;
        }
        auto connection = std::make_shared<client_connection>(std::move(socket), self);
        self->connections.insert(connection);
        connection->start();
        self->accept();
    });
}

void client_listener::implementation::sweep()
{
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([self = shared_from_this()](const beast::error_code& cancelled) {
        if (cancelled)
            return;
        const auto now = monotonic_clock::now();
        const auto open = self->connections;
        for (const auto& connection : open)
            connection->sweep(now);
        self->sweep();
    });
}

void client_listener::implementation::drain()
{
    draining = true;
    beast::error_code ignored;
    m_acceptor.close(ignored);
    const auto open = connections;
    for (const auto& connection : open) {
        if (connection->isIdle())
            connection->closeConnection();
    }
}

void client_listener::implementation::stop()
{
    drain();
    m_sweepTimer.cancel();
    m_acceptRetryTimer.cancel();
}

void client_call::answer(http_reply reply) { m_connection->answer(std::move(reply)); }
void client_call::onDisconnect(std::function<void()> handler) { m_connection->onDisconnect(std::move(handler)); }

client_listener::client_listener(asio::any_io_executor executor, const tcp::endpoint& endpoint, handler handle)
    : m_implementation(std::make_shared<implementation>(executor, endpoint, std::move(handle)))
{
    m_implementation->start();
}

client_listener::~client_listener() { m_implementation->stop(); }
void client_listener::changeLimits(const client_limits& limits) { m_implementation->limits = limits; }
void client_listener::disableKeepAlive() { m_implementation->keepAliveDisabled = true; }
void client_listener::drain() { m_implementation->drain(); }
std::size_t client_listener::connections() const { return m_implementation->connections.size(); }

std::size_t client_listener::unfinishedReplies() const
{
    const auto& connections = m_implementation->connections;
    return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), [](const auto& connection) { return connection->hasUnfinishedReply(); }));
}

} // namespace limpetpier
