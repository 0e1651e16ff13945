#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

namespace limpetpier {

namespace asio = boost::asio;
using asio::awaitable;

// Parses a TCP endpoint in the form "IP:port". Host names are not resolved. Throws settings_error if the text is
// invalid.
asio::ip::tcp::endpoint parseTcpEndpoint(const std::string& address);

// Parses a UDP endpoint in the same form as parseTcpEndpoint().
asio::ip::udp::endpoint parseUdpEndpoint(const std::string& address);

} // namespace limpetpier
