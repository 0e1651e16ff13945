#include "peer_views.h"

#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr const char* deploymentName = "limpetpier-gateway";

} // namespace

peer_views::peer_views(const asio::any_io_executor& executor, const std::string& address, const std::string& secret, provider provide, receiver receive)
    : m_executor(executor)
    , m_codec(deploymentName, secret)
    , m_provide(std::move(provide))
    , m_receive(std::move(receive))
    , m_server(executor, parseTcpEndpoint(address), m_codec, handlers())
{
}

void peer_views::requestViews(const std::vector<std::string>& addresses, const view_request& request)
{
    for (const auto& link : std::exchange(m_pendingLinks, {}))
        link->close();
    for (const auto& address : addresses) {
        m_pendingLinks.push_back(std::make_shared<node_link>(m_executor, m_codec, handlers(), address));
        m_pendingLinks.back()->connect();
        m_pendingLinks.back()->send(request);
    }
}

link_handlers peer_views::handlers()
{
    link_handlers result;
    result.onMessage = [this](const node_link_handle& link, const node_message& message) {
        if (const auto* request = std::get_if<view_request>(&message)) {
            if (const auto view = m_provide(*request))
                link->send(*view);
        } else if (const auto* view = std::get_if<view_reply>(&message)) {
            m_receive(*view);
            link->close();
        }
    };
    result.onClosed = [this](const node_link_handle& link, bool) {
        std::erase(m_pendingLinks, link);
    };
    result.onBadFrame = [](const std::string& what) { logEvent(event::bad_frame, event_fields().add("error", what)); };
    return result;
}

} // namespace limpetpier
