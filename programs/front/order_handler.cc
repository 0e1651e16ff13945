#include "order_handler.h"

#include <boost/asio.hpp>

#include "limpetpier/coordination/ownership.h"

namespace limpetpier {

namespace {

// Reserved from the deadline for the holder's reply to arrive.
constexpr milliseconds replyMargin { 15 };

// Delay before the holder is looked up again.
constexpr milliseconds lookUpRetryDelay { 15 };

// True if a newer epoch or another connection may lead to a reply.
bool isRetryable(reason why)
{
    return why == reason::not_owner || why == reason::link_lost || why == reason::no_owner;
}

} // namespace

order_handler::order_handler(cluster_view& view, link_directory& links, call_table& calls)
    : m_view(view)
    , m_links(links)
    , m_calls(calls)
{
}

awaitable<order_answer> order_handler::answer(front_route_handle route, order_call order)
{
    ++m_openOrders;
    const auto startedAt = monotonic_clock::now();
    const auto deadline = startedAt + order.deadline.value_or(route->spec.deadline);
    // After an earlier call with the same key, only the holder can tell that nothing ran.
    bool mayHaveRun = order.attempt > 1;
    call_reply lastReply { {}, outcome::not_run, reason::no_owner, {} };
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (monotonic_clock::now() + replyMargin < deadline) {
        const auto epoch = m_view.epoch();
        const auto holder = keyHolderOf(epoch.members, order.key);
        if (holder) {
            order_request request { {}, route->spec.id, order.key, order.text, {} };
            lastReply = co_await callHolder(epoch.find(*holder)->address, request, deadline);
            if (!isRetryable(lastReply.why))
                break;
            mayHaveRun = mayHaveRun || lastReply.result == outcome::outcome_unknown;
            m_view.refresh();
        }
        timer.expires_after(lookUpRetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const bool lacksHolderReply = isRetryable(lastReply.why);
    if (lastReply.result == outcome::not_run && lacksHolderReply && mayHaveRun)
        lastReply.result = outcome::outcome_unknown;
    --m_openOrders;
    co_return order_answer { lastReply.result, lastReply.why, lastReply.answer, std::chrono::duration_cast<microseconds>(monotonic_clock::now() - startedAt) };
}

awaitable<call_reply> order_handler::callHolder(const std::string& address, const order_request& request, monotonic_time deadline)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto timer = std::make_shared<asio::steady_timer>(executor, deadline);
    const auto result = std::make_shared<call_reply>(call_reply { {}, outcome::outcome_unknown, reason::deadline_passed, {} });
    auto message = request;
    message.call = m_calls.open(address, [executor, timer, result](const call_reply& reply) {
        asio::post(executor, [timer, result, reply] {
            *result = reply;
            timer->cancel();
        });
    });
    const auto timeLeft = std::chrono::duration_cast<microseconds>(deadline - replyMargin - monotonic_clock::now());
    message.budget = { timeLeft.count(), wallNow().time_since_epoch().count() };
    m_links.send(address, message);
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_calls.remove(message.call);
    co_return *result;
}

} // namespace limpetpier
