#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"
#include "limpetpier/state/outcome.h"

namespace limpetpier {

// Largest difference between the wall clocks of two machines, callers included.
constexpr milliseconds maxClockSkew { 1000 };

// How long a finished request is remembered; older keys are refused.
constexpr milliseconds idempotencyRetention { 30 * 60 * 1000 };

// Records that one node keeps at most.
constexpr std::size_t maxIdempotencyRecords = 200'000;

// Time at which a UUIDv7 was made; nothing if the text is not a UUIDv7.
std::optional<wall_time> keyCreationTime(const idempotency_key& key);

// The remembered end of a non-idempotent request.
struct idempotency_record {
    idempotency_key key;
    std::uint64_t fingerprint = 0; // of the request, so that a key cannot be reused for another one
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

// What the holder of a key does with a request.
enum class idempotency_decision : std::uint8_t {
    run, // first time: run it, then call finish()
    replay, // finished before: give the remembered end
    wait, // the same request is running now
    mismatch, // the key was used for a different request
    too_old, // another holder may have run it: outcome unknown
    from_future, // the caller's clock is off: not run
    full, // no room to remember it: not run
};

// Remembers non-idempotent requests so that each runs at most once.
//
// A key carries its own time (UUIDv7). The table only vouches for keys made after the floor, the time at which this
// node took over the key without records: an earlier key may have been run by a holder whose records are lost.
//
//     if (table.begin(key, fingerprint, floor, now) == idempotency_decision::run)
//         table.finish(key, outcome::answered, reason::none, answer);
class idempotency_table {
public:
    idempotency_decision begin(const idempotency_key& key, std::uint64_t fingerprint, wall_time floor, wall_time now);

    // Ends a request that begin() told to run. A request that was not run is forgotten, so a retry may run.
    void finish(const idempotency_key& key, outcome result, reason why, std::string answer);

    [[nodiscard]] const idempotency_record* find(const idempotency_key& key) const;

    // Whole records for a planned hand-over to the next holder.
    [[nodiscard]] std::vector<idempotency_record> records() const;

    // Takes over the records of an earlier holder.
    void merge(const std::vector<idempotency_record>& records);

    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    void expire(wall_time now);

    std::unordered_map<idempotency_key, idempotency_record> m_records;
    std::deque<std::pair<wall_time, idempotency_key>> m_byAge;
};

} // namespace limpetpier
