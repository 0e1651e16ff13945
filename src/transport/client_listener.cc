#include "limpetpier/transport/client_listener.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core/error.hpp>
#include <optional>

#include "limpetpier/protocol/http_request_reader.h"
#include "limpetpier/transport/events.h"
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

// Memory of a connection without messages.
constexpr std::size_t connectionBytes = 4096;

// Number of copies of a request that exist while it is executed, at most.
constexpr std::size_t copiesOfRunningRequest = 2;

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

// Not executed: the request was still incomplete.
http_reply replyToGivenUpRequest()
{
    auto reply = errorReply(503, "no memory or connection left for this request, which was not executed; retry it on a new connection");
    reply.fields.push_back({ "Retry-After", "1" });
    return reply;
}

std::string peerName(const tcp::socket& socket)
{
    beast::error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

} // namespace

class client_listener::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(const asio::any_io_executor& executor, const tcp::endpoint& endpoint, handler handle, std::shared_ptr<connection_budget> sharedBudget)
        : budget(std::move(sharedBudget))
        , m_acceptor(executor, endpoint)
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

    const std::shared_ptr<connection_budget> budget;
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
        , m_account(m_listener->budget, [this] { asio::post(m_socket.get_executor(), [weak = weak_from_this()] { giveUp(weak); }); }) // posted, as another connection may be in the middle of a read
    {
    }

    void start()
    {
        beast::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        startReader();
        updateAccount();
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
        m_requestBytes = 0;
        updateAccount();
        asio::async_write(m_socket, asio::buffer(m_output), [self = shared_from_this()](const beast::error_code& error, std::size_t) { self->handleWritten(error); });
    }

    void onDisconnect(std::function<void()> handler)
    {
        if (m_state == state::closed)
            asio::post(m_socket.get_executor(), std::move(handler));
        else
            m_onDisconnect = std::move(handler);
    }

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
    // Closes a connection that the budget revoked. An incomplete request was not executed, so its client is told to come
    // back; nothing is sent if that would block.
    static void giveUp(const std::weak_ptr<client_connection>& connection)
    {
        const auto self = connection.lock();
        if (!self || self->m_state == state::waiting || self->m_state == state::closed)
            return;
        beast::error_code ignored;
        if (self->m_state == state::reading && self->m_requestStarted) {
            const auto text = formatReply(replyToGivenUpRequest(), false);
            self->m_socket.non_blocking(true, ignored);
            self->m_socket.write_some(asio::buffer(text), ignored);
            self->m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        if (isLogged(event::client_given_up))
            logEvent(event::client_given_up, event_fields().add("peer", self->m_peer).add("bytes", self->heldBytes()));
        self->closeConnection();
    }

    enum class state : std::uint8_t {
        reading,
        waiting,
        writing,
        closed,
    };

    [[nodiscard]] std::size_t heldBytes() const
    {
        return connectionBytes + m_unparsed.capacity() + m_output.capacity() + m_requestBytes + (m_reader ? m_reader->heldBytes() : 0);
    }

    [[nodiscard]] connection_activity activity() const
    {
        if (m_state == state::waiting)
            return connection_activity::running;
        if (m_state == state::writing)
            return connection_activity::sending;
        if (m_requestStarted)
            return connection_activity::receiving;
        return m_wasUsed ? connection_activity::idle : connection_activity::unused;
    }

    void updateAccount() { m_account.update(heldBytes(), activity(), m_phaseStart, monotonic_clock::now()); }

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
        updateAccount();
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
            if (m_unparsed.empty())
                m_unparsed = std::string(); // releases its capacity
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
        updateAccount();
        if (m_account.isRevoked())
            return;
        m_keepAlive = m_reader->keepAlive();
        auto request = m_reader->takeRequest();
        m_isHead = request.method == "HEAD";
        m_state = state::waiting;
        m_requestStarted = false;
        m_wasUsed = true;
        m_reader.reset();
        m_requestBytes = copiesOfRunningRequest * occupiedBytes(request);
        if (!m_listener->budget->hasRoomToRun(heldBytes())) {
            m_requestBytes = 0;
            rejectRequest(replyToGivenUpRequest());
            return;
        }
        updateAccount();
        m_listener->handleRequest(std::move(request), client_call(shared_from_this()));
    }

    void rejectRequest(http_reply reply)
    {
        m_state = state::waiting;
        m_reader.reset();
        m_unparsed = std::string();
        answer(std::move(reply));
    }

    void handleWritten(const beast::error_code& error)
    {
        if (m_state != state::writing)
            return;
        m_output = std::string();
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
        updateAccount();
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
    std::size_t m_requestBytes = 0; // of the request that is executed
    bool m_wasUsed = false; // a request was complete
    std::string m_peer = peerName(m_socket);
    std::function<void()> m_onDisconnect;
    connection_budget::account m_account;
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
        if (self->budget->makeRoomForConnection(monotonic_clock::now())) {
            auto connection = std::make_shared<client_connection>(std::move(socket), self);
            self->connections.insert(connection);
            connection->start();
        }
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

client_listener::client_listener(asio::any_io_executor executor, const tcp::endpoint& endpoint, handler handle, std::shared_ptr<connection_budget> budget)
    : m_implementation(std::make_shared<implementation>(executor, endpoint, std::move(handle), std::move(budget)))
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
