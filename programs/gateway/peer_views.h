#pragma once

#include <memory>

#include "limpetpier/transport/node_link.h"

namespace limpetpier {

// Gives other gateways of the deployment this one's view of the store, and asks them for theirs.
class peer_views {
public:
    using provider = std::function<std::optional<view_reply>(const view_request&)>; // nothing while there is no view
    using receiver = std::function<void(const view_reply&)>;

    // address: IP:port for other gateways; secret: shared by the deployment's nodes.
    peer_views(const asio::any_io_executor& executor, const std::string& address, const std::string& secret, provider provide, receiver receive);

    // Asks some peers; the views of those that answer come to the receiver. Gives up those asked before.
    void requestViews(const std::vector<std::string>& addresses, const view_request& request);

private:
    [[nodiscard]] link_handlers handlers();

    asio::any_io_executor m_executor;
    node_codec m_codec;
    provider m_provide;
    receiver m_receive;
    link_server m_server;
    std::vector<node_link_handle> m_asking; // requests under way
};

} // namespace limpetpier
