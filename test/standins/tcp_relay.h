#pragma once

#include <boost/asio.hpp>
#include <list>
#include <memory>
#include <string>

#include "limpetpier/state/clock.h"

namespace limpetpier::standins {

// Faults that a relay simulates.
struct relay_faults {
    std::uint64_t generation = 0; // connections accepted under an earlier number forward no more data
    bool passesForward = true; // false: drops data towards the target
    bool passesBack = true; // false: drops data towards the client
    milliseconds delay { 0 }; // of each chunk of data, in both directions
};

// Forwards TCP connections from a loopback port to a target and simulates faults on them.
class tcp_relay {
public:
    // Port 0 selects a free port. The faults belong to the caller, must outlive the relay and may change at any time.
    tcp_relay(const boost::asio::any_io_executor& executor, unsigned short port, boost::asio::ip::tcp::endpoint target, const relay_faults& faults);

    // Returns IP:port of the listening port.
    [[nodiscard]] std::string address() const;

    // Forwards new connections to another target.
    void redirect(const boost::asio::ip::tcp::endpoint& target) { m_target = target; }

    // Closes all open connections with a TCP reset.
    void reset();

private:
    using socket_handle = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> copy(socket_handle source, socket_handle destination, std::uint64_t generation, bool forward);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    const relay_faults& m_faults;
    std::list<std::weak_ptr<boost::asio::ip::tcp::socket>> m_open;
};

} // namespace limpetpier::standins
