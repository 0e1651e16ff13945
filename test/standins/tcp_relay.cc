#include "tcp_relay.h"

#include <vector>

namespace limpetpier::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t bufferBytes = 16U << 10;

} // namespace

tcp_relay::tcp_relay(const asio::any_io_executor& executor, unsigned short port, tcp::endpoint target, const relay_faults& faults)
    : m_acceptor(executor, tcp::endpoint(asio::ip::address_v4::loopback(), port))
    , m_target(std::move(target))
    , m_faults(faults)
{
    asio::co_spawn(executor, accept(), asio::detached);
}

std::string tcp_relay::address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

void tcp_relay::reset()
{
    for (const auto& weak : std::exchange(m_open, {})) {
        error_code ignored;
        if (const auto socket = weak.lock(); socket && socket->is_open()) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }
}

asio::awaitable<void> tcp_relay::accept()
{
    const auto executor = m_acceptor.get_executor();
    for (;;) {
        error_code error;
        auto client = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error)));
        if (error == asio::error::operation_aborted)
            co_return;
        auto server = std::make_shared<tcp::socket>(executor);
        if (!error)
            co_await server->async_connect(m_target, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            continue;
        client->set_option(tcp::no_delay(true), error);
        server->set_option(tcp::no_delay(true), error);
        m_open.remove_if([](const auto& weak) { return weak.expired(); });
        m_open.push_back(client);
        m_open.push_back(server);
        asio::co_spawn(executor, copy(client, server, m_faults.generation, true), asio::detached);
        asio::co_spawn(executor, copy(server, client, m_faults.generation, false), asio::detached);
    }
}

// Copies one direction of a connection. While a fault blocks the direction, the data is read and dropped.
asio::awaitable<void> tcp_relay::copy(socket_handle source, socket_handle destination, std::uint64_t generation, bool forward)
{
    std::vector<char> buffer(bufferBytes);
    asio::steady_timer timer(source->get_executor());
    error_code error;
    for (;;) {
        const auto count = co_await source->async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        const bool passes = generation == m_faults.generation && (forward ? m_faults.passesForward : m_faults.passesBack);
        if (error && !passes)
            co_return; // does not forward the close
        if (error)
            break;
        if (passes && m_faults.delay.count() > 0) {
            timer.expires_after(m_faults.delay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        if (passes)
            co_await asio::async_write(*destination, asio::buffer(buffer.data(), count), asio::redirect_error(asio::use_awaitable, error));
    }
    destination->close(error);
    source->close(error);
}

} // namespace limpetpier::standins
