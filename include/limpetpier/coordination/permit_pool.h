#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// Permits of one workspace that this process has received from keepers and not yet used.
//
// A permit expires a short time after it was asked for, whenever the answer arrives, so that the requests that start in
// a window were granted in it or shortly before.
class permit_pool {
public:
    // Returns how many permits to ask for: one for each request that waits, and at high demand those that the recent
    // rate needs until they expire.
    [[nodiscard]] std::uint32_t batchSize(std::size_t waiting, monotonic_time now);

    // Adds permits that were asked for at a time.
    void add(std::uint32_t count, monotonic_time askedAt);

    // Takes one permit; false if there is none.
    [[nodiscard]] bool tryTake(monotonic_time now);

    // Permits held now.
    [[nodiscard]] std::uint32_t held(monotonic_time now);

    // Time from the question until a permit expires.
    static constexpr milliseconds validity { 300 };

    // Limit of one batch, so that few permits expire when demand ends.
    static constexpr std::uint32_t maxBatch = 8;

private:
    struct batch {
        std::uint32_t count = 0;
        monotonic_time askedAt;
    };

    void dropExpired(monotonic_time now);

    std::deque<batch> m_batches; // in the order of their expiry
    std::deque<monotonic_time> m_taken; // within the last validity
};

// Returns the delay after which the caller of a request beyond the limit should repeat it: when room is expected, spread
// over the time in which the limit admits as many as were refused lately. spread: a number evenly distributed over the
// requests, such as a hash of the id.
[[nodiscard]] milliseconds limitReturnDelay(milliseconds nextPermit, std::size_t refusedLately, double perSecond, std::uint64_t spread);

} // namespace limpetpier
