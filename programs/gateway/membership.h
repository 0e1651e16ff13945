#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

#include "limpetpier/coordination/member_share.h"
#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/store_follower.h"

namespace limpetpier {

struct membership_timing {
    milliseconds leaseTtl { 6000 }; // time to live of an entry
    milliseconds renewalInterval { 2000 }; // between renewals
    milliseconds silenceTimeout { 2000 }; // without any answer of the store for this long, a renewal shows whether it answers
    milliseconds watchCheckInterval { 1800 }; // between checks whether a watch that is silent has missed a change
};

// Keeps this process on the list of live processes in the platform's store, under a lease, and holds that list.
class membership {
public:
    membership(const asio::any_io_executor& executor, metadata_store& store, store_follower& follower, listed_member self, std::string peerAddress, membership_timing timing);

    void start();

    // Leaves the list; the lease is ended.
    void leave();

    struct member {
        data_centre_id zone;
        std::string address; // for other members
    };

    // Takes over one key of the list, or forgets all before a new read.
    void apply(const store_item& item);
    void clear() { m_members.clear(); }

    // Takes over an entry as it lies in the store.
    void put(const node_id& node, const std::string& entry);

    // The entry of a member as it lies in the store.
    [[nodiscard]] static std::string encode(const member& member) { return member.address + " " + member.zone.value(); }

    // True for keys of the list.
    [[nodiscard]] static bool isMemberKey(const std::string& key);

    // Live processes.
    [[nodiscard]] const std::map<node_id, member>& members() const { return m_members; }
    [[nodiscard]] std::vector<listed_member> list() const;

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
    member m_own;
    membership_timing m_timing;
    lease_id m_lease;
    monotonic_time m_renewed {}; // last renewal, or the grant
    monotonic_time m_watchChecked {};
    bool m_leaving = false;
    std::map<node_id, member> m_members;
};

} // namespace limpetpier
