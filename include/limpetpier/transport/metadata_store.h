#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"
#include "limpetpier/state/store_history.h"

namespace limpetpier {

using lease_id = number_id<struct lease_tag>;

// A key-value pair of the platform's store, or the removal of a key.
struct store_item {
    std::string key;
    std::string value;
    store_revision revision; // at which the key changed last
    bool removed = false;
};

// Result of a call to the store.
enum class store_result : std::uint8_t {
    ok,
    compacted, // the store no longer has the changes after the requested revision: read all keys again
    no_lease, // the lease has ended
    conflict, // a condition of the write did not hold
    rejected, // the store did not execute the call, or its answer is invalid
    no_answer, // the store may have executed the call, or may still execute it
};

// Returns the name of the result, as metrics show it.
inline const char* toText(store_result result)
{
    switch (result) {
    case store_result::ok:
        return "ok";
    case store_result::compacted:
        return "compacted";
    case store_result::no_lease:
        return "no_lease";
    case store_result::conflict:
        return "conflict";
    case store_result::rejected:
        return "rejected";
    case store_result::no_answer:
        return "no_answer";
    }
    return "unknown";
}

// One page of a read, or the changes that a watch returns.
struct store_page {
    std::vector<store_item> items;
    bool hasMore = false; // further pages follow
    store_revision revision; // of the store when it answered
};

// Interface of the platform's key-value store for a single-threaded process. Handlers run on the store's executor, never
// within the call that they are passed to.
class metadata_store {
public:
    template <typename Value>
    using handler = std::function<void(store_result, Value)>;

    // Receives the name, result and duration of each completed call.
    using call_observer = std::function<void(const char* call, store_result result, microseconds elapsed)>;

    metadata_store() = default;
    virtual ~metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;

    // Reads one page of the keys with the prefix that sort after the given key; an empty key starts at the first page.
    virtual void readRange(const std::string& prefix, const std::string& after, handler<store_page> done) = 0;

    // Returns the changes to keys with the prefix after the revision. Answers at once if there are any, else when one
    // occurs or the wait has passed.
    virtual void watch(const std::string& prefix, store_revision after, milliseconds wait, handler<store_page> done) = 0;

    // Reads the store's revision by reading a key of this process from a replica. This is cheap, but the revision may be
    // several seconds old.
    virtual void readRevision(const std::string& key, handler<store_revision> done) = 0;

    // Requests a lease with the given time to live.
    virtual void grantLease(milliseconds timeToLive, handler<lease_id> done) = 0;

    // Renews a lease for another time to live.
    virtual void renewLease(lease_id lease, std::function<void(store_result)> done) = 0;

    // Ends a lease before it expires. The result is not reported.
    virtual void revokeLease(lease_id lease) = 0;

    // Writes a key under a lease.
    virtual void write(const std::string& key, const std::string& value, lease_id lease, std::function<void(store_result)> done) = 0;

    // Sets the receiver of the store's era, which is called for each answer that states one, before the handler of its
    // call.
    void onEra(std::function<void(store_era)> receiver) { m_eraReceiver = std::move(receiver); }

    // Sets the observer of completed calls.
    void observe(call_observer observer) { m_observer = std::move(observer); }

protected:
    // Passes a completed call to the observer, if there is one.
    void notifyObserver(const char* call, store_result result, microseconds elapsed) const
    {
        if (m_observer)
            m_observer(call, result, elapsed);
    }

    // Passes the era that an answer states to the receiver, if there is one.
    void notifyEra(store_era era) const
    {
        if (m_eraReceiver)
            m_eraReceiver(era);
    }

private:
    call_observer m_observer;
    std::function<void(store_era)> m_eraReceiver;
};

} // namespace limpetpier
