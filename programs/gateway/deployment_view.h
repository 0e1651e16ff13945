#pragma once

#include <memory>
#include <set>

#include "gateway_settings.h"
#include "limpetpier/coordination/member_share.h"
#include "limpetpier/transport/store_follower.h"
#include "peer_views.h"

namespace limpetpier {

// What one gateway knows of its deployment: the operator's configuration, the searchers, the zones under evacuation and
// the live members. The data comes from the platform's store, or from peers while this process can't reach the store.
class deployment_view {
public:
    // onReachable is called with false when the store stops answering and with true when it answers again. The settings
    // must outlive this object.
    deployment_view(asio::any_io_executor executor, const gateway_protocol& protocol, metadata_store& store, const gateway_settings& settings, std::function<void(bool)> onReachable);

    // Starts to follow the store, joins the member list and, if there is a node secret, listens for peers.
    void start();

    // Removes this process from the member list.
    void leave() { m_membership.leave(); }

    // Finds out whether the store still answers this process, after requests could not be sent to any searcher.
    void probeStore() { m_membership.probeStore(); }

    // Removes expired searchers, updates the member count and requests peer views during an outage of the store. Call
    // it about every 100 ms.
    void maintain(monotonic_time now);

    // The configuration in force; null before the first one.
    [[nodiscard]] const std::shared_ptr<const routing_table>& table() const { return m_table; }

    // The searchers that are listed in the store.
    [[nodiscard]] const searcher_directory& directory() const { return m_directory; }

    // Data centres that the operator evacuates: their searchers get no requests.
    [[nodiscard]] const std::set<data_centre_id>& evacuatedZones() const { return m_evacuatedZones; }

    // This process's part of the limits that apply to all members together.
    [[nodiscard]] const member_share& share() const { return m_share; }

    // Returns whether the member list is complete enough to divide the shared limits by it.
    [[nodiscard]] bool isSettled() const { return m_settled; }

    // Returns whether this process was on the first member list that it read: a process of the same name ran before it.
    [[nodiscard]] bool wasListedBefore() const { return m_wasListedBefore.value_or(false); }

    // Addresses (IP:port) of the live members for messages between gateways.
    [[nodiscard]] std::map<node_id, std::string> memberAddresses() const;

    // Returns whether the store answers this process.
    [[nodiscard]] bool isReachable() const { return m_storeFollower.isReachable(); }

    // When the store last answered this process or, if that is later, a peer that confirmed this process's view.
    [[nodiscard]] monotonic_time lastStoreContact() const { return std::max(m_peerViewConfirmedAt, m_membership.lastStoreAnswer()); }

    // Time since the store last answered this process; negative before the first answer.
    [[nodiscard]] milliseconds age() const;

    // Parts of the view that changed.
    struct changes {
        std::set<searcher_id> searchers;
        bool rules = false; // the table, the members, the evacuated zones or the shared limits

        [[nodiscard]] bool none() const { return searchers.empty() && !rules; }
    };

    // Returns the changes since the last call and resets them.
    changes takeChanges() { return std::exchange(m_changes, {}); }

    // Reports the rules as changed because the shared limits in the settings changed.
    void notifyBoundsChanged() { m_changes.rules = true; }

private:
    void handleRestoredStore();
    void keepNewerState(std::vector<searcher_entry>& entries, monotonic_time now) const;
    [[nodiscard]] std::set<std::string> listedKeys() const; // of members and of zones under evacuation
    void replaceContents(const std::vector<store_item>& items, monotonic_time keepRemovedUntil);
    void apply(const store_item& item, monotonic_time keepRemovedUntil);
    void applyOperator(const store_item& item);
    void adoptTable(const std::string& text);
    void applySearcher(const store_item& item, monotonic_time keepRemovedUntil);
    std::optional<searcher_entry> readSearcher(const store_item& item) const;
    void updateMembers();
    void updateSettled(monotonic_time now);
    [[nodiscard]] std::optional<view_reply> makeView(const view_request& request) const;
    void adoptView(const view_reply& view);
    void replaceWith(const view_reply& view, monotonic_time now);
    [[nodiscard]] store_position position() const; // of the store, that this view reflects; zero before the first
    void requestPeerViews(monotonic_time now);

    asio::any_io_executor m_executor;
    const gateway_protocol& m_protocol;
    const gateway_settings& m_settings;
    std::shared_ptr<const routing_table> m_table;
    std::string m_tableText; // of m_table, as stored, but with digests instead of keys
    searcher_directory m_directory;
    std::set<data_centre_id> m_evacuatedZones;
    member_share m_share;
    store_follower m_storeFollower;
    membership m_membership;
    std::unique_ptr<peer_views> m_peers;
    monotonic_time m_peerViewConfirmedAt {}; // when the store last answered a peer that confirmed this view
    store_position m_position; // that this view has reflected so far
    carried_keys m_carriedKeys; // of members and of zones under evacuation
    bool m_isStoreRestored = false; // and the keys have not been read since
    monotonic_time m_copyOutdatedUntil {}; // until then, entries may be from before the store was restored
    monotonic_time m_nextPeerRequestAt {};
    std::size_t m_peerRequestCount = 0;
    changes m_changes;
    bool m_settled = false;
    std::optional<bool> m_wasListedBefore; // set when the first list has been read
    monotonic_time m_startedAt = monotonic_clock::now();
    monotonic_time m_membersChangedAt = monotonic_clock::now();
    bool m_membersChanged = false;
};

} // namespace limpetpier
