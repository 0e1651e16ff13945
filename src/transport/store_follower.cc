#include "limpetpier/transport/store_follower.h"

#include <algorithm>

#include "limpetpier/transport/events.h"

namespace limpetpier {

store_follower::store_follower(const boost::asio::any_io_executor& executor, metadata_store& store, std::string prefix, follow_policy policy, handlers handle)
    : m_store(store)
    , m_timer(executor)
    , m_prefix(std::move(prefix))
    , m_policy(policy)
    , m_handle(std::move(handle))
{
}

void store_follower::start()
{
    reload();
}

void store_follower::reload()
{
    m_current = false;
    m_loading.clear();
    m_at = {};
    load({});
}

void store_follower::load(const std::string& after)
{
    m_store.readRange(m_prefix, after, [this, call = ++m_call](store_result result, store_page page) {
        if (call == m_call)
            handlePage(result, std::move(page));
    });
}

void store_follower::handlePage(store_result result, store_page page)
{
    if (result != store_result::ok) {
        fail();
        return;
    }
    // Pages are no snapshot: watching from the first page's revision repeats what changed between them.
    if (m_loading.empty())
        m_at = page.at;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_loading));
    if (page.more && !m_loading.empty()) {
        load(std::string(m_loading.back().key));
        return;
    }
    succeed();
    const bool afterOutage = m_hasRead && isAfterOutage();
    m_hasRead = true;
    m_current = true;
    const auto items = std::exchange(m_loading, {});
    m_handle.replaced(items, afterOutage);
    watch();
}

void store_follower::watchFor(milliseconds wait)
{
    m_waiting = true;
    m_store.watch(m_prefix, m_at, wait, [this, call = ++m_call](store_result result, const store_page& page) {
        if (call == m_call)
            handleChanges(result, page);
    });
}

void store_follower::handleChanges(store_result result, const store_page& page)
{
    m_waiting = false;
    m_timer.cancel();
    if (result == store_result::compacted) {
        succeed();
        reload();
        return;
    }
    if (result != store_result::ok) {
        fail();
        return;
    }
    succeed();
    m_at = std::max(m_at, page.at);
    for (const auto& item : page.items)
        m_handle.changed(item, isAfterOutage());
    const bool isBacklog = page.items.size() >= backlogItems;
    if (m_policy.pause.count() > 0 && !page.items.empty() && !isBacklog)
        later(m_policy.pause, &store_follower::watch);
    else
        watch();
}

void store_follower::noteNoAnswer()
{
    if (!std::exchange(m_reachable, false))
        return;
    m_handle.reachable(false);
}

void store_follower::noteAnswer()
{
    if (m_reachable)
        return;
    m_timer.cancel();
    if (m_current)
        watchFor(milliseconds(0));
    else
        reload();
}

void store_follower::noteRevision(store_revision at)
{
    if (!m_waiting || at <= m_at)
        return;
    m_waiting = false;
    later(watchDelay, &store_follower::giveUpWatch);
}

void store_follower::giveUpWatch()
{
    logEvent(event::watch_lost, event_fields().add("prefix", m_prefix).add("revision", m_at.value()));
    reload();
}

void store_follower::fail()
{
    noteNoAnswer();
    const auto delay = m_retry;
    m_retry = std::min(longestRetry, m_retry * 2);
    later(delay, m_current ? &store_follower::watch : &store_follower::reload);
}

void store_follower::succeed()
{
    m_lastAnswer = monotonic_clock::now();
    m_retry = firstRetry;
    if (m_reachable)
        return;
    m_reachable = true;
    m_outageEnd = m_lastAnswer;
    m_handle.reachable(true);
}

bool store_follower::isAfterOutage() const
{
    return m_outageEnd != monotonic_time {} && monotonic_clock::now() - m_outageEnd < outageEcho;
}

void store_follower::later(milliseconds delay, void (store_follower::*step)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, step](const boost::system::error_code& cancelled) {
        if (!cancelled)
            (this->*step)();
    });
}

} // namespace limpetpier
