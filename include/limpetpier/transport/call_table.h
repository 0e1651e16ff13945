#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "limpetpier/protocol/messages.h"

namespace limpetpier {

// Calls to other nodes that wait for their call_reply. Its mutex is a leaf in the lock order.
//
// A call that ends by a broken link is not_run if its connection never came up, and outcome_unknown otherwise.
class call_table {
public:
    using handler = std::function<void(const call_reply&)>;

    // Registers a call to the node at an address; the handler is called at most once.
    call_number open(const std::string& address, handler onReply);

    void handleReply(const call_reply& reply);
    void handleClosed(const std::string& address, bool wasOpen);

    // Forgets a call without calling its handler.
    void remove(call_number call);

    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        std::string address;
        handler onReply;
    };

    std::atomic<std::uint64_t> m_next { 0 };
    mutable std::mutex m_mutex;
    std::map<call_number, entry> m_calls;
};

} // namespace limpetpier
