#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"
#include "limpetpier/state/outcome.h"

namespace limpetpier {

// Largest tolerated difference between the wall clocks of two machines, callers included.
constexpr milliseconds maxClockSkew { 1000 };

// Maximum age of a key without a record; older keys are refused. Records are kept for twice as long.
constexpr milliseconds idempotencyRetention { 30 * 60 * 1000 };

// Maximum number of records per node.
constexpr std::size_t maxIdempotencyRecords = 200'000;

// Returns the creation time in a UUIDv7 key, or nothing if the key is not a UUIDv7.
std::optional<wall_time> keyCreationTime(const idempotency_key& key);

// State and, once finished, outcome of a non-idempotent request.
struct idempotency_record {
    idempotency_key key;
    std::uint64_t fingerprint = 0; // hash of the request, so that a key cannot be reused for a different one
    bool finished = false;
    outcome result = outcome::outcome_unknown;
    reason why = reason::none;
    std::string answer;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, fingerprint, finished, result, why, answer);
    }
};

// What the node that holds a key must do with a request.
enum class idempotency_decision : std::uint8_t {
    run, // first request with this key: run it, then call finish()
    replay, // already finished: return the recorded outcome
    wait, // the same request is running
    mismatch, // the key belongs to a different request
    too_old, // not a UUIDv7, past the retention, or possibly run by an earlier holder: outcome unknown
    from_future, // created more than maxClockSkew ahead of this node's clock: not run
    full, // maxIdempotencyRecords reached: not run
};

// Records non-idempotent requests so that each runs at most once.
//
// A key contains its creation time (UUIDv7). The floor of a key is the time at which its holder took it over without the
// records of the previous holder. The table runs only keys created after the floor plus a margin for clock skew, because
// an older key may have been run by a holder whose records are lost.
//
//     if (table.begin(key, fingerprint, floor, now) == idempotency_decision::run)
//         table.finish(key, outcome::answered, reason::none, answer);
class idempotency_table {
public:
    // Decides what to do with a request. On `run`, also records it as running. Drops expired records first.
    idempotency_decision begin(const idempotency_key& key, std::uint64_t fingerprint, wall_time floor, wall_time now);

    // Records the outcome of a request for which begin() returned `run`. Drops the record if the outcome is not_run, so
    // that a retry may run. Does nothing if the key has no record.
    void finish(const idempotency_key& key, outcome result, reason why, std::string answer);

    // Returns the record of a key, or null. The pointer is valid until the table changes.
    [[nodiscard]] const idempotency_record* find(const idempotency_key& key) const;

    // Returns copies of all records, in no particular order, for a planned handover to the next holder.
    [[nodiscard]] std::vector<idempotency_record> records() const;

    // Adds the records of an earlier holder; existing records win. Unfinished records become outcome_unknown, and records
    // whose key is not a UUIDv7 are dropped.
    void merge(const std::vector<idempotency_record>& records);

    // Returns the number of records.
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    void expire(wall_time now);

    std::unordered_map<idempotency_key, idempotency_record> m_records;
    std::multimap<wall_time, idempotency_key> m_expiryQueue; // by the start of the lifetime
};

} // namespace limpetpier
