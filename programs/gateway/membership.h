#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/store_follower.h"

namespace limpetpier {

// Keeps this process on the list of live processes in the platform's store, under a lease, and follows that list.
class membership {
public:
    using change_handler = std::function<void(const std::vector<node_id>&)>;

    membership(const asio::any_io_executor& executor, metadata_store& store, node_id self, std::string peerAddress, milliseconds timeToLive, change_handler onChange);

    void start();

    // Leaves the list; the lease is ended.
    void leave();

    [[nodiscard]] const std::map<node_id, std::string>& members() const { return m_members; }

private:
    void acquire();
    void announce(lease_id lease);
    void renew();
    void later(milliseconds delay, void (membership::*step)());
    void replace(const std::vector<store_item>& items);
    void change(const store_item& item);

    metadata_store& m_store;
    store_follower m_follower;
    boost::asio::steady_timer m_timer;
    node_id m_self;
    std::string m_peerAddress;
    milliseconds m_timeToLive;
    change_handler m_onChange;
    lease_id m_lease;
    bool m_leaving = false;
    std::map<node_id, std::string> m_members; // address for other nodes
};

} // namespace limpetpier
