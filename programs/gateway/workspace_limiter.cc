#include "workspace_limiter.h"

#include <algorithm>

#include "limpetpier/coordination/return_delay.h"
#include "limpetpier/state/errors.h"
#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/events.h"

namespace limpetpier {

namespace {

// Time after which a keeper that has not answered is passed over.
constexpr milliseconds answerTimeout { 40 };

// After both keepers have refused, requests are refused without asking them for at most this long.
constexpr milliseconds maxRefusalPeriod { 50 };

// Part of the tolerance beyond a limit that a keeper holds when it starts: two keepers may change three times a window.
constexpr double startsPerWindow = 6;

// Earliest return of a request whose limit no keeper could check: another may have taken over.
constexpr milliseconds unansweredDelay { 100 };

constexpr std::chrono::seconds refusalMemory { 1 };

// A keeper that did not answer in time is asked after the other one for this long.
constexpr std::chrono::seconds silencePeriod { 1 };

// Addresses of the members that have a valid one.
std::map<node_id, asio::ip::udp::endpoint> parseAddresses(const std::map<node_id, std::string>& addresses)
{
    std::map<node_id, asio::ip::udp::endpoint> result;
    for (const auto& [name, address] : addresses) {
        try {
            result.emplace(name, parseUdpEndpoint(address));
        } catch (const limpet_error& error) {
            logEvent(event::entry_unreadable, event_fields().add("key", name.value()).add("error", error.what()));
        }
    }
    return result;
}

} // namespace

workspace_limiter::workspace_limiter(const asio::any_io_executor& executor, const node_id& self, std::string peerAddress, std::string secret, milliseconds confirmationPeriod)
    : m_executor(executor)
    , m_self(self)
    , m_peerAddress(std::move(peerAddress))
    , m_secret(std::move(secret))
    , m_keeper(self, confirmationPeriod)
{
}

void workspace_limiter::start()
{
    if (!m_secret.empty() && !m_port)
        m_port = std::make_unique<permit_port>(m_executor, m_peerAddress, m_secret, [this](const permit_message& message, const asio::ip::udp::endpoint& sender) { handleMessage(message, sender); });
}

void workspace_limiter::changeBounds(milliseconds window, double slack)
{
    m_window = window;
    m_keeper.setStartLevel(slack / startsPerWindow);
}

void workspace_limiter::update(const routing_table& table, const std::map<node_id, std::string>& memberAddresses, bool isRestart)
{
    m_limits.clear();
    if (m_window > milliseconds(0) && table.workspaces()) {
        for (const auto& [id, entry] : table.workspaces()->all()) {
            if (entry.requestsPerSecond > 0)
                m_limits[id] = { entry.requestsPerSecond, entry.burst };
        }
    }
    std::vector<listed_member> members;
    for (const auto& [name, address] : memberAddresses)
        members.push_back({ name, {} });
    auto keptLimits = m_limits;
    if (m_secret.empty()) {
        const auto parts = static_cast<double>(std::max<std::size_t>(members.size(), 1));
        for (auto& [id, limit] : keptLimits)
            limit = { limit.perSecond / parts, limit.burst / parts };
        members = { { m_self, {} } };
    }
    m_addresses = parseAddresses(memberAddresses);
    std::erase_if(m_silentUntil, [&](const auto& known) { return !m_addresses.contains(known.first); });
    m_keeper.update(keptLimits, members, isRestart, monotonic_clock::now());
    // Requests that wait are decided by the keepers that were asked for them.
    std::erase_if(m_askers, [&](const auto& known) { return !m_limits.contains(known.first) && known.second.waiting.empty(); });
}

void workspace_limiter::maintain(monotonic_time listConfirmedAt, monotonic_time now)
{
    m_keeper.confirm(listConfirmedAt, now);
}

void workspace_limiter::acquire(const workspace_id& workspace, std::uint64_t spread, std::function<void(const permit_decision&)> decided)
{
    const auto now = monotonic_clock::now();
    auto& entry = m_askers[workspace];
    if (entry.waiting.empty() && entry.pool.tryTake(now)) {
        decided({ true, false, milliseconds(0), milliseconds(0), 0 });
        return;
    }
    if (entry.waiting.empty() && now < entry.refusedUntil) {
        refuse(workspace, entry, { spread, now, std::move(decided) }, now);
        return;
    }
    entry.waiting.push_back({ spread, now, std::move(decided) });
    ++m_waiting;
    if (entry.openQuestion == 0)
        ask(workspace, entry);
}

void workspace_limiter::ask(const workspace_id& workspace, asker& entry)
{
    const auto now = monotonic_clock::now();
    entry.keepersLeft = m_keeper.keepersOf(workspace);
    std::stable_partition(entry.keepersLeft.begin(), entry.keepersLeft.end(), [&](const node_id& keeper) {
        const auto silent = m_silentUntil.find(keeper);
        return silent == m_silentUntil.end() || silent->second <= now;
    });
    entry.keepers = entry.keepersLeft.size();
    entry.askedFor = entry.waiting.size();
    entry.limitAnswers = 0;
    entry.isLimitReached = false;
    entry.nextPermit = milliseconds(0);
    entry.answers = 0;
    askNext(workspace, entry);
}

// Asks the next keeper for the requests that wait. If none is left, refuses those that all keepers were asked for and asks
// again for the others.
void workspace_limiter::askNext(const workspace_id& workspace, asker& entry)
{
    const auto now = monotonic_clock::now();
    entry.openQuestion = 0;
    if (entry.keepersLeft.empty()) {
        if (entry.limitAnswers > 0 && entry.limitAnswers == entry.keepers)
            entry.refusedUntil = now + std::min(entry.nextPermit, maxRefusalPeriod);
        const auto refusedEnd = entry.waiting.begin() + static_cast<std::ptrdiff_t>(std::min(entry.askedFor, entry.waiting.size()));
        const std::vector<waiting_request> refused(std::make_move_iterator(entry.waiting.begin()), std::make_move_iterator(refusedEnd));
        entry.waiting.erase(entry.waiting.begin(), refusedEnd);
        m_waiting -= refused.size();
        for (const auto& request : refused)
            refuse(workspace, entry, request, now);
        if (!entry.waiting.empty() && entry.openQuestion == 0)
            ask(workspace, entry);
        return;
    }
    const auto keeper = entry.keepersLeft.front();
    entry.keepersLeft.erase(entry.keepersLeft.begin());
    const auto wanted = entry.pool.batchSize(entry.waiting.size(), now);
    entry.askedAt = now;
    if (keeper == m_self) {
        handleAnswer(workspace, entry, m_keeper.grant(workspace, wanted, now));
        return;
    }
    const auto address = m_addresses.find(keeper);
    if (!m_port || address == m_addresses.end()) {
        askNext(workspace, entry);
        return;
    }
    entry.openQuestion = ++m_lastQuestion;
    m_port->send({ false, workspace.value(), entry.openQuestion, wanted, false, 0 }, address->second);
    if (!entry.timer)
        entry.timer = std::make_unique<asio::steady_timer>(m_executor);
    entry.timer->expires_after(answerTimeout);
    entry.timer->async_wait([this, workspace, keeper, question = entry.openQuestion](const boost::system::error_code& cancelled) {
        const auto found = m_askers.find(workspace);
        if (cancelled || found == m_askers.end() || found->second.openQuestion != question)
            return;
        m_silentUntil[keeper] = monotonic_clock::now() + silencePeriod;
        askNext(workspace, found->second);
    });
}

void workspace_limiter::handleMessage(const permit_message& message, const asio::ip::udp::endpoint& sender)
{
    const workspace_id workspace(message.workspace);
    if (!message.isAnswer) {
        const auto answer = m_keeper.grant(workspace, message.count, monotonic_clock::now());
        m_port->send({ true, message.workspace, message.number, answer.granted, answer.isLimitReached, answer.nextPermit.count() }, sender);
        return;
    }
    const auto found = m_askers.find(workspace);
    if (found != m_askers.end() && found->second.openQuestion == message.number)
        handleAnswer(workspace, found->second, { message.count, milliseconds(message.nextPermitMs), message.isLimitReached, 0 });
}

void workspace_limiter::handleAnswer(const workspace_id& workspace, asker& entry, const rate_keeper::answer& answer)
{
    const auto now = monotonic_clock::now();
    entry.openQuestion = 0;
    ++entry.answers;
    if (entry.timer)
        entry.timer->cancel();
    if (answer.granted > 0)
        entry.pool.add(answer.granted, entry.askedAt);
    if (answer.nextPermit > milliseconds(0))
        entry.nextPermit = entry.nextPermit == milliseconds(0) ? answer.nextPermit : std::min(entry.nextPermit, answer.nextPermit);
    entry.isLimitReached = entry.isLimitReached || answer.isLimitReached;
    entry.limitAnswers += answer.isLimitReached ? 1 : 0;
    admitWaiting(entry, now);
    if (!entry.waiting.empty() && entry.openQuestion == 0)
        askNext(workspace, entry);
}

void workspace_limiter::admitWaiting(asker& entry, monotonic_time now)
{
    std::vector<waiting_request> admitted;
    while (!entry.waiting.empty() && entry.pool.tryTake(now)) {
        admitted.push_back(std::move(entry.waiting.front()));
        entry.waiting.pop_front();
    }
    m_waiting -= admitted.size();
    entry.askedFor -= std::min(entry.askedFor, admitted.size());
    for (const auto& request : admitted)
        request.decided({ true, false, milliseconds(0), std::chrono::duration_cast<milliseconds>(now - request.since), 0 });
}

void workspace_limiter::refuse(const workspace_id& workspace, asker& entry, const waiting_request& request, monotonic_time now)
{
    while (!entry.refusals.empty() && now - entry.refusals.front() > refusalMemory)
        entry.refusals.pop_front();
    const auto limit = m_limits.find(workspace);
    const auto perSecond = limit == m_limits.end() ? 1 : limit->second.perSecond;
    const auto expected = entry.isLimitReached ? entry.nextPermit : std::max(entry.nextPermit, unansweredDelay);
    const auto delay = limitReturnDelay(expected, entry.refusals.size(), perSecond, request.spread);
    entry.refusals.push_back(now);
    request.decided({ false, entry.isLimitReached, delay, std::chrono::duration_cast<milliseconds>(now - request.since), entry.answers });
}

} // namespace limpetpier
