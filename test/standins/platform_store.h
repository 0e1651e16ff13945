#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <vector>

#include "raw_server.h"

namespace limpetpier::standins {

// How the fake store responds to calls.
enum class store_behaviour : std::uint8_t {
    normal,
    rejecting, // 503, without doing anything
    unresponsive, // accepts calls and never responds
    losing_responses, // performs writes, then resets their connections without a response
};

// Fake of the platform's key-value store with its protocol, on a loopback port.
class platform_store {
public:
    // Port 0 selects a free port.
    explicit platform_store(boost::asio::io_context& io, unsigned short port = 0);

    // Write or delete a key without a call, as the operator and the searchers do.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    // Applies to later calls. Open watches get no events while the behaviour is not normal.
    void setBehaviour(store_behaviour behaviour) { m_behaviour = behaviour; }

    // Deletes the history: resets open watches and answers watches from earlier revisions with 410.
    void compact();

    // Stops delivering events when keys change, also to open watches; their connections stay open.
    void ignoreWatches() { m_ignoresWatches = true; }

    // Ends all leases that were granted so far, as if they had expired. Their keys stay.
    void endLeases() { m_lastEndedLease = m_leases; }

    // Keeps a copy of the keys, leases and the revision, and brings the store back from it: what was written since is lost,
    // its revisions are assigned again, open watches are reset, and the era rises.
    void keepCopy();
    void restoreCopy();

    // Grants a lease to another process than those that call this store.
    void grantLease() { ++m_leases; }

    // Makes the answers state no era.
    void omitEra() { m_statesEra = false; }

    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    [[nodiscard]] std::string address() const { return m_server.address(); }
    [[nodiscard]] std::size_t calls() const { return m_calls; }
    [[nodiscard]] bool holds(const std::string& key) const { return m_items.contains(key); }

private:
    struct item {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct change {
        std::string key;
        item state;
        bool deleted = false;
    };
    struct waiting_watch {
        std::string prefix;
        std::uint64_t after = 0;
        raw_exchange_handle exchange;
    };

    // Contents that a restored copy brings back.
    struct contents {
        std::map<std::string, item> items;
        std::uint64_t revision = 0;
        std::uint64_t leases = 0;
        std::uint64_t lastEndedLease = 0;
    };

    void handle(const http_request& request, const raw_exchange_handle& exchange);
    void renew(std::uint64_t lease, const raw_exchange_handle& exchange);
    void read(const std::string& key, const raw_exchange_handle& exchange);
    void range(const std::string& prefix, const raw_exchange_handle& exchange);
    void watch(const std::string& prefix, std::uint64_t after, long waitMs, const raw_exchange_handle& exchange);
    bool answerWatch(const waiting_watch& watch, bool allowEmpty);
    void transact(const std::string& body, const raw_exchange_handle& exchange);
    void store(const std::string& key, const std::string& encoded, std::uint64_t lease);
    void answerWaitingWatches();
    void answer(const raw_exchange_handle& exchange, unsigned status, const std::string& body, bool isWrite = false);

    boost::asio::io_context& m_io;
    raw_server m_server;
    store_behaviour m_behaviour = store_behaviour::normal;
    std::map<std::string, item> m_items;
    std::deque<change> m_history;
    contents m_copy;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedRevision = 0; // changes up to this revision have been deleted
    std::uint64_t m_leases = 0;
    std::uint64_t m_lastEndedLease = 0;
    std::uint64_t m_era = 1;
    bool m_statesEra = true;
    std::size_t m_calls = 0;
    std::vector<waiting_watch> m_watches;
    bool m_ignoresWatches = false;
};

} // namespace limpetpier::standins
