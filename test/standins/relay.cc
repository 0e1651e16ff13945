// Fake of the network between two processes: forwards TCP and UDP for a range of ports and simulates network faults.
//
// The control port (one before the first listening port) accepts GET /control?action=ACTION with these actions:
//   silence   drops all data on connections that are open now, without closing them; new connections work
//   block     drops all data in both directions, also on new connections
//   one-way   forwards data towards the target only
//   clear     forwards all data again, except on silenced connections

#include <boost/asio.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

#include "limpetpier/transport/http.h"
#include "limpetpier/transport/settings.h"
#include "tcp_relay.h"

using namespace limpetpier;
using udp = asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t bufferBytes = 16U << 10;

awaitable<void> relayUdpReplies(std::shared_ptr<udp::socket> upstream, udp::socket& listener, udp::endpoint client, const standins::relay_faults& faults)
{
    std::vector<char> buffer(bufferBytes);
    for (;;) {
        error_code error;
        const auto count = co_await upstream->async_receive(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (!error && faults.passesBack)
            listener.send_to(asio::buffer(buffer.data(), count), client, 0, error);
    }
}

awaitable<void> relayUdp(udp::endpoint listen, udp::endpoint target, const standins::relay_faults& faults)
{
    const auto executor = co_await asio::this_coro::executor;
    udp::socket socket(executor, listen);
    std::map<udp::endpoint, std::shared_ptr<udp::socket>> upstreams;
    std::vector<char> buffer(bufferBytes);
    for (;;) {
        udp::endpoint client;
        error_code error;
        const auto count = co_await socket.async_receive_from(asio::buffer(buffer), client, asio::redirect_error(asio::use_awaitable, error));
        if (error || !faults.passesForward)
            continue;
        auto& upstream = upstreams[client];
        if (!upstream) {
            upstream = std::make_shared<udp::socket>(executor, udp::endpoint(udp::v4(), 0));
            upstream->connect(target, error);
            asio::co_spawn(executor, relayUdpReplies(upstream, socket, client, faults), asio::detached);
        }
        upstream->send(asio::buffer(buffer.data(), count), 0, error);
    }
}

void applyAction(standins::relay_faults& faults, const std::string& target)
{
    if (target.ends_with("silence"))
        ++faults.generation;
    faults.passesForward = !target.ends_with("block");
    faults.passesBack = !target.ends_with("block") && !target.ends_with("one-way");
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const std::vector<setting> table {
            { "listen-port", "", "First port to listen on; the control port is the one before it", setting_kind::number, true, 1025, 65000, false },
            { "target-port", "", "First port to forward to", setting_kind::number, true, 1025, 65000, false },
            { "count", "1", "Number of ports", setting_kind::number, true, 1, 1000, false },
        };
        const auto settings = program_settings::read("relay", "Forwards TCP and UDP ports and simulates network faults.", table, argc, argv);
        const auto loopback = asio::ip::make_address("127.0.0.1");
        const auto listenPort = static_cast<unsigned short>(settings.number("listen-port"));
        const auto targetPort = static_cast<unsigned short>(settings.number("target-port"));
        asio::io_context io(1);
        standins::relay_faults faults;
        std::vector<std::unique_ptr<standins::tcp_relay>> relays;
        for (std::int64_t offset = 0; offset < settings.number("count"); ++offset) {
            const auto from = static_cast<unsigned short>(listenPort + offset);
            const auto to = static_cast<unsigned short>(targetPort + offset);
            relays.push_back(std::make_unique<standins::tcp_relay>(io.get_executor(), from, asio::ip::tcp::endpoint(loopback, to), faults));
            asio::co_spawn(io, relayUdp({ loopback, from }, { loopback, to }, faults), asio::detached);
        }
        http_server control(io.get_executor(), { loopback, static_cast<unsigned short>(listenPort - 1) }, {}, [&](http_request request) -> awaitable<http_reply> {
            applyAction(faults, request.target);
            co_return http_reply {};
        });
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](const error_code&, int) { io.stop(); });
        io.run();
        std::_Exit(EXIT_SUCCESS);
    } catch (const std::exception& error) {
        std::cerr << "relay: " << error.what() << "\n";
        return 2;
    }
}
