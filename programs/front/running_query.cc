#include "running_query.h"

#include <boost/asio.hpp>

namespace limpetpier {

namespace {

// Retries that each answered sub-request allows, and the maximum that may accumulate.
constexpr double retryShare = 0.1;
constexpr double retryBurst = 50;

} // namespace

front_policy::front_policy(double budget)
    : hedgeBudget(budget)
    , hedges(budget)
    , retries(retryShare, retryBurst)
{
}

running_query::running_query(asio::any_io_executor executor, query_number number, const front_route_handle& route, const search_request& request, pinned_snapshot pinned, std::shared_ptr<front_policy> policy, link_directory& links, monotonic_time deadline)
    : m_completionTimer(executor, deadline)
    , m_executor(std::move(executor))
    , m_number(number)
    , m_route(route)
    , m_request(request)
    , m_policy(std::move(policy))
    , m_plan(std::move(pinned), m_policy->hedges, m_policy->retries)
    , m_links(links)
    , m_deadline(deadline)
{
}

template <typename Decision>
void running_query::applyDecision(const Decision& decide)
{
    if (m_ended)
        return;
    std::vector<sub_request> sends;
    std::vector<sub_request_cancellation> cancels;
    microseconds slowAfter { 0 };
    {
        const std::lock_guard lock(m_policy->mutex);
        sends = decide();
        cancels = m_plan.takeCancellations();
        const auto threshold = m_policy->hedges.threshold();
        slowAfter = threshold == hedge_policy::noHedging() ? microseconds { 0 } : threshold;
        for (const auto& send : sends)
            ++m_policy->outstanding[send.searcher];
    }
    sendAll(sends, slowAfter);
    sendCancels(cancels);
    if (m_plan.complete())
        m_completionTimer.cancel();
}

awaitable<void> running_query::run()
{
    applyDecision([this] { return m_plan.start(); });
    if (!m_plan.complete()) {
        boost::system::error_code ignored;
        co_await m_completionTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_ended = true;
    std::vector<sub_request_cancellation> cancels;
    {
        const std::lock_guard lock(m_policy->mutex);
        cancels = m_plan.abandon();
    }
    sendCancels(cancels);
    const std::lock_guard lock(m_policy->mutex);
    for (const auto& [ref, location] : m_openAttempts)
        --m_policy->outstanding[location.searcher];
}

void running_query::postReply(const sub_request_reply& reply)
{
    asio::post(m_executor, [self = shared_from_this(), reply] { self->onReply(reply); });
}

void running_query::postSlowAttempt(attempt_ref ref)
{
    asio::post(m_executor, [self = shared_from_this(), ref] {
        self->applyDecision([&] { return self->m_plan.onSlowAttempt(ref); });
    });
}

void running_query::postLinkClosed(const std::string& address)
{
    asio::post(m_executor, [self = shared_from_this(), address] {
        for (const auto& ref : self->openAttemptsAt(address))
            self->onReply({ self->m_number, ref, outcome::outcome_unknown, reason::link_lost, {}, {}, 0 });
    });
}

void running_query::postUnresponsive(const std::string& address)
{
    asio::post(m_executor, [self = shared_from_this(), address] {
        for (const auto& ref : self->openAttemptsAt(address))
            self->applyDecision([&] { return self->m_plan.onUnresponsiveOwner(ref); });
    });
}

std::vector<attempt_ref> running_query::openAttemptsAt(const std::string& address) const
{
    std::vector<attempt_ref> attempts;
    for (const auto& [ref, location] : m_openAttempts) {
        if (location.address == address)
            attempts.push_back(ref);
    }
    return attempts;
}

void running_query::onReply(const sub_request_reply& reply)
{
    const auto found = m_openAttempts.find(reply.ref);
    if (found == m_openAttempts.end())
        return;
    {
        const std::lock_guard lock(m_policy->mutex);
        --m_policy->outstanding[found->second.searcher];
        if (reply.result == outcome::answered)
            m_policy->hedges.recordServiceTime(microseconds { reply.serviceUs });
    }
    m_openAttempts.erase(found);
    applyDecision([&] { return m_plan.onReply({ reply.ref, reply.result, reply.why, reply.from, reply.hits }); });
}

void running_query::sendAll(const std::vector<sub_request>& sends, microseconds slowAfter)
{
    std::map<std::string, search_batch> batches;
    for (const auto& send : sends) {
        const auto owner = m_route->ownerAddresses.find(send.searcher);
        const auto address = owner == m_route->ownerAddresses.end() ? std::string() : owner->second;
        m_openAttempts[send.ref] = { send.searcher, address };
        if (send.delay.count() > 0)
            sendDelayed(send, address, slowAfter);
        else
            batches[address].items.push_back({ send.ref, send.searcher, send.hedge });
    }
    for (auto& [address, batch] : batches)
        sendBatch(address, batch, slowAfter);
}

void running_query::sendDelayed(const sub_request& send, const std::string& address, microseconds slowAfter)
{
    auto timer = std::make_shared<asio::steady_timer>(m_executor, send.delay);
    timer->async_wait([self = shared_from_this(), timer, send, address, slowAfter](const boost::system::error_code&) {
        if (self->m_ended)
            return;
        search_batch batch;
        batch.items.push_back({ send.ref, send.searcher, send.hedge });
        self->sendBatch(address, batch, slowAfter);
    });
}

void running_query::sendBatch(const std::string& address, search_batch& batch, microseconds slowAfter)
{
    if (address.empty()) {
        for (const auto& item : batch.items)
            postReply({ m_number, item.ref, outcome::not_run, reason::no_owner, {}, {}, 0 });
        return;
    }
    batch.query = m_number;
    batch.front = m_route->spec.id;
    batch.text = m_request.query;
    batch.limit = m_request.limit;
    batch.priority = m_route->spec.priority;
    const auto timeLeft = std::chrono::duration_cast<microseconds>(m_deadline - monotonic_clock::now());
    batch.budget = { timeLeft.count(), wallNow().time_since_epoch().count() };
    batch.slowAfterUs = slowAfter.count();
    batch.snapshot = m_plan.snapshot();
    m_links.send(address, batch);
}

void running_query::sendCancels(const std::vector<sub_request_cancellation>& cancels)
{
    std::map<std::string, cancel_message> messages;
    for (const auto& cancel : cancels) {
        const auto found = m_openAttempts.find(cancel.ref);
        if (found != m_openAttempts.end() && !found->second.address.empty())
            messages[found->second.address].refs.push_back(cancel.ref);
    }
    for (auto& [address, message] : messages) {
        message.query = m_number;
        m_links.send(address, message);
    }
}

} // namespace limpetpier
