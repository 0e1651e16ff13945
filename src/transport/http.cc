#include "limpetpier/transport/http.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <set>

#include "limpetpier/coordination/connection_budget.h"
#include "limpetpier/protocol/http_request_reader.h"
#include "limpetpier/transport/http_format.h"

namespace limpetpier {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

// Maximum size of a reply body that http_connection accepts, bytes of a reply with its framing, and bytes that wait to be
// parsed.
constexpr std::size_t maxReplyBytes = 8U << 20;
constexpr std::size_t maxReceivedBytes = maxReplyBytes + (1U << 20);
constexpr std::size_t maxUnparsedBytes = 64U << 10;

// Memory of a connection without messages, and number of copies of a running request and of a reply.
constexpr std::size_t connectionBytes = 8192;
constexpr std::size_t copiesOfRunningRequest = 2;
constexpr std::size_t copiesOfReply = 2;

// Delay before accepting again after an error such as running out of file descriptors.
constexpr milliseconds acceptRetryDelay { 50 };

// Maximum number of interim replies before a final one.
constexpr unsigned maxInterimReplies = 16;
constexpr unsigned firstFinalStatus = 200;

// Size of one read of a request and of a reply.
constexpr std::size_t requestReadBytes = 4U << 10;
constexpr std::size_t readBytes = 8U << 10;

template <typename Message>
std::vector<http_field> copyFields(const Message& message)
{
    std::vector<http_field> fields;
    for (const auto& field : message)
        fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return fields;
}

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

} // namespace

class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::any_io_executor executor, const tcp::endpoint& endpoint, http_limits limits, handler handle)
        : m_acceptor(asio::make_strand(executor), endpoint)
        , m_executor(std::move(executor))
        , m_limits(limits)
        , m_budget(std::make_shared<connection_budget>(connection_budget::limits { limits.totalBytes, limits.maxOpen }))
        , m_handle(std::move(handle))
    {
    }

    void start()
    {
        asio::co_spawn(
            m_acceptor.get_executor(), [self = shared_from_this()] { return self->acceptLoop(); }, asio::detached);
    }

    void stopAccepting()
    {
        m_draining = true;
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            beast::error_code ignored;
            self->m_acceptor.close(ignored);
        });
    }

    void resetStreams()
    {
        const std::lock_guard lock(m_mutex);
        for (auto* open : m_connections)
            asio::post(open->stream.get_executor(), [self = shared_from_this(), open] { self->resetIfRegistered(open); });
    }

    std::atomic<std::int64_t> acceptDelayMs { 0 };

    [[nodiscard]] std::size_t connections() const
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

private:
    // An open connection. Used on its strand.
    struct connection {
        connection(tcp::socket socket, implementation& server)
            : stream(std::move(socket))
            , id(++server.m_lastConnection)
            , account(server.m_budget, [this, &server] { server.giveUpLater(this); })
        {
        }

        void update(std::size_t bytes, connection_activity next)
        {
            const auto now = monotonic_clock::now();
            if (next != activity)
                since = now;
            activity = next;
            account.update(connectionBytes + bytes, activity, since, now);
        }

        beast::tcp_stream stream;
        std::uint64_t id; // an address can be used again
        connection_activity activity = connection_activity::unused;
        monotonic_time since = monotonic_clock::now();
        connection_budget::account account;
    };

    awaitable<void> acceptLoop()
    {
        asio::steady_timer retryTimer(m_acceptor.get_executor());
        while (!m_draining) {
            beast::error_code error;
            auto socket = co_await m_acceptor.async_accept(asio::make_strand(m_executor), asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted || m_draining)
                co_return;
            if (error) {
                retryTimer.expires_after(acceptRetryDelay);
                co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            if (!m_budget->makeRoomForConnection(monotonic_clock::now()))
                continue;
            const auto strand = socket.get_executor();
            asio::co_spawn(
                strand, [self = shared_from_this(), socket = std::move(socket)]() mutable { return self->serve(std::move(socket)); }, asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket)
    {
        connection open(std::move(socket), *this);
        auto& stream = open.stream;
        if (!registerConnection(&open))
            co_return;
        try {
            beast::error_code ignored;
            stream.socket().set_option(tcp::no_delay(true), ignored);
            if (const auto delay = acceptDelayMs.load(); delay > 0) {
                asio::steady_timer timer(stream.get_executor(), milliseconds(delay));
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await serveRequests(open);
        } catch (const std::exception&) {
            // The client disconnected or the handler threw. The connection is closed without a reply.
        }
        unregisterConnection(&open);
    }

    awaitable<void> serveRequests(connection& client)
    {
        auto& stream = client.stream;
        beast::flat_buffer buffer(requestReadBytes);
        bool open = true;
        while (open) {
            if (buffer.size() == 0 && !co_await waitForFirstByte(stream, buffer))
                co_return;
            http_request_reader reader(http_request_reader::limits { m_limits.headerBytes, m_limits.bodyBytes });
            bool timedOut = false;
            if (!co_await readRequest(client, buffer, reader, timedOut) || client.account.isRevoked())
                co_return;
            http_reply reply;
            bool keepAlive = false;
            if (timedOut) {
                reply = errorReply(408, "request still incomplete after " + std::to_string(m_limits.requestTimeout.count()) + " ms; send the complete request in time");
            } else if (const auto& rejection = reader.rejected()) {
                reply = errorReply(rejection->status, rejection->reason);
            } else {
                keepAlive = reader.keepAlive();
                auto request = reader.takeRequest();
                client.update(copiesOfRunningRequest * occupiedBytes(request), connection_activity::running);
                reply = co_await m_handle(std::move(request));
            }
            client.update(copiesOfReply * reply.body.size(), connection_activity::sending);
            open = keepAlive && !reply.close && !m_draining;
            co_await write(stream, reply, open);
            client.update(0, connection_activity::idle);
        }
        beast::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Reads one request. False if the connection ended before. The request timeout cancels only the read instead of closing
    // the stream, so that 408 can be sent.
    awaitable<bool> readRequest(connection& client, beast::flat_buffer& buffer, http_request_reader& reader, bool& timedOut)
    {
        static const std::string interimReply = "HTTP/1.1 100 Continue\r\n\r\n";
        bool continueSent = false;
        auto& stream = client.stream;
        stream.expires_never();
        asio::steady_timer timer(stream.get_executor(), m_limits.requestTimeout);
        timer.async_wait([&stream, &timedOut](const beast::error_code& cancelled) {
            if (cancelled)
                return;
            timedOut = true;
            stream.socket().cancel();
        });
        beast::error_code error;
        for (;;) {
            const auto received = buffer.data();
            buffer.consume(reader.put({ static_cast<const char*>(received.data()), received.size() }));
            client.update(buffer.capacity() + reader.heldBytes(), connection_activity::receiving);
            if (error || timedOut || client.account.isRevoked() || reader.isComplete() || reader.rejected())
                break;
            if (reader.expectsContinue() && !continueSent) {
                continueSent = true;
                co_await asio::async_write(stream, asio::buffer(interimReply), asio::redirect_error(asio::use_awaitable, error));
                if (error)
                    continue; // ends the loop
            }
            const auto count = co_await stream.async_read_some(buffer.prepare(requestReadBytes), asio::redirect_error(asio::use_awaitable, error));
            buffer.commit(count);
        }
        if (timer.cancel() == 0 && !timedOut)
            co_await asio::post(stream.get_executor(), asio::use_awaitable); // lets the queued timer handler run first
        co_return !client.account.isRevoked() && (timedOut || reader.isComplete() || reader.rejected().has_value());
    }

    // Waits for the next request within the idle timeout. False if the client closed the connection or the timeout
    // passed.
    awaitable<bool> waitForFirstByte(beast::tcp_stream& stream, beast::flat_buffer& buffer)
    {
        beast::error_code error;
        stream.expires_after(m_limits.idleTimeout);
        const auto count = co_await stream.async_read_some(buffer.prepare(requestReadBytes), asio::redirect_error(asio::use_awaitable, error));
        buffer.commit(count);
        co_return !error;
    }

    static awaitable<void> write(beast::tcp_stream& stream, const http_reply& reply, bool keepAlive)
    {
        http::response<http::string_body> message(static_cast<http::status>(reply.status), 11);
        message.set(http::field::content_type, reply.contentType);
        for (const auto& field : reply.fields)
            message.set(field.name, field.value);
        message.keep_alive(keepAlive);
        message.body() = reply.body;
        message.prepare_payload();
        stream.expires_after(milliseconds(5000));
        co_await http::async_write(stream, message, asio::use_awaitable);
    }

    bool registerConnection(connection* opened)
    {
        const std::lock_guard lock(m_mutex);
        if (m_connections.size() >= m_limits.connections)
            return false;
        m_connections.insert(opened);
        return true;
    }

    void unregisterConnection(connection* closed)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(closed);
    }

    void resetIfRegistered(connection* open)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_connections.contains(open))
            return;
        beast::error_code ignored;
        open->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        open->stream.socket().close(ignored);
    }

    // Called by the budget on any thread.
    void giveUpLater(connection* revoked)
    {
        asio::post(revoked->stream.get_executor(), [self = shared_from_this(), revoked, id = revoked->id] {
            if (self->isRegistered(revoked, id))
                giveUp(*revoked);
        });
    }

    bool isRegistered(connection* open, std::uint64_t id)
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.contains(open) && open->id == id;
    }

    // Closes a connection that the budget revoked, unless its request is executed by now. An incomplete request was not
    // executed, so its client is told to come back; nothing is sent if that would block.
    static void giveUp(connection& revoked)
    {
        if (revoked.activity == connection_activity::running)
            return;
        auto& socket = revoked.stream.socket();
        beast::error_code ignored;
        if (revoked.activity == connection_activity::receiving) {
            const auto text = formatReply(replyToGivenUpRequest(), false);
            socket.non_blocking(true, ignored);
            socket.write_some(asio::buffer(text), ignored);
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        socket.close(ignored);
    }

    tcp::acceptor m_acceptor;
    asio::any_io_executor m_executor;
    http_limits m_limits;
    std::shared_ptr<connection_budget> m_budget;
    handler m_handle;
    std::atomic<bool> m_draining { false };
    mutable std::mutex m_mutex;
    std::atomic<std::uint64_t> m_lastConnection { 0 };
    std::set<connection*> m_connections;
};

http_server::http_server(asio::any_io_executor executor, const tcp::endpoint& endpoint, http_limits limits, handler handle)
    : m_implementation(std::make_shared<implementation>(std::move(executor), endpoint, limits, std::move(handle)))
{
    m_implementation->start();
}

http_server::~http_server() { m_implementation->stopAccepting(); }
void http_server::setAcceptDelay(milliseconds delay) { m_implementation->acceptDelayMs = delay.count(); }
void http_server::drain() { m_implementation->stopAccepting(); }
void http_server::resetConnections() { m_implementation->resetStreams(); }
std::size_t http_server::connections() const { return m_implementation->connections(); }

class http_connection::implementation {
public:
    explicit implementation(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    // Reads one interim or final reply. Fails if it exceeds a limit or is not a valid reply.
    awaitable<beast::error_code> read(http::response_parser<http::string_body>& parser)
    {
        std::size_t received = 0;
        bool headChecked = false;
        parser.eager(true);
        parser.body_limit(maxReplyBytes);
        for (;;) {
            beast::error_code error;
            if (buffer.size() > 0)
                buffer.consume(parser.put(buffer.data(), error));
            if (error == http::error::need_more)
                error = {};
            if (!error && !headChecked && parser.is_header_done()) {
                headChecked = true;
                if (!isValidReplyHead(parser.get().result_int(), copyFields(parser.get()), parser.get().version() % 10))
                    co_return http::error::bad_status;
            }
            if (error || parser.is_done())
                co_return error;
            if (buffer.size() + readBytes > maxUnparsedBytes || received > maxReceivedBytes)
                co_return http::error::buffer_overflow;
            const auto count = co_await stream.async_read_some(buffer.prepare(readBytes), asio::redirect_error(asio::use_awaitable, error));
            buffer.commit(count);
            received += count;
            if (error == asio::error::eof && parser.got_some())
                parser.put_eof(error);
            if (error)
                co_return error;
        }
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxUnparsedBytes };
    bool open = false;
};

http_connection::http_connection(asio::any_io_executor executor)
    : m_implementation(std::make_unique<implementation>(std::move(executor)))
{
}

http_connection::~http_connection() = default;

awaitable<bool> http_connection::connect(tcp::endpoint endpoint, milliseconds timeout)
{
    beast::error_code error;
    m_implementation->stream.expires_after(timeout);
    co_await m_implementation->stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    m_implementation->stream.socket().set_option(tcp::no_delay(true), error);
    m_implementation->open = true;
    co_return true;
}

awaitable<exchange_result> http_connection::exchange(http_request request, microseconds timeout)
{
    exchange_result result;
    auto& stream = m_implementation->stream;
    if (!m_implementation->open)
        co_return result;
    beast::error_code error;
    if (m_implementation->buffer.size() > 0 || stream.socket().available(error) > 0) {
        close(); // received before the request was sent, so it can't be a reply to it
        co_return result;
    }

    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, "target");
    for (const auto& field : request.fields)
        message.set(field.name, field.value);
    message.keep_alive(true);
    message.body() = std::move(request.body);
    message.prepare_payload();

    stream.expires_after(timeout);
    const auto written = co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    result.stage = written > 0 ? exchange_stage::no_reply : exchange_stage::not_written;
    if (error) {
        close();
        co_return result;
    }
    std::optional<http::response_parser<http::string_body>> parser;
    for (unsigned interimReplies = 0; !parser || parser->get().result_int() < firstFinalStatus; ++interimReplies) {
        parser.emplace();
        error = co_await m_implementation->read(*parser);
        if (error || interimReplies > maxInterimReplies) {
            close();
            co_return result;
        }
    }
    result.stage = exchange_stage::replied;
    auto reply = parser->release();
    result.reply.status = reply.result_int();
    result.reply.fields = copyFields(reply);
    result.reply.body = std::move(reply.body());
    if (!reply.keep_alive())
        close();
    co_return result;
}

void http_connection::close()
{
    m_implementation->open = false;
    beast::error_code ignored;
    m_implementation->stream.socket().close(ignored);
}

bool http_connection::isOpen() const { return m_implementation->open; }

} // namespace limpetpier
