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
    store_revision changed;
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

struct store_page {
    std::vector<store_item> items;
    bool more = false;
    store_revision at;
};

// The platform's key-value store, for a single-threaded process. Handlers run on its executor, never within the call.
class metadata_store {
public:
    template <typename Value>
    using handler = std::function<void(store_result, Value)>;

    metadata_store() = default;
    virtual ~metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;

    // One page of the keys with a prefix, from the key after the given one.
    virtual void readRange(const std::string& prefix, const std::string& after, handler<store_page> done) = 0;

    // Changes of the keys with a prefix after a revision: at once if there are any, else after at most the wait.
    virtual void watch(const std::string& prefix, store_revision after, milliseconds wait, handler<store_page> done) = 0;

    virtual void grantLease(milliseconds timeToLive, handler<lease_id> done) = 0;
    virtual void renewLease(lease_id lease, std::function<void(store_result)> done) = 0;
    virtual void endLease(lease_id lease) = 0;

    // Writes one key under a lease.
    virtual void write(const std::string& key, const std::string& value, lease_id lease, std::function<void(store_result)> done) = 0;
};

} // namespace limpetpier
