#pragma once

#include <functional>
#include <memory>
#include <string>

#include "limpetpier/protocol/gateway_protocol.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/transport/http.h"

namespace limpetpier {

// How one send to one searcher ended.
struct call_result {
    exchange_stage stage = exchange_stage::not_written;
    searcher_reply reply; // when replied
    microseconds elapsed { 0 }; // from the write to the reply

    // True if the searcher certainly did not and will not run the request.
    [[nodiscard]] bool isKnownNotExecuted() const
    {
        return stage == exchange_stage::not_written || (stage == exchange_stage::replied && (reply.kind == reply_kind::not_executed || reply.kind == reply_kind::misdirected));
    }
};

// One send of a request to one searcher.
struct searcher_call {
    std::shared_ptr<const client_request> request;
    monotonic_time deadline; // the searcher is told to stop at this time
    monotonic_time stalledAt; // without a reply by then the searcher counts as stalled
    std::function<void(call_result)> onResult; // called at most once
    monotonic_time writtenAt {};
    bool written = false;
    bool isExtraSend = false; // counts as an extra send, if it arrives
    bool finished = false;
};

using call_handle = std::shared_ptr<searcher_call>;

} // namespace limpetpier
