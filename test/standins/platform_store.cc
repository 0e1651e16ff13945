#include "platform_store.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <openssl/evp.h>

#include "limpetpier/transport/http_format.h"

namespace limpetpier::standins {

namespace json = boost::json;

namespace {

// Maximum number of changes in one answer to a watch; the client gets the rest with its next watch.
constexpr std::size_t maxEventsPerAnswer = 100;

std::string encodeBase64(const std::string& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    text.resize(static_cast<std::size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()))));
    return text;
}

// Returns the value of a query parameter without decoding it; the gateway sends none that need decoding.
std::string parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

} // namespace

platform_store::platform_store(boost::asio::io_context& io, unsigned short port)
    : m_io(io)
    , m_server(io, port, [this](const http_request& request, const raw_exchange_handle& exchange) { handle(request, exchange); })
{
}

void platform_store::put(const std::string& key, const std::string& value) { store(key, encodeBase64(value), 0); }

void platform_store::remove(const std::string& key)
{
    if (m_items.erase(key) == 0)
        return;
    m_history.push_back({ key, { {}, ++m_revision, 0, 0 }, true });
    answerWaitingWatches();
}

void platform_store::compact()
{
    m_compactedRevision = m_revision;
    m_history.clear();
    for (const auto& watch : std::exchange(m_watches, {}))
        watch.exchange->reset();
}

void platform_store::keepCopy() { m_copy = { m_items, m_revision, m_leases, m_lastEndedLease }; }

void platform_store::restoreCopy()
{
    m_items = m_copy.items;
    m_revision = m_copy.revision;
    m_leases = m_copy.leases;
    m_lastEndedLease = m_copy.lastEndedLease;
    std::erase_if(m_history, [this](const change& change) { return change.state.revision > m_revision; });
    m_compactedRevision = std::min(m_compactedRevision, m_revision);
    ++m_era;
    for (const auto& watch : std::exchange(m_watches, {}))
        watch.exchange->reset();
}

void platform_store::handle(const http_request& request, const raw_exchange_handle& exchange)
{
    ++m_calls;
    if (m_behaviour == store_behaviour::unresponsive)
        return;
    const auto& target = request.target;
    if (m_behaviour == store_behaviour::rejecting)
        answer(exchange, 503, "{}");
    else if (target.starts_with("/kv-key"))
        read(parameter(target, "key"), exchange);
    else if (target.starts_with("/kv-range"))
        range(parameter(target, "prefix"), exchange);
    else if (target.starts_with("/kv-watch"))
        watch(parameter(target, "prefix"), std::stoull(parameter(target, "after")), std::stol(parameter(target, "waitMs")), exchange);
    else if (target == "/kv-lease")
        answer(exchange, 200, "{\"lease\":" + std::to_string(++m_leases) + ",\"ttlMs\":6000}");
    else if (target.starts_with("/kv-keep/"))
        renew(std::stoull(target.substr(std::string_view("/kv-keep/").size())), exchange);
    else if (target == "/kv-txn")
        transact(request.body, exchange);
    else
        answer(exchange, 200, "{}");
}

void platform_store::renew(std::uint64_t lease, const raw_exchange_handle& exchange)
{
    const bool exists = lease > m_lastEndedLease && lease <= m_leases;
    answer(exchange, exists ? 200 : 404, "{\"ttlMs\":6000}");
}

void platform_store::read(const std::string& key, const raw_exchange_handle& exchange)
{
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        answer(exchange, 404, "{}");
        return;
    }
    const auto& item = found->second;
    answer(exchange, 200, json::serialize(json::object { { "key", key }, { "value", item.value }, { "rev", item.revision }, { "created", item.created }, { "lease", item.lease }, { "at", m_revision } }));
}

void platform_store::range(const std::string& prefix, const raw_exchange_handle& exchange)
{
    json::array items;
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix))
            items.push_back(json::object { { "key", key }, { "value", item.value }, { "rev", item.revision }, { "created", item.created }, { "lease", item.lease } });
    }
    answer(exchange, 200, json::serialize(json::object { { "items", items }, { "morePages", false }, { "at", m_revision } }));
}

void platform_store::watch(const std::string& prefix, std::uint64_t after, long waitMs, const raw_exchange_handle& exchange)
{
    if (after < m_compactedRevision || after > m_revision) {
        answer(exchange, 410, "{}");
        return;
    }
    const waiting_watch waiting { prefix, after, exchange };
    if (!m_ignoresWatches && answerWatch(waiting, false))
        return;
    m_watches.push_back(waiting);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, std::chrono::milliseconds(waitMs));
    timer->async_wait([this, timer, exchange](const boost::system::error_code&) {
        const auto found = std::find_if(m_watches.begin(), m_watches.end(), [&](const waiting_watch& watch) { return watch.exchange == exchange; });
        if (found == m_watches.end())
            return;
        answerWatch(*found, true);
        m_watches.erase(found);
    });
}

bool platform_store::answerWatch(const waiting_watch& watch, bool allowEmpty)
{
    json::array events;
    auto at = m_revision;
    for (const auto& change : m_history) {
        if (change.state.revision <= watch.after || !change.key.starts_with(watch.prefix))
            continue;
        if (events.size() >= maxEventsPerAnswer)
            break;
        at = change.state.revision;
        if (change.deleted)
            events.push_back(json::object { { "key", change.key }, { "rev", change.state.revision }, { "deleted", true } });
        else
            events.push_back(json::object { { "key", change.key }, { "value", change.state.value }, { "rev", change.state.revision }, { "created", change.state.created }, { "lease", change.state.lease } });
    }
    if (events.empty() && !allowEmpty)
        return false;
    answer(watch.exchange, 200, json::serialize(json::object { { "events", events }, { "at", events.size() >= maxEventsPerAnswer ? at : m_revision } }));
    return true;
}

void platform_store::transact(const std::string& body, const raw_exchange_handle& exchange)
{
    const auto call = json::parse(body);
    for (const auto& write : call.at("writes").as_array())
        store(json::value_to<std::string>(write.at("key")), json::value_to<std::string>(write.at("value")), write.at("lease").to_number<std::uint64_t>());
    answer(exchange, 200, "{\"rev\":" + std::to_string(m_revision) + "}", true);
}

void platform_store::store(const std::string& key, const std::string& encoded, std::uint64_t lease)
{
    auto& item = m_items[key];
    item.value = encoded;
    item.revision = ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_history.push_back({ key, item, false });
    answerWaitingWatches();
}

void platform_store::answerWaitingWatches()
{
    if (m_behaviour != store_behaviour::normal || m_ignoresWatches)
        return;
    std::erase_if(m_watches, [this](const waiting_watch& watch) { return !watch.exchange->isOpen() || answerWatch(watch, false); });
}

void platform_store::answer(const raw_exchange_handle& exchange, unsigned status, const std::string& body, bool isWrite)
{
    if (m_behaviour == store_behaviour::losing_responses && isWrite) {
        exchange->reset();
        return;
    }
    http_reply reply;
    reply.status = status;
    reply.body = body;
    if (m_statesEra)
        reply.fields.push_back({ "Store-Era", std::to_string(m_era) });
    exchange->send(formatReply(reply, false), false);
}

} // namespace limpetpier::standins
