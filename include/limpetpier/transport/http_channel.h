#pragma once

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/transport/http.h"

namespace limpetpier {

// One client connection for a single-threaded process: one exchange at a time, no coroutine frames, small buffers.
//
// The connection is always read, so an end or stray bytes between exchanges are noticed at once and close it. All
// handlers run on the channel's executor; none is called after close().
class http_channel : public std::enable_shared_from_this<http_channel> {
public:
    using open_handler = std::function<void(bool opened)>;
    using reply_handler = std::function<void(exchange_result)>;
    using closed_handler = std::function<void()>;
    // Tells whether a reply belongs to the running exchange; replies that do not are discarded.
    using reply_matcher = std::function<bool(const http_reply&)>;

    static std::shared_ptr<http_channel> create(const asio::any_io_executor& executor, const asio::ip::tcp::endpoint& endpoint);

    // Called once when an open channel ends between exchanges; within one, its handler learns of it.
    void onClosed(closed_handler handler) { m_onClosed = std::move(handler); }

    // Makes the kernel end the connection when the peer has not acknowledged anything for about three seconds. For
    // connections that wait long for an answer; to be called before open().
    void enableTcpKeepAlive() { m_tcpKeepAlive = true; }

    void open(milliseconds timeout, open_handler handler);

    // Sends one request, already serialized, and passes on its whole reply. A reply is whole when its length was met, or
    // when it had none and the connection ended in order.
    void exchange(std::string request, bool isHead, reply_matcher owns, reply_handler handler);

    // Ends the connection. A running exchange is forgotten: its handler is not called.
    void close();

    [[nodiscard]] bool isOpen() const { return m_state == state::open; }
    [[nodiscard]] bool isIdle() const { return m_state == state::open && !m_busy; }
    [[nodiscard]] bool isConnecting() const { return m_state == state::connecting; }

    // Until when an idle connection may be used, by the peer's own word.
    [[nodiscard]] monotonic_time usableUntil() const { return m_usableUntil; }
    [[nodiscard]] std::optional<milliseconds> idleLimit() const { return m_idleLimit; }

    // A reply larger than this is not read.
    static constexpr std::uint64_t maxReplyBytes = 8U << 20;

private:
    enum class state : std::uint8_t {
        created,
        connecting,
        open,
        closed,
    };
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    http_channel(const asio::any_io_executor& executor, const asio::ip::tcp::endpoint& endpoint);

    void write();
    void read();
    void handleRead(const boost::system::error_code& error, std::size_t count);
    void feed(const char* data, std::size_t count);
    bool parse();
    void startParser();
    void deliver();
    void finish(exchange_result result);
    void end();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_openTimer;
    asio::ip::tcp::endpoint m_endpoint;
    state m_state = state::created;
    bool m_tcpKeepAlive = false;
    bool m_busy = false;
    bool m_isHead = false;
    bool m_written = false;
    bool m_tainted = false; // stray bytes were seen: not reused
    std::string m_request;
    std::string m_pending; // received, not yet taken by the parser
    std::optional<response_parser> m_parser;
    reply_matcher m_owns;
    reply_handler m_onReply;
    closed_handler m_onClosed;
    std::optional<milliseconds> m_idleLimit;
    monotonic_time m_usableUntil = monotonic_time::max();
    std::array<char, 2048> m_buffer {};
};

} // namespace limpetpier
