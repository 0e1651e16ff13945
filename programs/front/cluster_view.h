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

// Everything that a query of one front needs, computed once for each change. Immutable and shared by its queries.
struct front_route {
    front_spec spec;
    std::optional<pinned_snapshot> snapshot;
    std::map<searcher_id, std::string> ownerAddresses;
};

using front_route_handle = std::shared_ptr<const front_route>;

// The front process's knowledge of the cluster: epoch, document, and what owners report of their searchers.
//
// It reads the store only until it knows an epoch and a document; from then on it hears from the dispatchers.
// Its mutex is a leaf in the lock order.
class cluster_view {
public:
    cluster_view(asio::any_io_executor executor, const std::string& storeAddress, std::vector<std::string> peers, link_directory& links);

    void start();

    // The front with its present route; null if the document does not name it.
    [[nodiscard]] front_route_handle route(const front_id& front) const;

    [[nodiscard]] assignment_epoch epoch() const;
    [[nodiscard]] revision_number revision() const;

    // True once there is a document and a dispatcher that takes work.
    [[nodiscard]] bool isReady() const;

    // Asks all dispatchers for news at once.
    void refresh();

    void handleDigest(const node_link_handle& link, const digest_reply& digest);
    void handleState(const state_reply& state);

    // The link to a dispatcher broke: its searchers are not asked again before it answers.
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
