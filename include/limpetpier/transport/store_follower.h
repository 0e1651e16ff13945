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
    milliseconds wait { 2000 }; // longest wait of one watch
    milliseconds pause { 0 }; // from an answer to the next watch: changes of that time come in one call
};

// Keeps a copy of the keys with one prefix up to date: reads them all, then watches, and reads anew when the history is
// gone. The reader keeps what it has while the store is away.
class store_follower {
public:
    struct handlers {
        // All keys as of a read; afterOutage tells that calls had failed since the last answer.
        std::function<void(const std::vector<store_item>&, bool afterOutage)> replaced;
        std::function<void(const store_item&, bool afterOutage)> changed;
        // The store stopped or began again to answer.
        std::function<void(bool reachable)> reachable;
    };

    store_follower(const boost::asio::any_io_executor& executor, metadata_store& store, std::string prefix, follow_policy policy, handlers handle);

    void start();

    // Another call to the store was not answered. A watch that waits does not notice an outage; what it says after one is
    // taken as such.
    void noteNoAnswer();

    // Another call was answered. A watch that was sent during an outage may never be: it is given up for a new one.
    void noteAnswer();

    // The store has come to this revision. If the watch does not tell of it soon, it is given up and everything is read:
    // another watch might hear as little.
    void noteRevision(store_revision at);

    [[nodiscard]] bool hasRead() const { return m_hasRead; }
    [[nodiscard]] bool isReachable() const { return m_reachable; }
    [[nodiscard]] monotonic_time lastAnswer() const { return m_lastAnswer; }

    // Revision of the store that the copy stands for; none while all keys are read.
    [[nodiscard]] store_revision revision() const { return m_current ? m_at : store_revision {}; }

    // Pause after a failed call; doubled each time up to the longest.
    static constexpr milliseconds firstRetry { 100 };
    static constexpr milliseconds longestRetry { 800 };

    // For this long after the store's return, removals count as lapses of the outage.
    static constexpr milliseconds outageEcho { 2500 };

    // The time that the answer of a watch may take, after another call has shown that there is something to tell.
    static constexpr milliseconds watchDelay { 300 };

    // An answer with this many changes is taken for a part of a backlog, and the next is asked for at once.
    static constexpr std::size_t backlogItems = 64;

private:
    void load(const std::string& after);
    void handlePage(store_result result, store_page page);
    void watch() { watchFor(m_policy.wait); }
    void watchFor(milliseconds wait);
    void giveUpWatch();
    void handleChanges(store_result result, const store_page& page);
    void fail();
    void succeed();
    void later(milliseconds delay, void (store_follower::*step)());
    void reload();
    [[nodiscard]] bool isAfterOutage() const;

    metadata_store& m_store;
    boost::asio::steady_timer m_timer;
    std::string m_prefix;
    follow_policy m_policy;
    handlers m_handle;
    std::vector<store_item> m_loading;
    store_revision m_at;
    bool m_hasRead = false;
    bool m_current = false; // the next step is a watch, not a read
    bool m_waiting = false; // a watch is under way, and no sign that it is lost
    bool m_reachable = true;
    milliseconds m_retry = firstRetry;
    monotonic_time m_lastAnswer {};
    monotonic_time m_outageEnd {};
    std::uint64_t m_call = 0; // the one under way; answers to earlier ones are passed over
};

} // namespace limpetpier
