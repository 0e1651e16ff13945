#include "limpetpier/transport/http.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <set>

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

// Size of one read of a reply.
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

http_reply replyToReadError(const beast::error_code& error, const http_limits& limits)
{
    if (error == http::error::header_limit)
        return errorReply(431, "request header exceeds the limit of " + std::to_string(limits.headerBytes) + " bytes; send fewer or shorter fields");
    if (error == http::error::body_limit)
        return errorReply(413, "request body exceeds the limit of " + std::to_string(limits.bodyBytes) + " bytes; send a shorter body");
    if (error == asio::error::operation_aborted)
        return errorReply(408, "request still incomplete after " + std::to_string(limits.requestTimeout.count()) + " ms; send the complete request in time");
    return errorReply(400, "malformed HTTP request: " + error.message());
}

} // namespace

class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::any_io_executor executor, const tcp::endpoint& endpoint, http_limits limits, handler handle)
        : m_acceptor(asio::make_strand(executor), endpoint)
        , m_executor(std::move(executor))
        , m_limits(limits)
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
        for (auto* stream : m_streams)
            asio::post(stream->get_executor(), [self = shared_from_this(), stream] { self->resetIfRegistered(stream); });
    }

    std::atomic<std::int64_t> acceptDelayMs { 0 };

    [[nodiscard]] std::size_t connections() const
    {
        const std::lock_guard lock(m_mutex);
        return m_streams.size();
    }

private:
    awaitable<void> acceptLoop()
    {
        while (!m_draining) {
            beast::error_code error;
            auto socket = co_await m_acceptor.async_accept(asio::make_strand(m_executor), asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted || m_draining)
                co_return;
            if (error)
                continue;
            const auto strand = socket.get_executor();
            asio::co_spawn(
                strand, [self = shared_from_this(), socket = std::move(socket)]() mutable { return self->serve(std::move(socket)); }, asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        if (!registerStream(&stream))
            co_return;
        try {
            beast::error_code ignored;
            stream.socket().set_option(tcp::no_delay(true), ignored);
            if (const auto delay = acceptDelayMs.load(); delay > 0) {
                asio::steady_timer timer(stream.get_executor(), milliseconds(delay));
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await serveRequests(stream);
        } catch (const std::exception&) {
            // The client disconnected or the handler threw. The connection is closed without a reply.
        }
        unregisterStream(&stream);
    }

    awaitable<void> serveRequests(beast::tcp_stream& stream)
    {
        // Bounds the memory that one connection can occupy to one request.
        beast::flat_buffer buffer(m_limits.headerBytes + m_limits.bodyBytes + 1024);
        bool open = true;
        while (open) {
            if (buffer.size() == 0 && !co_await waitForFirstByte(stream, buffer))
                co_return;
            http::request_parser<http::string_body> parser;
            parser.header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
            parser.body_limit(m_limits.bodyBytes);
            beast::error_code error;
            co_await readRequest(stream, buffer, parser, error);
            if (error == http::error::end_of_stream)
                co_return;
            http_reply reply;
            bool keepAlive = false;
            if (error) {
                reply = replyToReadError(error, m_limits);
            } else {
                keepAlive = parser.get().keep_alive();
                reply = co_await m_handle(toHttpRequest(parser.release()));
            }
            open = keepAlive && !reply.close && !m_draining;
            co_await write(stream, reply, open);
        }
        beast::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Reads one request. The request timeout cancels only the read instead of closing the stream, so that 408 can be
    // sent.
    awaitable<void> readRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, http::request_parser<http::string_body>& parser, beast::error_code& error)
    {
        stream.expires_never();
        asio::steady_timer timer(stream.get_executor(), m_limits.requestTimeout);
        timer.async_wait([&stream](const beast::error_code& cancelled) {
            if (!cancelled)
                stream.socket().cancel();
        });
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (timer.cancel() == 0 && !error)
            co_await asio::post(stream.get_executor(), asio::use_awaitable); // lets the queued timer handler run first
    }

    // Waits for the next request within the idle timeout. False if the client closed the connection or the timeout
    // passed.
    awaitable<bool> waitForFirstByte(beast::tcp_stream& stream, beast::flat_buffer& buffer)
    {
        beast::error_code error;
        stream.expires_after(m_limits.idleTimeout);
        const auto count = co_await stream.async_read_some(buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
        buffer.commit(count);
        co_return !error;
    }

    static http_request toHttpRequest(http::request<http::string_body> message)
    {
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.fields = copyFields(message);
        request.body = std::move(message.body());
        return request;
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

    bool registerStream(beast::tcp_stream* stream)
    {
        const std::lock_guard lock(m_mutex);
        if (m_streams.size() >= m_limits.connections)
            return false;
        m_streams.insert(stream);
        return true;
    }

    void unregisterStream(beast::tcp_stream* stream)
    {
        const std::lock_guard lock(m_mutex);
        m_streams.erase(stream);
    }

    void resetIfRegistered(beast::tcp_stream* stream)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_streams.contains(stream))
            return;
        beast::error_code ignored;
        stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream->socket().close(ignored);
    }

    tcp::acceptor m_acceptor;
    asio::any_io_executor m_executor;
    http_limits m_limits;
    handler m_handle;
    std::atomic<bool> m_draining { false };
    mutable std::mutex m_mutex;
    std::set<beast::tcp_stream*> m_streams;
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

    // Reads one reply. Fails if it exceeds a limit.
    awaitable<beast::error_code> read(http::response_parser<http::string_body>& parser)
    {
        std::size_t received = 0;
        parser.eager(true);
        parser.body_limit(maxReplyBytes);
        for (;;) {
            beast::error_code error;
            if (buffer.size() > 0)
                buffer.consume(parser.put(buffer.data(), error));
            if (error == http::error::need_more)
                error = {};
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

    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, "target");
    for (const auto& field : request.fields)
        message.set(field.name, field.value);
    message.keep_alive(true);
    message.body() = std::move(request.body);
    message.prepare_payload();

    beast::error_code error;
    stream.expires_after(timeout);
    const auto written = co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    result.stage = written > 0 ? exchange_stage::no_reply : exchange_stage::not_written;
    if (error) {
        close();
        co_return result;
    }
    http::response_parser<http::string_body> parser;
    error = co_await m_implementation->read(parser);
    if (error) {
        close();
        co_return result;
    }
    result.stage = exchange_stage::replied;
    auto reply = parser.release();
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
