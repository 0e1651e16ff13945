#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>

#include "limpetpier/coordination/member_share.h"
#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/store_follower.h"

namespace limpetpier {

// Intervals of a process's entry in the member list.
struct membership_timing {
    milliseconds leaseTtl { 6000 }; // time to live of the lease that the entry is bound to
    milliseconds renewalInterval { 2000 }; // between two renewals of the lease
    milliseconds silenceTimeout { 2000 }; // a renewal is sent early if the store has answered no call for this long
    milliseconds watchCheckInterval { 1800 }; // minimum time between two checks of a silent watch for missed changes
};

// Registers this process in the member list in the platform's store, under a lease that it renews, and holds a copy of
// that list.
class membership {
public:
    // self: this process's name and zone; peerAddress: IP:port that other members connect to. The store's answers to
    // the calls of this class are reported to the follower, which keeps the watch on the store.
    membership(const asio::any_io_executor& executor, metadata_store& store, store_follower& follower, listed_member self, std::string peerAddress, membership_timing timing);

    // Acquires the lease and writes the entry of this process; retries until both succeed.
    void start();

    // When this process first sent its own entry to the store; the maximum before.
    [[nodiscard]] monotonic_time entrySentAt() const { return m_entrySentAt; }

    // Renews the lease now if the store has been silent for minSilenceBeforeProbe, to find out whether it still answers.
    void probeStore();

    // Acquires a new lease and writes the entry again, after the store may have lost both. The old lease is neither renewed
    // nor ended, as the store may have given its number to another process.
    void rejoin();

    // Ends the lease, which removes this process from the list, and stops renewing it.
    void leave();

    // When the store last answered a call of this process or its watch.
    [[nodiscard]] monotonic_time lastStoreAnswer() const;

    // One live process.
    struct member {
        data_centre_id zone;
        std::string address; // IP:port for other members
    };

    // Applies a change of one key of the list to the copy.
    void apply(const store_item& item);

    // Empties the copy, before the list is read anew.
    void clear() { m_members.clear(); }

    // Returns the keys of the copy in the store.
    [[nodiscard]] std::set<std::string> keys() const;

    // Sets a member from its encoded entry. An entry without a zone is accepted; its zone is empty.
    void put(const node_id& node, const std::string& entry);

    // Encodes a member's entry as it is stored: address, a space, zone.
    [[nodiscard]] static std::string encode(const member& member) { return member.address + " " + member.zone.value(); }

    // Returns whether a key of the store belongs to the member list.
    [[nodiscard]] static bool isMemberKey(const std::string& key);

    // Live processes by name, including this one once its entry has been read.
    [[nodiscard]] const std::map<node_id, member>& members() const { return m_members; }

    // Names and zones of the live processes, in the order of their names.
    [[nodiscard]] std::vector<listed_member> list() const;

private:
    void acquire();
    void writeOwnEntry(lease_id lease);
    void renew();
    void checkWatch();
    void scheduleRenewal();
    void scheduleRetry(monotonic_time failedCallSentAt, void (membership::*step)());
    void scheduleStep(milliseconds delay, void (membership::*step)());

    metadata_store& m_store;
    store_follower& m_follower;
    boost::asio::steady_timer m_timer;
    node_id m_ownId;
    member m_ownEntry;
    membership_timing m_timing;
    lease_id m_lease;
    monotonic_time m_renewedAt {}; // last renewal, or the write of the entry under a new lease
    monotonic_time m_watchCheckedAt {};
    bool m_renewing = false;
    monotonic_time m_entrySentAt = monotonic_time::max();
    std::uint64_t m_callId = 0; // of the latest call; answers to earlier calls are ignored
    bool m_leaving = false;
    std::map<node_id, member> m_members;
};

} // namespace limpetpier
