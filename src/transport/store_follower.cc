#include "limpetpier/transport/store_follower.h"

#include <algorithm>

#include "limpetpier/transport/events.h"

namespace limpetpier {

store_follower::store_follower(const boost::asio::any_io_executor& executor, metadata_store& store, std::string prefix, follow_policy policy, handlers callbacks)
    : m_store(store)
    , m_timer(executor)
    , m_prefix(std::move(prefix))
    , m_policy(policy)
    , m_handlers(std::move(callbacks))
    , m_outages(policy.minExpiryOutage)
{
    m_store.onEra([this](store_era era) { handleEra(era); });
}

void store_follower::start()
{
    reload();
}

void store_follower::reload()
{
    m_isLoaded = false;
    m_loadedItems.clear();
    m_readStartedAt = monotonic_clock::now();
    m_revision = {};
    readPage({});
}

void store_follower::readPage(const std::string& after)
{
    m_store.readRange(m_prefix, after, [this, callId = ++m_callId, sentAt = monotonic_clock::now()](store_result result, store_page page) {
        if (callId != m_callId)
            return;
        if (result == store_result::ok)
            handlePage(std::move(page));
        else
            handleFailure(sentAt);
    });
}

void store_follower::handlePage(store_page page)
{
    // The pages are not a consistent snapshot. Watching from the first page's revision delivers the changes that occurred
    // between the pages.
    if (m_history.recordRead(page.revision)) {
        handleRestoredStore();
        if (!m_loadedItems.empty()) {
            reload();
            return;
        }
    }
    if (m_loadedItems.empty())
        m_revision = page.revision;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_loadedItems));
    if (page.hasMore && !m_loadedItems.empty()) {
        readPage(std::string(m_loadedItems.back().key));
        return;
    }
    handleSuccess();
    m_hasRead = true;
    m_isLoaded = true;
    const auto items = std::exchange(m_loadedItems, {});
    m_handlers.onSnapshot(items, m_outages.keepRemovedUntil());
    watch();
}

void store_follower::watchFor(milliseconds wait)
{
    m_isWatchPending = true;
    m_store.watch(m_prefix, m_revision, wait, [this, callId = ++m_callId, sentAt = monotonic_clock::now()](store_result result, const store_page& page) {
        if (callId == m_callId)
            handleChanges(result, page, sentAt);
    });
}

void store_follower::handleChanges(store_result result, const store_page& page, monotonic_time sentAt)
{
    m_isWatchPending = false;
    m_timer.cancel();
    if (result == store_result::compacted) {
        handleSuccess();
        reload();
        return;
    }
    if (result != store_result::ok) {
        // A watch without an answer was cut while it waited, which tells nothing about the time before.
        handleFailure(result == store_result::no_answer ? monotonic_clock::now() : sentAt);
        return;
    }
    handleSuccess();
    if (m_history.recordChanges(m_revision, page.revision)) {
        handleRestoredStore();
        reload();
        return;
    }
    m_revision = std::max(m_revision, page.revision);
    for (const auto& item : page.items)
        m_handlers.onChange(item, m_outages.keepRemovedUntil());
    const bool isBacklog = page.items.size() >= backlogThreshold;
    if (m_policy.batchDelay.count() > 0 && !page.items.empty() && !isBacklog)
        scheduleStep(nextBatchDelay(), &store_follower::watch);
    else
        watch();
}

// Entries that come back after an outage are read before searchers whose entries are still missing are removed.
milliseconds store_follower::nextBatchDelay() const
{
    const auto now = monotonic_clock::now();
    if (m_outages.restoredBy() <= now)
        return m_policy.batchDelay;
    return std::min(m_policy.batchDelay, std::chrono::ceil<milliseconds>(m_outages.restoredBy() - now));
}

// The answer that showed the new era belongs to a call that was sent in an earlier one, so it is ignored.
void store_follower::handleEra(store_era era)
{
    if (!m_history.recordEra(era))
        return;
    handleRestoredStore();
    m_timer.cancel();
    reload();
}

void store_follower::handleRestoredStore()
{
    logEvent(event::store_restored, event_fields().add("era", m_history.era().value()));
    m_outages.recordRestoredStore(monotonic_clock::now());
    m_handlers.onStoreRestored();
}

void store_follower::markUnreachable(monotonic_time since)
{
    if (m_outages.recordFailure(since))
        m_handlers.onReachabilityChange(false);
}

void store_follower::reportCallAnswered()
{
    if (isReachable())
        return;
    m_timer.cancel();
    if (m_isLoaded)
        watchFor(milliseconds(0));
    else
        reload();
}

void store_follower::reportRevision(store_revision revision)
{
    if (!m_isWatchPending || revision <= m_revision)
        return;
    m_isWatchPending = false;
    scheduleStep(missedChangeTimeout, &store_follower::abandonWatch);
}

void store_follower::abandonWatch()
{
    logEvent(event::watch_lost, event_fields().add("prefix", m_prefix).add("revision", m_revision.value()));
    reload();
}

void store_follower::handleFailure(monotonic_time unavailableSince)
{
    markUnreachable(unavailableSince);
    // Counted from when the store became unavailable to the call: a call that timed out is retried sooner.
    const auto delay = std::chrono::ceil<milliseconds>(unavailableSince + m_retryDelay - monotonic_clock::now());
    m_retryDelay = std::min(maxRetryDelay, m_retryDelay * 2);
    scheduleStep(std::max(delay, milliseconds(0)), m_isLoaded ? &store_follower::watch : &store_follower::reload);
}

void store_follower::handleSuccess()
{
    m_lastAnswer = monotonic_clock::now();
    m_retryDelay = initialRetryDelay;
    if (m_outages.recordAnswer(m_lastAnswer))
        m_handlers.onReachabilityChange(true);
}

void store_follower::scheduleStep(milliseconds delay, void (store_follower::*step)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, step](const boost::system::error_code& error) {
        if (!error)
            (this->*step)();
    });
}

} // namespace limpetpier
