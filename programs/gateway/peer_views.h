#pragma once

#include <memory>

#include "limpetpier/transport/node_link.h"

namespace limpetpier {

// Exchanges views of the store with other gateways of the deployment: answers their requests and sends them its own.
class peer_views {
public:
    // Returns this process's view for a request; empty while it has none.
    using provider = std::function<std::optional<view_reply>(const view_request&)>;

    // Called with the view of each peer that answers.
    using receiver = std::function<void(const view_reply&)>;

    // address: IP:port to listen on for other gateways; secret: shared by the deployment's gateways, messages
    // are authenticated with it.
    peer_views(const asio::any_io_executor& executor, const std::string& address, const std::string& secret, provider provide, receiver receive);

    // Sends a request to the peers at these addresses (IP:port); the receiver gets the replies. Pending requests of
    // earlier calls are cancelled.
    void requestViews(const std::vector<std::string>& addresses, const view_request& request);

private:
    [[nodiscard]] link_handlers handlers();

    asio::any_io_executor m_executor;
    node_codec m_codec;
    provider m_provide;
    receiver m_receive;
    link_server m_server;
    std::vector<node_link_handle> m_pendingLinks; // one for each pending request
};

} // namespace limpetpier
