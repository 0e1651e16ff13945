#include "permit_port.h"

#include "limpetpier/state/errors.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr const char* deploymentName = "limpetpier-permits";

} // namespace

struct permit_port::receiver : std::enable_shared_from_this<receiver> {
    receiver(const asio::any_io_executor& executor, const std::string& address, const node_codec& usedCodec, handler usedHandler)
        : socket(executor, parseUdpEndpoint(address))
        , codec(usedCodec)
        , onMessage(std::move(usedHandler))
    {
        socket.non_blocking(true);
    }

    void receive()
    {
        socket.async_receive_from(asio::buffer(buffer), sender, [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
            if (!self->socket.is_open() || error == asio::error::operation_aborted)
                return;
            if (!error)
                self->handle({ self->buffer.data(), size });
            self->receive();
        });
    }

    void handle(std::string_view datagram)
    {
        permit_message message;
        try {
            message = codec.openPermitDatagram(datagram);
        } catch (const frame_error& error) {
            logEvent(event::bad_frame, event_fields().add("error", error.what()));
            return;
        }
        onMessage(message, sender);
    }

    asio::ip::udp::socket socket;
    node_codec codec;
    handler onMessage;
    asio::ip::udp::endpoint sender;
    std::array<char, maxDatagramBytes> buffer {};
};

permit_port::permit_port(const asio::any_io_executor& executor, const std::string& address, const std::string& secret, handler onMessage)
    : m_codec(deploymentName, secret)
    , m_receiver(std::make_shared<receiver>(executor, address, m_codec, std::move(onMessage)))
{
    m_receiver->receive();
}

permit_port::~permit_port()
{
    boost::system::error_code ignored;
    m_receiver->socket.close(ignored);
}

void permit_port::send(const permit_message& message, const asio::ip::udp::endpoint& peer)
{
    boost::system::error_code ignored;
    m_receiver->socket.send_to(asio::buffer(m_codec.sealDatagram(message)), peer, 0, ignored);
}

} // namespace limpetpier
