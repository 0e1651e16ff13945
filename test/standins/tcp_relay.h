#pragma once

#include <boost/asio.hpp>
#include <list>
#include <memory>
#include <string>

#include "limpetpier/state/clock.h"

namespace limpetpier::standins {

// What a relay does with what it should pass on.
struct relay_faults {
    std::uint64_t generation = 0; // connections of earlier generations are silent
    bool passesForward = true;
    bool passesBack = true;
    milliseconds delay { 0 }; // of each piece, in both directions
};

// Forwards the connections of a loopback port to another, and lets them suffer the faults.
class tcp_relay {
public:
    // Port 0 takes a free one. The faults are the caller's and may change at any time.
    tcp_relay(const boost::asio::any_io_executor& executor, unsigned short port, boost::asio::ip::tcp::endpoint target, const relay_faults& faults);

    [[nodiscard]] std::string address() const;

    // New connections go to another target.
    void redirect(const boost::asio::ip::tcp::endpoint& target) { m_target = target; }

    // Ends all open connections with a reset.
    void reset();

private:
    using socket_handle = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> copy(socket_handle from, socket_handle to, std::uint64_t generation, bool forward);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    const relay_faults& m_faults;
    std::list<std::weak_ptr<boost::asio::ip::tcp::socket>> m_open;
};

} // namespace limpetpier::standins
