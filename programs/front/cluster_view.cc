#include "cluster_view.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "limpetpier/coordination/ownership.h"
#include "limpetpier/coordination/section_edit.h"
#include "limpetpier/state/errors.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

constexpr milliseconds pollInterval { 1000 };
constexpr milliseconds storeTimeout { 400 };
constexpr milliseconds bootstrapRetryDelay { 200 };

// Older digests are discarded, and the searchers in them get no new queries.
constexpr milliseconds digestLifetime { 3500 };

} // namespace

cluster_view::cluster_view(asio::any_io_executor executor, const std::string& storeAddress, std::vector<std::string> peers, link_directory& links)
    : m_executor(std::move(executor))
    , m_store(m_executor, storeAddress, storeTimeout)
    , m_peers(std::move(peers))
    , m_links(links)
{
}

void cluster_view::start()
{
    asio::co_spawn(asio::make_strand(m_executor), bootstrap(), asio::detached);
    asio::co_spawn(asio::make_strand(m_executor), poll(), asio::detached);
}

front_route_handle cluster_view::route(const front_id& front) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_routes.find(front);
    return found == m_routes.end() ? nullptr : found->second;
}

assignment_epoch cluster_view::epoch() const
{
    const std::lock_guard lock(m_mutex);
    return m_epoch;
}

revision_number cluster_view::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_document.revision;
}

bool cluster_view::isReady() const
{
    const std::lock_guard lock(m_mutex);
    const bool isDispatcherAccepting = std::any_of(m_digests.begin(), m_digests.end(), [](const auto& entry) { return entry.second.digest.acceptsRequests; });
    return m_document.revision > revision_number {} && isDispatcherAccepting;
}

// Reads the store until a dispatcher accepts requests. Asks the configured peers while the store is unavailable.
awaitable<void> cluster_view::bootstrap()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!isReady()) {
        try {
            const auto storedDocument = co_await m_store.get(documentKey);
            const auto storedEpoch = co_await m_store.get(epochKey);
            if (storedDocument.version > 0 && storedEpoch.version > 0)
                handleState({ parseEpoch(storedEpoch.text), storedDocument.text });
        } catch (const limpet_error&) {
            for (const auto& peer : m_peers)
                m_links.send(peer, state_request {});
        }
        timer.expires_after(bootstrapRetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

awaitable<void> cluster_view::poll()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        refresh();
        rebuild();
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void cluster_view::refresh()
{
    std::vector<std::pair<std::string, std::uint64_t>> requests;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& member : m_epoch.members) {
            const auto found = m_digests.find(member.id);
            requests.emplace_back(member.address, found == m_digests.end() ? 0 : found->second.digest.fingerprint);
        }
    }
    for (const auto& [address, knownFingerprint] : requests)
        m_links.send(address, digest_request { knownFingerprint });
}

void cluster_view::handleDigest(const node_link_handle& link, const digest_reply& digest)
{
    bool isSenderNewer = false;
    {
        const std::lock_guard lock(m_mutex);
        auto& entry = m_digests[digest.from];
        entry.receivedAt = monotonic_clock::now();
        if (digest.unchanged && entry.digest.fingerprint == digest.fingerprint)
            return;
        entry.digest = digest;
        isSenderNewer = digest.epoch > m_epoch.number || digest.revision > m_document.revision;
    }
    if (isSenderNewer)
        link->send(state_request {});
    rebuild();
}

void cluster_view::handleState(const state_reply& state)
{
    std::optional<operator_document> received;
    try {
        if (!state.documentText.empty())
            received = parseDocument(state.documentText);
    } catch (const document_error& error) {
        logEvent(event::document_invalid, error.what());
    }
    {
        const std::lock_guard lock(m_mutex);
        if (state.epoch.number > m_epoch.number) {
            m_epoch = state.epoch;
            logEvent(event::epoch_adopted, "epoch=" + std::to_string(m_epoch.number.value()));
        }
        if (received && decideRevision(m_document.revision, received->revision) == revision_decision::adopt) {
            m_document = std::move(*received);
            logEvent(event::document_adopted, "revision=" + std::to_string(m_document.revision.value()));
        }
    }
    refresh();
    rebuild();
}

void cluster_view::discardDigests(const std::string& address)
{
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_digests, [&](const auto& entry) {
            const auto* member = m_epoch.find(entry.first);
            return !member || member->address == address;
        });
    }
    rebuild();
}

void cluster_view::rebuild()
{
    const std::lock_guard lock(m_mutex);
    const auto now = monotonic_clock::now();
    std::erase_if(m_digests, [&](const auto& entry) { return now - entry.second.receivedAt > digestLifetime; });
    std::map<front_id, front_route_handle> routes;
    for (const auto& [id, front] : m_document.fronts)
        routes[id] = buildRoute(front, now);
    m_routes = std::move(routes);
}

std::shared_ptr<front_route> cluster_view::buildRoute(const front_spec& front, monotonic_time now) const
{
    auto route = std::make_shared<front_route>();
    route->spec = front;
    std::vector<searcher_report> reports;
    for (const auto& searcher : front.searchers) {
        const auto owner = ownerOf(m_epoch.members, front, searcher);
        if (!owner)
            continue;
        route->ownerAddresses[searcher.id] = m_epoch.find(*owner)->address;
        const auto digest = m_digests.find(*owner);
        if (digest == m_digests.end() || now - digest->second.receivedAt > digestLifetime)
            continue;
        const auto& searcherReports = digest->second.digest.searchers;
        const auto report = std::find_if(searcherReports.begin(), searcherReports.end(), [&](const searcher_report& candidate) { return candidate.searcher == searcher.id; });
        if (report == searcherReports.end())
            continue;
        reports.push_back(*report);
        reports.back().serving = report->serving && m_document.isEligible(searcher);
    }
    if (front.kind == front_kind::fan_out)
        route->snapshot = selectSnapshot(reports);
    return route;
}

} // namespace limpetpier
