#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <vector>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// What a connection is doing.
enum class connection_activity : std::uint8_t {
    unused, // open, has not completed an exchange
    idle, // between exchanges
    receiving, // a message is incomplete
    running, // a complete request is being executed
    sending, // a reply is being written
};

// Limits the memory of the messages that the connections of a process hold in total, and the number of its connections.
// When a limit is exceeded, it chooses the connection that must give up its message, so that a peer that sends without end
// or doesn't read loses its own messages, not those of others. A request that is being executed is never given up.
//
// Thread-safe.
class connection_budget {
public:
    struct limits {
        std::size_t bytes = std::numeric_limits<std::size_t>::max();
        std::size_t connections = std::numeric_limits<std::size_t>::max();
    };

    // A message that is incomplete for longer is given up before younger ones.
    static constexpr milliseconds patience { 1000 };

    explicit connection_budget(const limits& bounds)
        : m_limits(bounds)
    {
    }

    // The part of one connection.
    class account {
    public:
        // onRevoked is called when the connection must give up its message, also within a call of another account. It must
        // neither call the budget nor destroy an account.
        account(std::shared_ptr<connection_budget> budget, std::function<void()> onRevoked);
        ~account();
        account(const account&) = delete;
        account& operator=(const account&) = delete;

        // Sets the bytes that the connection holds, what it is doing and since when. Ignored after a revocation.
        void update(std::size_t bytes, connection_activity activity, monotonic_time since, monotonic_time now);

        // Records received bytes of an incomplete message.
        void add(std::size_t bytes);

        // True if the connection must give up its message.
        [[nodiscard]] bool isRevoked() const;

        // Releases all bytes, at the end of an exchange, and ends a revocation.
        void clear();

    private:
        friend class connection_budget;
        std::shared_ptr<connection_budget> m_budget;
        std::function<void()> m_onRevoked;
        std::size_t m_bytes = 0;
        connection_activity m_activity = connection_activity::unused;
        monotonic_time m_since;
        bool m_revoked = false; // until clear()
    };

    // Returns limits for a machine: a quarter of its memory and three quarters of a process's open files. 0 means that the
    // machine does not limit it.
    static limits limitsForMachine(std::size_t memoryBytes, std::size_t openFiles);

    // Changes the limits. Takes effect with the next update.
    void changeLimits(const limits& bounds);

    // False if the number of connections exceeds the limit and none can be closed instead of a new one. Otherwise a
    // connection was revoked if necessary: an incomplete message, then a connection that was never used, then an idle one,
    // the oldest first.
    bool makeRoomForConnection(monotonic_time now);

    // True if a complete request of this many bytes may be executed. Requests that are executed hold at most half of the
    // memory, or one request more, because they can't be given up: otherwise they would push out all other messages.
    [[nodiscard]] bool hasRoomToRun(std::size_t bytes) const;

    // Bytes held by all accounts that were not revoked.
    [[nodiscard]] std::size_t used() const;

    // Messages and connections given up so far.
    [[nodiscard]] std::size_t revocations() const;

private:
    template <typename Rank>
    account* select(Rank rankOf);
    void set(account& changed, std::size_t bytes, connection_activity activity, monotonic_time since, monotonic_time now);
    void revoke(account& chosen);
    void release(account& released);

    mutable std::mutex m_mutex;
    limits m_limits;
    std::size_t m_used = 0;
    std::size_t m_running = 0; // of m_used, by requests that are executed
    std::size_t m_revocations = 0;
    std::size_t m_open = 0; // accounts that were not revoked
    std::vector<account*> m_accounts; // in the order of their creation
};

} // namespace limpetpier
