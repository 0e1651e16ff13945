#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/store_follower.h"

namespace limpetpier {

struct member_times {
    milliseconds life { 6000 }; // time to live of an entry
    milliseconds renewal { 2000 }; // between renewals
    milliseconds silence { 2000 }; // without any answer of the store for this long, a renewal shows whether it answers
};

// Keeps this process on the list of live processes in the platform's store, under a lease, and holds that list.
class membership {
public:
    membership(const asio::any_io_executor& executor, metadata_store& store, store_follower& follower, node_id self, std::string peerAddress, member_times times);

    void start();

    // Leaves the list; the lease is ended.
    void leave();

    // Takes over one key of the list, or forgets all before a new read.
    void apply(const store_item& item);
    void clear() { m_members.clear(); }
    void put(const node_id& node, const std::string& address) { m_members[node] = address; }

    // True for keys of the list.
    [[nodiscard]] static bool owns(const std::string& key);

    // Live processes and their addresses for each other.
    [[nodiscard]] const std::map<node_id, std::string>& members() const { return m_members; }
    [[nodiscard]] std::vector<node_id> names() const;

private:
    void acquire();
    void announce(lease_id lease);
    void renew();
    void checkWatch();
    [[nodiscard]] monotonic_time lastHeard() const;
    void awaitRenewal();
    void later(milliseconds delay, void (membership::*step)());

    metadata_store& m_store;
    store_follower& m_follower;
    boost::asio::steady_timer m_timer;
    node_id m_self;
    std::string m_peerAddress;
    member_times m_times;
    lease_id m_lease;
    monotonic_time m_renewed {}; // last renewal, or the grant
    bool m_leaving = false;
    std::map<node_id, std::string> m_members;
};

} // namespace limpetpier
