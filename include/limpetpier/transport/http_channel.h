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

#include "limpetpier/coordination/connection_budget.h"
#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/transport/http.h"

namespace limpetpier {

// An HTTP/1.1 client connection for a single-threaded process. It performs one exchange at a time, and uses callbacks
// and a small read buffer instead of coroutines.
//
// The channel always has a read pending. If the peer closes the connection or sends unexpected bytes between exchanges,
// the channel closes immediately. All handlers run on the channel's executor. None is called after close().
class http_channel : public std::enable_shared_from_this<http_channel> {
public:
    // Receives whether the connection was established.
    using open_handler = std::function<void(bool opened)>;

    // Receives the result of an exchange.
    using reply_handler = std::function<void(exchange_result)>;

    // Called when an idle connection ends.
    using closed_handler = std::function<void()>;

    // Returns true if a reply belongs to the current exchange. Other replies are discarded.
    using reply_matcher = std::function<bool(const http_reply&)>;

    // Creates an unconnected channel to an endpoint.
    static std::shared_ptr<http_channel> create(const asio::any_io_executor& executor, const asio::ip::tcp::endpoint& endpoint);

    // Sets a handler that is called once if the open connection ends between exchanges. If it ends during an exchange,
    // the reply handler is called instead.
    void onClosed(closed_handler handler) { m_onClosed = std::move(handler); }

    // Enables TCP keep-alive probes, so that the kernel aborts the connection about three seconds after the peer
    // stopped acknowledging. Intended for connections that wait long for a reply. Must be called before open().
    void enableTcpKeepAlive() { m_tcpKeepAlive = true; }

    // Connects to the endpoint. The handler receives false on failure or timeout. Must be called once.
    void open(milliseconds timeout, open_handler handler);

    // Counts the bytes of incomplete replies against a budget that channels share. An exchange whose reply must be given up
    // fails, and its connection is closed. Must be called before open().
    void useBudget(std::shared_ptr<connection_budget> budget);

    // Sends one serialized request and passes the complete reply to the handler. A reply is complete when the body has
    // the declared length or, without a declared length, when the peer shuts the connection down. isHead tells that the
    // method is HEAD, so that the reply has no body. An empty matcher accepts every reply. A reply that exceeds a limit
    // below fails the exchange and closes the connection. A connection whose peer replies before the whole request is
    // written is closed, too.
    void exchange(std::string request, bool isHead, reply_matcher matches, reply_handler handler);

    // Closes the connection. The handler of a pending exchange is not called.
    void close();

    // True if the connection is established.
    [[nodiscard]] bool isOpen() const { return m_state == state::open; }

    // True if the connection is established and no exchange is pending.
    [[nodiscard]] bool isIdle() const { return m_state == state::open && !m_exchangePending; }

    // True while open() is in progress.
    [[nodiscard]] bool isConnecting() const { return m_state == state::connecting; }

    // Time until which the idle connection can be used, derived from the idle limit that the peer announced. Unlimited
    // if it announced none.
    [[nodiscard]] monotonic_time usableUntil() const { return m_usableUntil; }

    // Idle limit that the peer announced in a Keep-Alive field, if any.
    [[nodiscard]] std::optional<milliseconds> idleLimit() const { return m_idleLimit; }

    // Maximum size of the header and of the body of a reply.
    static constexpr std::uint32_t maxHeaderBytes = 16U << 10;
    static constexpr std::uint64_t maxReplyBytes = 8U << 20;

    // Maximum number of bytes received in one exchange, including chunk framing and discarded replies.
    static constexpr std::uint64_t maxReceivedBytes = maxReplyBytes + (1U << 20);

    // Maximum number of received bytes that wait for the rest of a line.
    static constexpr std::size_t maxUnparsedBytes = maxHeaderBytes;

    // Maximum number of interim and discarded replies in one exchange.
    static constexpr unsigned maxSkippedReplies = 16;

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
    void handleData(const char* data, std::size_t count);
    bool parse();
    bool checkHead();
    void startParser();
    void skipReply();
    void handleReply();
    void releaseBudget();
    void finish(exchange_result result);
    void failConnection();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_openTimer;
    asio::ip::tcp::endpoint m_endpoint;
    state m_state = state::created;
    bool m_tcpKeepAlive = false;
    bool m_exchangePending = false;
    std::uint64_t m_exchangeCount = 0;
    bool m_isHead = false;
    bool m_writePending = false; // the request is not written completely
    bool m_failAfterWrite = false; // the exchange failed, and the pending write will tell how much was written
    bool m_anyWritten = false; // at least one byte of the request
    bool m_mustClose = false; // can't be reused after this exchange, e.g. after a discarded reply
    std::string m_request;
    std::string m_unparsed; // received, not yet consumed by the parser
    std::uint64_t m_receivedBytes = 0; // in this exchange
    std::unique_ptr<connection_budget::account> m_budgetAccount; // null if the channel has no budget
    unsigned m_skippedReplies = 0; // in this exchange
    std::optional<response_parser> m_parser;
    bool m_headChecked = false; // of the reply that is being parsed
    reply_matcher m_matches;
    reply_handler m_onReply;
    closed_handler m_onClosed;
    std::optional<milliseconds> m_idleLimit;
    monotonic_time m_usableUntil = monotonic_time::max();
    std::array<char, 2048> m_buffer {};
};

} // namespace limpetpier
