#include "platform_searcher.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "limpetpier/transport/http_format.h"

namespace limpetpier::standins {

namespace {

constexpr std::size_t recordBytes = 16;

// Returns a different number for each searcher, so that a restarted searcher does not repeat earlier stamps.
std::size_t nextIncarnation()
{
    static std::size_t last = 0;
    return ++last;
}

} // namespace

platform_searcher::platform_searcher(boost::asio::io_context& io, std::string id, std::string records, unsigned short port)
    : m_io(io)
    , m_server(io, port, [this](const http_request& request, const raw_exchange_handle& exchange) { handle(request, exchange); })
    , m_id(std::move(id))
    , m_incarnation(nextIncarnation())
{
    for (const char letter : records)
        m_records.append(recordBytes, letter);
}

std::string platform_searcher::entry(const std::string& service, const std::string& zone, const std::string& state, int coldLeftMs) const
{
    return boost::json::serialize(boost::json::object { { "service", service }, { "address", m_advertised.empty() ? address() : m_advertised }, { "zone", zone }, { "version", m_version }, { "slots", 2 }, { "state", state }, { "coldLeftMs", coldLeftMs }, { "seq", 1 }, { "born", m_incarnation } });
}

std::size_t platform_searcher::waitingClients() const
{
    return static_cast<std::size_t>(std::count_if(m_unanswered.begin(), m_unanswered.end(), [](const auto& exchange) { return exchange->isOpen(); }));
}

void platform_searcher::handle(const http_request& request, const raw_exchange_handle& exchange)
{
    if (request.target == "/healthz") {
        ++m_healthChecks;
        http_reply reply;
        reply.status = m_healthy ? 200 : 503;
        reply.fields = { { "Instance-Id", m_id }, { "Cold-Ms", std::to_string(m_coldLeftMs) } };
        addNotices(reply);
        exchange->send(formatReply(reply, false), false);
        return;
    }
    ++m_arrivals;
    m_lastRequest = request;
    answer(request, exchange);
}

void platform_searcher::answer(const http_request& request, const raw_exchange_handle& exchange)
{
    const bool runs = m_behaviour != searcher_behaviour::shedding && m_behaviour != searcher_behaviour::misdirected && request.field("Target-Instance") == m_id;
    if (m_onArrival)
        m_onArrival(request, runs);
    if (m_behaviour == searcher_behaviour::shedding) {
        if (m_onPushback && !m_retryAfter.empty())
            m_onPushback(request.field("Request-Id"));
        rejectUnexecuted(503, { "Not-Executed", "1" }, exchange);
        return;
    }
    if (!runs) {
        rejectUnexecuted(421, { "Instance-Id", "other" }, exchange);
        return;
    }
    m_runs.push_back(request.field("Request-Id"));
    if (!m_workTime) {
        reply(request, exchange);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_workTime());
    timer->async_wait([this, timer, request, exchange](const boost::system::error_code&) {
        if (exchange->isOpen())
            reply(request, exchange);
    });
}

void platform_searcher::rejectUnexecuted(unsigned status, http_field reason, const raw_exchange_handle& exchange) const
{
    http_reply reply;
    reply.status = status;
    reply.fields.push_back(std::move(reason));
    addNotices(reply);
    exchange->send(formatReply(reply, false), false);
}

void platform_searcher::addNotices(http_reply& reply) const
{
    constexpr unsigned statusUnavailable = 503;
    if (m_leaving)
        reply.fields.push_back({ "Server-Leaving", "1" });
    if (reply.status == statusUnavailable && !m_retryAfter.empty())
        reply.fields.push_back({ "Retry-After", m_retryAfter });
}

std::string platform_searcher::records(const std::string& requestId) const
{
    if (!m_workTime)
        return m_records;
    std::string result;
    for (std::size_t offset = 0; offset < m_records.size(); offset += recordBytes) {
        auto record = m_records[offset] + requestId;
        record.resize(recordBytes, '.');
        result += record;
    }
    return result;
}

void platform_searcher::reply(const http_request& request, const raw_exchange_handle& exchange)
{
    const auto requestId = request.field("Request-Id");
    const auto normalResponse = [&] { return format(200, requestId, records(requestId), true); };
    switch (m_behaviour) {
    case searcher_behaviour::failing:
        exchange->send(format(500, requestId, "broken", true), false);
        break;
    case searcher_behaviour::unavailable:
        exchange->send(format(503, requestId, "", true), false);
        break;
    case searcher_behaviour::not_responding:
        m_unanswered.push_back(exchange);
        break;
    case searcher_behaviour::resetting:
        exchange->reset();
        break;
    case searcher_behaviour::truncating: {
        const auto response = normalResponse();
        exchange->send(response.substr(0, response.size() - recordBytes / 2), true);
        break;
    }
    case searcher_behaviour::stale_response_first:
        exchange->send(format(200, "earlier", "stale", true) + normalResponse(), false);
        break;
    case searcher_behaviour::extra_response:
        exchange->send(normalResponse() + format(200, "later", "stale", true), false);
        break;
    case searcher_behaviour::close_delimited:
    case searcher_behaviour::close_delimited_reset: {
        const auto head = "HTTP/1.1 200 OK\r\nResponse-Stamp: " + createStamp(requestId) + "\r\nRequest-Id: " + requestId + "\r\n\r\n";
        exchange->send(head + records(requestId), m_behaviour == searcher_behaviour::close_delimited);
        if (m_behaviour == searcher_behaviour::close_delimited_reset)
            exchange->reset();
        break;
    }
    case searcher_behaviour::closing:
        exchange->send(format(200, requestId, records(requestId), true, true), true);
        break;
    case searcher_behaviour::mismatched_id:
        exchange->send(format(200, "another", "foreign", true), true);
        break;
    default:
        exchange->send(normalResponse(), false);
    }
}

std::string platform_searcher::createStamp(const std::string& requestId) const
{
    auto stamp = m_id + "." + std::to_string(m_incarnation) + "." + std::to_string(++m_stampCount);
    if (m_onResponseStamp)
        m_onResponseStamp(stamp, requestId);
    return stamp;
}

std::string platform_searcher::format(unsigned status, const std::string& requestId, const std::string& body, bool withStamp, bool close) const
{
    http_reply reply;
    reply.status = status;
    reply.close = close;
    reply.contentType = "application/octet-stream";
    if (withStamp)
        reply.fields.push_back({ "Response-Stamp", createStamp(requestId) });
    reply.fields.push_back({ "Request-Id", requestId });
    addNotices(reply);
    reply.body = body;
    return formatReply(reply, false);
}

} // namespace limpetpier::standins
