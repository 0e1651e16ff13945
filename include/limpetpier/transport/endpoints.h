#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

namespace limpetpier {

namespace asio = boost::asio;
using asio::awaitable;

// Endpoints from "IP:port"; host names are not looked up. Throw settings_error.
asio::ip::tcp::endpoint parseTcpEndpoint(const std::string& address);
asio::ip::udp::endpoint parseUdpEndpoint(const std::string& address);

} // namespace limpetpier
