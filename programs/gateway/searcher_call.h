#pragma once

#include <functional>
#include <memory>
#include <string>

#include "limpetpier/protocol/gateway_protocol.h"
#include "limpetpier/state/clock.h"
#include "limpetpier/transport/http.h"

namespace limpetpier {

// Result of one send to one searcher.
struct call_result {
    exchange_stage stage = exchange_stage::not_written;
    searcher_reply reply; // valid if stage is replied
    microseconds elapsed { 0 }; // from the write to the end of the exchange; zero if not written

    // Returns true if the searcher has not executed the request and never will.
    [[nodiscard]] bool isKnownNotExecuted() const
    {
        return stage == exchange_stage::not_written || (stage == exchange_stage::replied && (reply.kind == reply_kind::not_executed || reply.kind == reply_kind::misdirected));
    }
};

// One send of a request to one searcher.
struct searcher_call {
    std::shared_ptr<const client_request> request;
    monotonic_time deadline; // passed on to the searcher, which stops work at this time
    monotonic_time stalledAt; // a searcher that has not replied by then counts as stalled
    std::function<void(call_result)> onResult; // called at most once
    std::function<void(const call_result&)> onLateResult; // called if a cancelled call ends by itself or is aborted; may be empty
    monotonic_time writtenAt {};
    bool written = false; // to the connection
    bool isExtraSend = false; // taken from the retry budget; returned to it if never written
    bool finished = false; // onResult was called or the call was cancelled
};

using call_handle = std::shared_ptr<searcher_call>;

} // namespace limpetpier
