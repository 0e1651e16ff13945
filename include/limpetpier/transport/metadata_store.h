#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"

namespace limpetpier {

using store_revision = number_id<struct store_revision_tag>;
using lease_id = number_id<struct lease_tag>;

// One key of the platform's store, or the removal of one.
struct store_item {
    std::string key;
    std::string value;
    store_revision revision;
    bool removed = false;
};

enum class store_result : std::uint8_t {
    ok,
    compacted, // the history asked for is gone: read anew
    no_lease, // the lease has ended
    conflict, // a condition did not hold
    rejected, // the store did nothing
    no_answer, // the call may have been done, or may still be
};

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

struct store_page {
    std::vector<store_item> items;
    bool hasMore = false;
    store_revision revision;
};

// The platform's key-value store, for a single-threaded process. Handlers run on its executor, never within the call.
class metadata_store {
public:
    template <typename Value>
    using handler = std::function<void(store_result, Value)>;

    // Told of each call that ended: what it was, how it ended, how long it took.
    using call_observer = std::function<void(const char* call, store_result result, microseconds elapsed)>;

    metadata_store() = default;
    virtual ~metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;

    // One page of the keys with a prefix, from the key after the given one.
    virtual void readRange(const std::string& prefix, const std::string& after, handler<store_page> done) = 0;

    // Changes of the keys with a prefix after a revision: at once if there are any, else after at most the wait.
    virtual void watch(const std::string& prefix, store_revision after, milliseconds wait, handler<store_page> done) = 0;

    // The store's revision, by reading a key of this process from a replica: costs little, and may be seconds old.
    virtual void readRevision(const std::string& key, handler<store_revision> done) = 0;

    virtual void grantLease(milliseconds timeToLive, handler<lease_id> done) = 0;
    virtual void renewLease(lease_id lease, std::function<void(store_result)> done) = 0;
    virtual void revokeLease(lease_id lease) = 0;

    // Writes one key under a lease.
    virtual void write(const std::string& key, const std::string& value, lease_id lease, std::function<void(store_result)> done) = 0;

    void observe(call_observer observer) { m_observer = std::move(observer); }

protected:
    void notifyObserver(const char* call, store_result result, microseconds elapsed) const
    {
        if (m_observer)
            m_observer(call, result, elapsed);
    }

private:
    call_observer m_observer;
};

} // namespace limpetpier
