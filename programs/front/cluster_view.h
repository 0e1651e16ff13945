#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "limpetpier/coordination/snapshot_selection.h"
#include "limpetpier/state/operator_document.h"
#include "limpetpier/transport/node_link.h"
#include "limpetpier/transport/store_client.h"

namespace limpetpier {

// Routing data of one front: its settings, pinned snapshot and owner addresses. Immutable and shared by the front's
// requests; recomputed once for each change of the cluster state.
struct front_route {
    front_spec spec;
    std::optional<pinned_snapshot> snapshot; // only for fan-out fronts, if any snapshot is reported
    std::map<searcher_id, std::string> ownerAddresses;
};

using front_route_handle = std::shared_ptr<const front_route>;

// The front process's copy of the cluster state: assignment epoch, operator document and the searcher reports of owners.
//
// Reads the store only until it has a document and a dispatcher that accepts requests; afterwards the dispatchers are
// its only source. Its mutex is a leaf in the lock order.
class cluster_view {
public:
    cluster_view(asio::any_io_executor executor, const std::string& storeAddress, std::vector<std::string> peers, link_directory& links);

    // Starts reading the store and polling the dispatchers.
    void start();

    // The current route of a front; null if the document doesn't contain the front.
    [[nodiscard]] front_route_handle route(const front_id& front) const;

    // The newest known epoch.
    [[nodiscard]] assignment_epoch epoch() const;

    // Revision of the current document; default-constructed before the first document.
    [[nodiscard]] revision_number revision() const;

    // True if a document is known and at least one dispatcher accepts requests.
    [[nodiscard]] bool isReady() const;

    // Requests a digest from every dispatcher of the epoch immediately.
    void refresh();

    // Stores a dispatcher's digest and requests its state if that has a newer epoch or document.
    void handleDigest(const node_link_handle& link, const digest_reply& digest);
    // Adopts the epoch and the document if they are newer. Logs a document that doesn't parse.
    void handleState(const state_reply& state);

    // Discards the digest of a dispatcher whose link closed or that doesn't respond: its searchers get no new queries
    // until it sends a digest again. Also discards digests of nodes that are not in the epoch.
    void discardDigests(const std::string& address);

private:
    struct node_digest {
        digest_reply digest;
        monotonic_time receivedAt;
    };

    awaitable<void> bootstrap();
    awaitable<void> poll();
    void rebuild();
    [[nodiscard]] std::shared_ptr<front_route> buildRoute(const front_spec& front, monotonic_time now) const;

    asio::any_io_executor m_executor;
    store_client m_store;
    std::vector<std::string> m_peers;
    link_directory& m_links;

    mutable std::mutex m_mutex;
    assignment_epoch m_epoch;
    operator_document m_document;
    std::map<node_id, node_digest> m_digests;
    std::map<front_id, front_route_handle> m_routes;
};

} // namespace limpetpier
