#include "limpetpier/transport/http_channel.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <netinet/tcp.h>

#include "limpetpier/protocol/http_request_reader.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr unsigned firstFinalStatus = 200;

// Idle connections are no longer used from this time before the idle limit of the peer, so that a request in transit
// does not meet a closing connection.
constexpr milliseconds idleMargin { 500 };

// A longer idle limit of the peer is shortened to this.
constexpr std::int64_t maxIdleLimitSeconds = 3600;

// TCP keep-alive: idle time before the first probe, interval of probes, and unanswered probes until the connection is
// aborted.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbeCount = 2;

void setKeepAliveOptions(asio::ip::tcp::socket& socket)
{
    const auto setOption = [&socket](int option, int value) { setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value); };
    beast::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setOption(TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(TCP_KEEPCNT, keepAliveProbeCount);
}

// Returns the seconds in "timeout=N" of a Keep-Alive field, if present.
std::optional<std::int64_t> parseKeepAliveTimeout(std::string_view field)
{
    constexpr std::string_view key = "timeout=";
    const auto position = field.find(key);
    if (position == std::string_view::npos)
        return {};
    std::int64_t seconds = 0;
    const auto digits = field.substr(position + key.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {})
        return {};
    return seconds;
}

template <typename Message>
std::vector<http_field> copyFields(const Message& message)
{
    std::vector<http_field> fields;
    for (const auto& field : message)
        fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return fields;
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
    auto sharedHandler = std::make_shared<open_handler>(std::move(handler));
    const auto finishOpening = [self = shared_from_this(), sharedHandler](bool opened) {
        if (self->m_state != state::connecting)
            return;
        self->m_openTimer.cancel();
        self->m_state = opened ? state::open : state::closed;
        beast::error_code ignored;
        if (!opened)
            self->m_socket.close(ignored);
        else
            self->read();
        (*sharedHandler)(opened);
    };
    m_openTimer.expires_after(timeout);
    m_openTimer.async_wait([finishOpening](const beast::error_code& cancelled) {
        if (!cancelled)
            finishOpening(false);
    });
    m_socket.async_connect(m_endpoint, [self = shared_from_this(), finishOpening](const beast::error_code& error) {
        beast::error_code ignored;
        if (!error)
            self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        if (!error && self->m_tcpKeepAlive)
            setKeepAliveOptions(self->m_socket);
        finishOpening(!error);
    });
}

void http_channel::useBudget(std::shared_ptr<connection_budget> budget)
{
    // Posted, as another channel may be in the middle of a read.
    m_budgetAccount = std::make_unique<connection_budget::account>(std::move(budget), [this] {
        asio::post(m_socket.get_executor(), [weak = weak_from_this(), exchange = m_exchangeCount] {
            const auto self = weak.lock();
            if (!self || self->m_state != state::open || !self->m_exchangePending || self->m_exchangeCount != exchange)
                return;
            logEvent(event::reply_given_up, event_fields().add("peer", self->m_endpoint.address().to_string() + ":" + std::to_string(self->m_endpoint.port())).add("bytes", self->m_receivedBytes));
            self->failConnection();
        });
    });
}

void http_channel::releaseBudget()
{
    if (m_budgetAccount)
        m_budgetAccount->clear();
}

void http_channel::exchange(std::string request, bool isHead, reply_matcher matches, reply_handler handler)
{
    m_exchangePending = true;
    ++m_exchangeCount;
    m_isHead = isHead;
    m_anyWritten = false;
    m_receivedBytes = 0;
    m_skippedReplies = 0;
    m_matches = std::move(matches);
    m_onReply = std::move(handler);
    m_request = std::move(request);
    startParser();
    beast::error_code ignored;
    if (m_socket.available(ignored) > 0) {
        // Received before the request was sent, so it can't be a reply to it. Posted, as the caller does not expect the result
        // within its call.
        asio::post(m_socket.get_executor(), [self = shared_from_this(), exchange = m_exchangeCount] {
            if (self->m_state == state::open && self->m_exchangePending && self->m_exchangeCount == exchange)
                self->failConnection();
        });
        return;
    }
    write();
}

void http_channel::write()
{
    m_writePending = true;
    asio::async_write(m_socket, asio::buffer(m_request), [self = shared_from_this()](const beast::error_code& error, std::size_t written) {
        self->m_writePending = false;
        self->m_anyWritten = self->m_anyWritten || written > 0;
        if (self->m_failAfterWrite || (error && self->m_state == state::open))
            self->failConnection();
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
    if (error == asio::error::eof && m_exchangePending && m_parser && m_parser->is_header_done() && m_parser->need_eof()) {
        beast::error_code ignored;
        m_parser->put_eof(ignored);
        m_mustClose = true;
        handleReply();
        return;
    }
    if (error) {
        failConnection();
        return;
    }
    handleData(m_buffer.data(), count);
    if (m_state == state::open)
        read();
}

void http_channel::handleData(const char* data, std::size_t count)
{
    if (!m_exchangePending || (!m_writePending && !m_anyWritten)) {
        failConnection(); // received data without a pending request, or before it was sent
        return;
    }
    m_unparsed.append(data, count);
    m_receivedBytes += count;
    if (m_budgetAccount)
        m_budgetAccount->add(count);
    while (m_state == state::open && m_exchangePending && !m_unparsed.empty() && parse())
        handleReply();
    if (m_state == state::open && m_exchangePending && (m_unparsed.size() > maxUnparsedBytes || m_receivedBytes > maxReceivedBytes))
        failConnection();
}

// Parses received data. True if a reply is complete.
bool http_channel::parse()
{
    beast::error_code error;
    const auto consumed = m_parser->put(asio::buffer(m_unparsed), error);
    m_unparsed.erase(0, consumed);
    if ((error && error != http::error::need_more) || !checkHead()) {
        failConnection();
        return false;
    }
    return m_parser->is_done();
}

// False if the head was received and can't be that of a reply.
bool http_channel::checkHead()
{
    if (m_headChecked || !m_parser->is_header_done())
        return true;
    m_headChecked = true;
    const auto& message = m_parser->get();
    return isValidReplyHead(message.result_int(), copyFields(message), message.version() % 10);
}

void http_channel::startParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->skip(m_isHead);
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(maxReplyBytes);
    m_headChecked = false;
}

// Continues with the next reply after an interim or discarded one.
void http_channel::skipReply()
{
    if (++m_skippedReplies > maxSkippedReplies)
        failConnection();
    else
        startParser();
}

void http_channel::handleReply()
{
    const bool keepAlive = m_parser->keep_alive();
    auto message = m_parser->release();
    if (message.result_int() < firstFinalStatus) {
        skipReply();
        return;
    }
    exchange_result result;
    result.stage = exchange_stage::replied;
    result.reply.status = message.result_int();
    result.reply.fields = copyFields(message);
    result.reply.body = std::move(message.body());
    if (m_matches && !m_matches(result.reply)) {
        m_mustClose = true; // a reply to an earlier request, the reply to this one may follow
        if (keepAlive)
            skipReply();
        else
            failConnection();
        return;
    }
    if (const auto seconds = parseKeepAliveTimeout(result.reply.field("Keep-Alive")))
        m_idleLimit = std::chrono::seconds(std::clamp<std::int64_t>(*seconds, 0, maxIdleLimitSeconds));
    if (m_idleLimit)
        m_usableUntil = monotonic_clock::now() + *m_idleLimit - idleMargin;
    if (!keepAlive || m_mustClose || m_writePending || !m_unparsed.empty()) {
        m_state = state::closed;
        beast::error_code ignored;
        m_socket.close(ignored);
    }
    finish(std::move(result));
}

void http_channel::finish(exchange_result result)
{
    m_exchangePending = false;
    m_parser.reset();
    m_matches = nullptr;
    m_request.clear();
    m_unparsed.clear();
    releaseBudget();
    auto handler = std::exchange(m_onReply, nullptr);
    const bool closed = m_state == state::closed;
    const auto self = shared_from_this();
    if (handler)
        handler(std::move(result));
    else if (closed && m_onClosed)
        std::exchange(m_onClosed, nullptr)();
}

void http_channel::failConnection()
{
    m_state = state::closed;
    beast::error_code ignored;
    m_socket.close(ignored);
    m_failAfterWrite = m_writePending && m_exchangePending;
    if (m_failAfterWrite)
        return; // the closed socket ends the write, whose handler knows whether any byte was written
    exchange_result result;
    result.stage = m_anyWritten ? exchange_stage::no_reply : exchange_stage::not_written;
    finish(std::move(result));
}

void http_channel::close()
{
    m_onReply = nullptr;
    m_onClosed = nullptr;
    m_parser.reset();
    m_unparsed.clear();
    releaseBudget();
    if (m_state == state::closed)
        return;
    m_state = state::closed;
    m_openTimer.cancel();
    beast::error_code ignored;
    m_socket.close(ignored);
}

} // namespace limpetpier
