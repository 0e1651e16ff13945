#include <boost/asio.hpp>
#include <cstdlib>

#include "gateway.h"
#include "kv_store.h"
#include "limpetpier/transport/events.h"
#include "limpetpier/transport/program.h"
#include "node_settings.h"
#include "wire_protocol.h"

namespace limpetpier {

namespace {

// Longest wait for the store's answer to an ordinary call.
constexpr milliseconds storeTimeout { 1000 };

// Time to live in the member list, in multiples of the store's shortest.
constexpr int memberLifeFactor = 6;

gateway_settings toGatewaySettings(const platform::node_settings& node)
{
    gateway_settings settings;
    settings.node = node.node;
    settings.zone = node.zone;
    settings.clientAddress = node.clientAddress;
    settings.readyAddress = node.readyAddress;
    settings.peerAddress = node.ip + ":" + std::to_string(node.firstPeerPort);
    settings.bounds = { node.retryShare, node.retrySlack, node.retryWindow, node.coldFactor, node.coldSlack };
    settings.stopGrace = node.stopGrace;
    settings.memberLife = node.shortestLease * memberLifeFactor;
    return settings;
}

int run(int, char**)
{
    const auto node = platform::readNodeSettings(platform::nodeSettingsPath());
    startLog(node.node.value());
    asio::io_context io(1);
    const platform::wire_protocol protocol;
    platform::kv_store store(io.get_executor(), node.storeAddress, storeTimeout);
    gateway process(io, protocol, store, toGatewaySettings(node));
    process.start();
    logEvent(event::started, "http=" + node.clientAddress);
    io.run();
    std::_Exit(EXIT_SUCCESS); // the operating system closes what is open; nothing is kept
}

} // namespace

} // namespace limpetpier

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-gateway", limpetpier::run, argc, argv);
}
