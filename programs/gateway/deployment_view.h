#pragma once

#include <memory>
#include <set>

#include "gateway_settings.h"
#include "limpetpier/coordination/member_share.h"
#include "limpetpier/transport/store_follower.h"
#include "peer_views.h"

namespace limpetpier {

// What one process knows of its deployment: the operator's configuration, the searchers, the zones to be emptied and the
// live members. It comes from the platform's store, or from peers while the store turns this process away.
class deployment_view {
public:
    // onReachable: the store stopped or began again to answer.
    deployment_view(asio::any_io_executor executor, const gateway_protocol& protocol, metadata_store& store, const gateway_settings& settings, std::function<void(bool)> onReachable);

    void start();

    // Takes this process off the member list.
    void leave() { m_membership.leave(); }

    // Drops lapsed entries, counts the members anew, asks peers when the store is away. For a call every 100 ms or so.
    void maintain(monotonic_time now);

    // Null before the first configuration.
    [[nodiscard]] const std::shared_ptr<const routing_table>& table() const { return m_table; }
    [[nodiscard]] const searcher_directory& directory() const { return m_directory; }
    [[nodiscard]] const std::set<data_centre_id>& evacuatedZones() const { return m_evacuated; }
    [[nodiscard]] const member_share& share() const { return m_share; }

    // True once the number of members is known well enough to share what is common.
    [[nodiscard]] bool isSettled() const { return m_settled; }

    [[nodiscard]] bool isReachable() const { return m_store.isReachable(); }

    // When the store last answered this process, or the peer whose view is in force.
    [[nodiscard]] monotonic_time lastStoreContact() const { return std::max(m_peerViewAt, m_store.lastAnswer()); }

    // Since the store's last answer to this process; negative before the first.
    [[nodiscard]] milliseconds age() const;

    // What changed since the last call.
    struct changes {
        std::set<searcher_id> searchers;
        bool rules = false; // table, members or evacuations

        [[nodiscard]] bool none() const { return searchers.empty() && !rules; }
    };
    changes takeChanges() { return std::exchange(m_changes, {}); }

    // The bounds that are shared have changed.
    void notifyBoundsChanged() { m_changes.rules = true; }

private:
    void replace(const std::vector<store_item>& items, bool afterOutage);
    void apply(const store_item& item, bool afterOutage);
    void applyOperator(const store_item& item);
    void adoptTable(const std::string& text);
    void applySearcher(const store_item& item, bool afterOutage);
    std::optional<searcher_entry> readSearcher(const store_item& item) const;
    void changeMembers();
    void settle(monotonic_time now);
    [[nodiscard]] std::optional<view_reply> giveView(const view_request& request) const;
    void adoptView(const view_reply& view);
    void replaceBy(const view_reply& view, monotonic_time now);
    [[nodiscard]] std::uint64_t revision() const; // of the store, as of this view; 0 before the first
    void askPeers(monotonic_time now);

    asio::any_io_executor m_executor;
    const gateway_protocol& m_protocol;
    const gateway_settings& m_settings;
    std::shared_ptr<const routing_table> m_table;
    std::string m_tableText; // of m_table, as it lies in the store
    searcher_directory m_directory;
    std::set<data_centre_id> m_evacuated;
    member_share m_share;
    store_follower m_store;
    membership m_membership;
    std::unique_ptr<peer_views> m_peers;
    monotonic_time m_peerViewAt {}; // when the store last answered the peer whose view is in force
    std::uint64_t m_peerRevision = 0; // of that view
    monotonic_time m_askPeersAt {};
    std::size_t m_peersAsked = 0;
    changes m_changes;
    bool m_settled = false;
    monotonic_time m_begun = monotonic_clock::now();
    monotonic_time m_membersChangedAt = monotonic_clock::now();
    bool m_membersChanged = false;
};

} // namespace limpetpier
