#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "limpetpier/protocol/messages.h"

namespace limpetpier {

// Pending calls to other nodes, each of which awaits a call_reply. Thread-safe. No other mutex is locked while the
// table's mutex is held.
//
// A call whose link closes gets the outcome not_run if the connection was never established, and outcome_unknown
// otherwise.
class call_table {
public:
    // Receives the reply to a call, without the table's mutex held.
    using handler = std::function<void(const call_reply&)>;

    // Registers a call to the node at an address and returns its number. The handler is called at most once.
    call_number open(const std::string& address, handler onReply);

    // Removes the call that a reply belongs to and calls its handler. Replies to unknown calls are ignored.
    void handleReply(const call_reply& reply);

    // Ends all calls to an address whose link closed, with the outcome described above.
    void handleClosed(const std::string& address, bool wasOpen);

    // Removes a call without calling its handler.
    void remove(call_number call);

    // Number of pending calls.
    [[nodiscard]] std::size_t size() const;

private:
    struct pending_call {
        std::string address;
        handler onReply;
    };

    std::atomic<std::uint64_t> m_lastNumber { 0 };
    mutable std::mutex m_mutex;
    std::map<call_number, pending_call> m_calls;
};

} // namespace limpetpier
