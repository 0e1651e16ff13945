#include "limpetpier/transport/http_channel.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <netinet/tcp.h>

namespace limpetpier {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr unsigned firstFinalStatus = 200;

// Idle connections are given up this long before the peer's stated limit, for the way of a request to it.
constexpr milliseconds idleMargin { 500 };

// Probes of an idle connection: after this silence, this far apart, and so many until it is given up.
constexpr int probeAfterSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;

void setProbes(asio::ip::tcp::socket& socket)
{
    const auto set = [&socket](int option, int value) { setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value); };
    beast::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    set(TCP_KEEPIDLE, probeAfterSeconds);
    set(TCP_KEEPINTVL, probeIntervalSeconds);
    set(TCP_KEEPCNT, probeCount);
}

// From "timeout=N" of a Keep-Alive field, in seconds.
std::optional<std::int64_t> statedIdleSeconds(std::string_view field)
{
    constexpr std::string_view key = "timeout=";
    const auto at = field.find(key);
    if (at == std::string_view::npos)
        return {};
    std::int64_t seconds = 0;
    const auto digits = field.substr(at + key.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {})
        return {};
    return seconds;
}

} // namespace

std::shared_ptr<http_channel> http_channel::create(const asio::any_io_executor& executor, const asio::ip::tcp::endpoint& endpoint)
{
    return std::shared_ptr<http_channel>(new http_channel(executor, endpoint));
}

http_channel::http_channel(const asio::any_io_executor& executor, const asio::ip::tcp::endpoint& endpoint)
    : m_socket(executor)
    , m_openTimer(executor)
    , m_endpoint(endpoint)
{
}

void http_channel::open(milliseconds timeout, open_handler handler)
{
    m_state = state::connecting;
    auto shared = std::make_shared<open_handler>(std::move(handler));
    const auto settle = [self = shared_from_this(), shared](bool opened) {
        if (self->m_state != state::connecting)
            return;
        self->m_openTimer.cancel();
        self->m_state = opened ? state::open : state::closed;
        beast::error_code ignored;
        if (!opened)
            self->m_socket.close(ignored);
        else
            self->read();
        (*shared)(opened);
    };
    m_openTimer.expires_after(timeout);
    m_openTimer.async_wait([settle](const beast::error_code& cancelled) {
        if (!cancelled)
            settle(false);
    });
    m_socket.async_connect(m_endpoint, [self = shared_from_this(), settle](const beast::error_code& error) {
        beast::error_code ignored;
        if (!error)
            self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        if (!error && self->m_tcpKeepAlive)
            setProbes(self->m_socket);
        settle(!error);
    });
}

void http_channel::exchange(std::string request, bool isHead, reply_matcher owns, reply_handler handler)
{
    m_busy = true;
    m_isHead = isHead;
    m_written = false;
    m_owns = std::move(owns);
    m_onReply = std::move(handler);
    m_request = std::move(request);
    startParser();
    write();
}

void http_channel::write()
{
    asio::async_write(m_socket, asio::buffer(m_request), [self = shared_from_this()](const beast::error_code& error, std::size_t written) {
        self->m_written = self->m_written || written > 0;
        if (error && self->m_state == state::open)
            self->end();
    });
}

void http_channel::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const beast::error_code& error, std::size_t count) { self->handleRead(error, count); });
}

void http_channel::handleRead(const beast::error_code& error, std::size_t count)
{
    if (m_state != state::open)
        return;
    if (error == asio::error::eof && m_busy && m_parser && m_parser->is_header_done() && m_parser->need_eof()) {
        beast::error_code ignored;
        m_parser->put_eof(ignored);
        m_tainted = true;
        deliver();
        return;
    }
    if (error) {
        end();
        return;
    }
    feed(m_buffer.data(), count);
    if (m_state == state::open)
        read();
}

void http_channel::feed(const char* data, std::size_t count)
{
    if (!m_busy) {
        end(); // bytes that belong to no request
        return;
    }
    m_pending.append(data, count);
    while (m_state == state::open && m_busy && !m_pending.empty() && parse())
        deliver();
}

// True when a whole reply is in.
bool http_channel::parse()
{
    beast::error_code error;
    const auto used = m_parser->put(asio::buffer(m_pending), error);
    m_pending.erase(0, used);
    if (error && error != http::error::need_more) {
        end();
        return false;
    }
    return m_parser->is_done();
}

void http_channel::startParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->skip(m_isHead);
    m_parser->body_limit(maxReplyBytes);
}

void http_channel::deliver()
{
    const bool keepAlive = m_parser->keep_alive();
    auto message = m_parser->release();
    if (message.result_int() < firstFinalStatus) {
        startParser();
        return;
    }
    exchange_result result;
    result.stage = exchange_stage::replied;
    result.reply.status = message.result_int();
    for (const auto& field : message)
        result.reply.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    result.reply.body = std::move(message.body());
    if (m_owns && !m_owns(result.reply)) {
        m_tainted = true; // an answer to an earlier request; ours may still come
        if (keepAlive)
            startParser();
        else
            end();
        return;
    }
    if (const auto seconds = statedIdleSeconds(result.reply.field("Keep-Alive")))
        m_idleLimit = std::chrono::seconds(*seconds);
    if (m_idleLimit)
        m_usableUntil = monotonic_clock::now() + *m_idleLimit - idleMargin;
    if (!keepAlive || m_tainted || !m_pending.empty()) {
        m_state = state::closed;
        beast::error_code ignored;
        m_socket.close(ignored);
    }
    finish(std::move(result));
}

void http_channel::finish(exchange_result result)
{
    m_busy = false;
    m_parser.reset();
    m_owns = nullptr;
    m_request.clear();
    m_pending.clear();
    auto handler = std::exchange(m_onReply, nullptr);
    const bool closed = m_state == state::closed;
    const auto self = shared_from_this();
    if (handler)
        handler(std::move(result));
    else if (closed && m_onClosed)
        std::exchange(m_onClosed, nullptr)();
}

void http_channel::end()
{
    m_state = state::closed;
    beast::error_code ignored;
    m_socket.close(ignored);
    exchange_result result;
    result.stage = m_written ? exchange_stage::no_reply : exchange_stage::not_written;
    finish(std::move(result));
}

void http_channel::close()
{
    if (m_state == state::closed)
        return;
    m_state = state::closed;
    m_onReply = nullptr;
    m_onClosed = nullptr;
    m_openTimer.cancel();
    beast::error_code ignored;
    m_socket.close(ignored);
}

} // namespace limpetpier
