#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

#include "limpetpier/transport/metadata_store.h"

namespace limpetpier {

// How one prefix of the store is followed.
struct follow_policy {
    milliseconds watchTimeout { 2000 }; // longest wait of one watch
    milliseconds batchDelay { 0 }; // from an answer to the next watch: changes of that time come in one call
};

// Keeps a copy of the keys with one prefix up to date: reads them all, then watches, and reads anew when the history is
// gone. The reader keeps what it has while the store is away.
class store_follower {
public:
    struct handlers {
        // All keys as of a read; afterOutage tells that calls had failed since the last answer.
        std::function<void(const std::vector<store_item>&, bool afterOutage)> onSnapshot;
        std::function<void(const store_item&, bool afterOutage)> onChange;
        // The store stopped or began again to answer.
        std::function<void(bool reachable)> onReachabilityChange;
    };

    store_follower(const boost::asio::any_io_executor& executor, metadata_store& store, std::string prefix, follow_policy policy, handlers callbacks);

    void start();

    // Another call to the store was not answered. A watch that waits does not notice an outage; what it says after one is
    // taken as such.
    void reportCallFailed();

    // Another call was answered. A watch that was sent during an outage may never be: it is given up for a new one.
    void reportCallSucceeded();

    // The store has come to this revision. If the watch does not tell of it soon, it is given up and everything is read:
    // another watch might hear as little.
    void reportRevision(store_revision revision);

    [[nodiscard]] bool hasRead() const { return m_hasRead; }
    [[nodiscard]] bool isReachable() const { return m_isReachable; }
    [[nodiscard]] monotonic_time lastAnswer() const { return m_lastAnswer; }

    // Revision of the store that the copy stands for; none while all keys are read.
    [[nodiscard]] store_revision revision() const { return m_isLoaded ? m_revision : store_revision {}; }

    // Pause after a failed call; doubled each time up to the longest.
    static constexpr milliseconds initialRetryDelay { 100 };
    static constexpr milliseconds maxRetryDelay { 800 };

    // For this long after the store's return, removals count as lapses of the outage.
    static constexpr milliseconds outageRemovalWindow { 2500 };

    // The time that the answer of a watch may take, after another call has shown that there is something to tell.
    static constexpr milliseconds missedChangeTimeout { 300 };

    // An answer with this many changes is taken for a part of a backlog, and the next is asked for at once.
    static constexpr std::size_t backlogThreshold = 64;

private:
    void readPage(const std::string& after);
    void handlePage(store_result result, store_page page);
    void watch() { watchFor(m_policy.watchTimeout); }
    void watchFor(milliseconds wait);
    void abandonWatch();
    void handleChanges(store_result result, const store_page& page);
    void handleFailure();
    void handleSuccess();
    void scheduleStep(milliseconds delay, void (store_follower::*step)());
    void reload();
    [[nodiscard]] bool isAfterOutage() const;

    metadata_store& m_store;
    boost::asio::steady_timer m_timer;
    std::string m_prefix;
    follow_policy m_policy;
    handlers m_handlers;
    std::vector<store_item> m_loadedItems;
    store_revision m_revision;
    bool m_hasRead = false;
    bool m_isLoaded = false; // the next step is a watch, not a read
    bool m_isWatchPending = false; // a watch is under way, and no sign that it is lost
    bool m_isReachable = true;
    milliseconds m_retryDelay = initialRetryDelay;
    monotonic_time m_lastAnswer {};
    monotonic_time m_outageEnd {};
    std::uint64_t m_callId = 0; // the one under way; answers to earlier ones are passed over
};

} // namespace limpetpier
