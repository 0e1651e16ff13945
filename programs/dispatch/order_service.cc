#include "order_service.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <random>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "limpetpier/coordination/ownership.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

// Interval at which an order whose decision depends on other nodes or orders is checked again.
constexpr milliseconds decisionPollInterval { 5 };

// Maximum number of records in one handover message.
constexpr std::size_t recordsPerHandover = 500;

// Interval at which an unacknowledged handover is sent again.
constexpr milliseconds handoverRetryInterval { 300 };

// Time after the deadline during which the owner may still report that an order was not run.
constexpr milliseconds ownerReplyGracePeriod { 8 };

std::uint64_t fingerprintOf(const order_request& request)
{
    const auto input = request.front.value() + "\n" + request.text;
    return XXH3_64bits(input.data(), input.size());
}

call_reply replyOf(call_number call, outcome result, reason why, std::string answer = {})
{
    return { call, result, why, std::move(answer) };
}

// Returns the budget that ends at the deadline for a message sent now.
time_budget budgetUntil(monotonic_time deadline)
{
    const auto left = std::chrono::duration_cast<microseconds>(deadline - monotonic_clock::now());
    return { left.count(), wallNow().time_since_epoch().count() };
}

} // namespace

// Order that runs on the searchers of its front, one after another.
struct order_service::running_order {
    node_link_handle link;
    order_request request;
    front_spec front;
    monotonic_time deadline;
    std::vector<searcher_spec> candidates; // searchers not tried yet
    reason lastReason = reason::no_owner; // why the last searcher did not run it
};

order_service::order_service(asio::any_io_executor executor, cluster_agent& agent, search_service& searches, link_directory& links, call_table& calls)
    : m_executor(std::move(executor))
    , m_agent(agent)
    , m_searches(searches)
    , m_links(links)
    , m_calls(calls)
{
}

void order_service::handleOrder(const node_link_handle& link, const order_request& request)
{
    asio::co_spawn(asio::make_strand(m_executor), decideByKey(link, request), asio::detached);
}

// Waits until the decision can be made, then runs, replays or refuses the order. The decision needs the floor of the
// key, a fresh dispatch right, and the end of a running order with the same key.
awaitable<void> order_service::decideByKey(node_link_handle link, order_request request)
{
    const auto deadline = deadlineOf(request.budget);
    const auto fingerprint = fingerprintOf(request);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;; timer.expires_after(decisionPollInterval), co_await timer.async_wait(asio::use_awaitable)) {
        const auto document = m_agent.document();
        const auto front = document->fronts.find(request.front);
        if (front == document->fronts.end() || keyHolderOf(m_agent.epoch()->members, request.key) != m_agent.self()) {
            link->send(replyOf(request.call, outcome::not_run, reason::not_owner));
            co_return;
        }
        const auto now = monotonic_clock::now();
        if (now >= deadline) {
            link->send(replyOf(request.call, outcome::outcome_unknown, reason::in_progress));
            co_return;
        }
        const auto floor = m_agent.floorFor(request.key);
        if (!floor || !m_agent.rightIsFresh(now))
            continue;
        auto decision = idempotency_decision::wait;
        call_reply recordedReply;
        {
            const std::lock_guard lock(m_mutex);
            decision = m_table.begin(request.key, fingerprint, *floor, wallNow());
            if (decision == idempotency_decision::run)
                m_runningKeys.insert(request.key);
            if (const auto* record = m_table.find(request.key); record && decision == idempotency_decision::replay)
                recordedReply = replyOf(request.call, record->result, record->why, record->answer);
        }
        switch (decision) {
        case idempotency_decision::wait:
            continue;
        case idempotency_decision::run:
            startOrder(link, request, front->second, deadline);
            co_return;
        case idempotency_decision::replay:
            link->send(recordedReply);
            co_return;
        case idempotency_decision::too_old:
            link->send(replyOf(request.call, outcome::outcome_unknown, reason::key_too_old));
            co_return;
        case idempotency_decision::mismatch:
            link->send(replyOf(request.call, outcome::not_run, reason::key_reused));
            co_return;
        case idempotency_decision::from_future:
            link->send(replyOf(request.call, outcome::not_run, reason::key_from_future));
            co_return;
        case idempotency_decision::full:
            link->send(replyOf(request.call, outcome::not_run, reason::overloaded));
            co_return;
        }
    }
}

// Tries the eligible searchers of the front in random order.
void order_service::startOrder(const node_link_handle& link, const order_request& request, const front_spec& front, monotonic_time deadline)
{
    thread_local std::mt19937 random { std::random_device {}() };
    const auto document = m_agent.document();
    auto order = std::make_shared<running_order>(running_order { link, request, front, deadline, {}, reason::no_owner });
    for (const auto& searcher : front.searchers) {
        if (document->isEligible(searcher))
            order->candidates.push_back(searcher);
    }
    std::shuffle(order->candidates.begin(), order->candidates.end(), random);
    tryNextSearcher(order);
}

// Sends the order to the next searcher. Only not_run, which proves that no target ran the order, leads to another try.
void order_service::tryNextSearcher(const order_handle& order)
{
    const auto now = monotonic_clock::now();
    if (order->candidates.empty() || now >= order->deadline) {
        finishOrder(order, replyOf(order->request.call, outcome::not_run, now >= order->deadline ? reason::deadline_passed : order->lastReason));
        return;
    }
    const auto searcher = order->candidates.back();
    order->candidates.pop_back();
    const auto onFinished = [this, order](const call_reply& result) {
        if (result.result != outcome::not_run) {
            finishOrder(order, result);
            return;
        }
        order->lastReason = result.why;
        tryNextSearcher(order);
    };
    const auto epoch = m_agent.epoch();
    const auto owner = ownerOf(epoch->members, order->front, searcher);
    if (!owner) {
        order->lastReason = reason::no_owner;
        tryNextSearcher(order);
        return;
    }
    run_request request { {}, order->front.id, searcher.id, order->request.key, order->request.text, order->front.priority, budgetUntil(order->deadline) };
    if (*owner == m_agent.self()) {
        runLocally(request, onFinished);
        return;
    }
    const auto& address = epoch->find(*owner)->address;
    request.call = m_calls.open(address, onFinished);
    // Checked immediately before every send, so that a process that was paused sends nothing.
    if (!m_agent.rightIsFresh(monotonic_clock::now())) {
        m_calls.remove(request.call);
        finishOrder(order, replyOf(order->request.call, outcome::not_run, reason::right_stale));
        return;
    }
    m_links.send(address, request);
    asio::co_spawn(
        m_executor, [this, call = request.call, deadline = order->deadline]() -> awaitable<void> {
            asio::steady_timer timer(m_executor, deadline + ownerReplyGracePeriod - monotonic_clock::now());
            co_await timer.async_wait(asio::use_awaitable);
            m_calls.handleReply(replyOf(call, outcome::outcome_unknown, reason::deadline_passed));
        },
        asio::detached);
}

// Records the result in the idempotency table and sends it to the front.
void order_service::finishOrder(const order_handle& order, const call_reply& result)
{
    {
        const std::lock_guard lock(m_mutex);
        m_table.finish(order->request.key, result.result, result.why, result.answer);
        m_runningKeys.erase(order->request.key);
    }
    order->link->send(replyOf(order->request.call, result.result, result.why, result.answer));
}

void order_service::handleRun(const node_link_handle& link, const run_request& request)
{
    runLocally(request, [link, call = request.call](const call_reply& result) {
        link->send(replyOf(call, result.result, result.why, result.answer));
    });
}

// Runs the order on a searcher that this node owns.
void order_service::runLocally(const run_request& request, std::function<void(const call_reply&)> onFinished)
{
    const auto runtime = m_searches.find(request.searcher);
    if (!runtime) {
        onFinished(replyOf(request.call, outcome::not_run, reason::not_owner));
        return;
    }
    const auto token = m_searches.nextToken();
    searcher_job job;
    job.request.requestId = m_agent.self().value() + "-" + std::to_string(token.value());
    job.request.text = request.text;
    job.request.key = request.key;
    job.deadline = deadlineOf(request.budget);
    job.priority = request.priority;
    job.onFinished = [onFinished = std::move(onFinished), call = request.call](const job_result& result) {
        onFinished(replyOf(call, result.result, result.why, result.reply.answer));
    };
    runtime->submit(token, std::move(job));
}

// Hands over one epoch after another, because a handover contains a floor, which is known only after all earlier changes
// are settled. No handover starts while an order runs whose key has moved.
void order_service::reconcile()
{
    const auto epoch = m_agent.epoch();
    const auto now = monotonic_clock::now();
    std::map<node_id, std::vector<idempotency_record>> recordsByReceiver;
    epoch_number handoverEpoch;
    {
        const std::lock_guard lock(m_mutex);
        while (m_openHandovers.empty()) {
            if (!startNextHandover(*epoch))
                return;
        }
        if (now - m_handoverSentAt < handoverRetryInterval)
            return;
        m_handoverSentAt = now;
        handoverEpoch = m_lastHandoverEpoch;
        std::erase_if(m_openHandovers, [&](const auto& entry) { return !epoch->contains(entry.first); });
        for (const auto& [receiver, number] : m_openHandovers)
            recordsByReceiver[receiver];
        for (auto& record : m_table.records()) {
            const auto holder = keyHolderOf(epoch->members, record.key);
            if (holder && recordsByReceiver.contains(*holder))
                recordsByReceiver[*holder].push_back(std::move(record));
        }
    }
    const auto floor = m_agent.handoverFloor(handoverEpoch);
    for (const auto& [receiver, records] : recordsByReceiver)
        sendHandover(*epoch->find(receiver), handoverEpoch, floor.value_or(wallNow()), records);
}

// Starts the handover for the next epoch. Returns false if there is no later epoch, if an order with a moved key runs,
// or if the floor is not known yet. Requires m_mutex.
bool order_service::startNextHandover(const assignment_epoch& epoch)
{
    const auto joined = m_agent.firstMemberEpoch();
    if (!joined)
        return false;
    const auto next = std::max(m_lastHandoverEpoch, *joined).next();
    if (next > epoch.number)
        return false;
    const bool stillRunning = std::any_of(m_runningKeys.begin(), m_runningKeys.end(), [&](const idempotency_key& key) { return keyHolderOf(epoch.members, key) != m_agent.self(); });
    if (stillRunning || !m_agent.handoverFloor(next))
        return false;
    m_lastHandoverEpoch = next;
    m_handoverSentAt = {};
    for (const auto& receiver : m_agent.handoverReceivers(next)) {
        if (epoch.contains(receiver))
            m_openHandovers[receiver] = next;
    }
    return true;
}

void order_service::sendHandover(const epoch_member& receiver, epoch_number epoch, wall_time floor, const std::vector<idempotency_record>& records)
{
    handover_message message { m_agent.self(), epoch, floor.time_since_epoch().count(), {}, false };
    for (std::size_t start = 0; start < records.size(); start += recordsPerHandover) {
        const auto end = std::min(records.size(), start + recordsPerHandover);
        message.records.assign(records.begin() + static_cast<std::ptrdiff_t>(start), records.begin() + static_cast<std::ptrdiff_t>(end));
        m_links.send(receiver.address, message);
    }
    message.records.clear();
    message.last = true;
    m_links.send(receiver.address, message);
}

void order_service::handleHandover(const node_link_handle& link, const handover_message& message)
{
    {
        const std::lock_guard lock(m_mutex);
        m_table.merge(message.records);
    }
    if (!message.last)
        return;
    if (message.epoch > m_agent.epoch()->number)
        return; // the sender repeats it until this node knows the epoch
    m_agent.recordHandover(message);
    logEvent(event::handover_received, "from=" + message.from.value() + " epoch=" + std::to_string(message.epoch.value()));
    link->send(handover_ack { m_agent.self(), message.epoch });
}

void order_service::handleHandoverAck(const handover_ack& ack)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_openHandovers.find(ack.from);
    if (found != m_openHandovers.end() && found->second == ack.epoch)
        m_openHandovers.erase(found);
}

bool order_service::isReleased() const
{
    const auto epoch = m_agent.epoch();
    const auto joined = m_agent.firstMemberEpoch();
    if (!joined)
        return true; // a process that never joined holds no keys
    const std::lock_guard lock(m_mutex);
    return std::max(m_lastHandoverEpoch, *joined) >= epoch->number && m_openHandovers.empty();
}

std::size_t order_service::openOrderCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_runningKeys.size();
}

std::size_t order_service::recordCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.size();
}

} // namespace limpetpier
