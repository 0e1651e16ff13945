#include "limpetpier/transport/endpoints.h"

#include <boost/asio.hpp>

#include "limpetpier/state/errors.h"

namespace limpetpier {

asio::ip::tcp::endpoint parseTcpEndpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    const auto throwInvalid = [&] { throw settings_error("address '" + address + "' is not of the form IP:port; give a numeric IP address and a port from 1 to 65535"); };
    if (colon == std::string::npos)
        throwInvalid();
    boost::system::error_code error;
    const auto host = asio::ip::make_address(address.substr(0, colon), error);
    const auto portText = address.substr(colon + 1);
    const bool isNumber = !portText.empty() && portText.size() <= 5 && portText.find_first_not_of("0123456789") == std::string::npos;
    if (error || !isNumber || std::stoul(portText) > 65535 || std::stoul(portText) == 0)
        throwInvalid();
    return { host, static_cast<unsigned short>(std::stoul(portText)) };
}

asio::ip::udp::endpoint parseUdpEndpoint(const std::string& address)
{
    const auto endpoint = parseTcpEndpoint(address);
    return { endpoint.address(), endpoint.port() };
}

} // namespace limpetpier
