#include "platform_searcher.h"

#include <boost/json.hpp>

#include "limpetpier/transport/http_format.h"

namespace limpetpier::standins {

namespace {

constexpr std::size_t recordBytes = 16;

} // namespace

platform_searcher::platform_searcher(boost::asio::io_context& io, std::string id, std::string records, unsigned short port)
    : m_server(io, port, [this](const http_request& request, const raw_exchange_handle& exchange) { handle(request, exchange); })
    , m_id(std::move(id))
{
    for (const char letter : records)
        m_records.append(recordBytes, letter);
}

std::string platform_searcher::entry(const std::string& service, const std::string& zone, const std::string& state, int coldLeftMs) const
{
    return boost::json::serialize(boost::json::object { { "service", service }, { "address", address() }, { "zone", zone }, { "version", "v1" }, { "slots", 2 }, { "state", state }, { "coldLeftMs", coldLeftMs }, { "seq", 1 } });
}

std::size_t platform_searcher::waiting() const
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
        exchange->send(formatReply(reply, false), false);
        return;
    }
    ++m_arrivals;
    m_lastRequest = request;
    answer(request, exchange);
}

void platform_searcher::answer(const http_request& request, const raw_exchange_handle& exchange)
{
    const auto requestId = request.field("Request-Id");
    const auto good = [&] { return format(200, requestId, m_records, true); };
    if (m_mood == searcher_mood::shedding) {
        exchange->send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", false);
        return;
    }
    if (m_mood == searcher_mood::misdirected || request.field("Target-Instance") != m_id) {
        exchange->send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n", false);
        return;
    }
    m_runs.push_back(requestId);
    switch (m_mood) {
    case searcher_mood::failing:
        exchange->send(format(500, requestId, "broken", true), false);
        break;
    case searcher_mood::refusing:
        exchange->send(format(503, requestId, "", true), false);
        break;
    case searcher_mood::mute:
        m_unanswered.push_back(exchange);
        break;
    case searcher_mood::resetting:
        exchange->reset();
        break;
    case searcher_mood::truncating: {
        const auto whole = good();
        exchange->send(whole.substr(0, whole.size() - recordBytes / 2), true);
        break;
    }
    case searcher_mood::doubling:
        exchange->send(format(200, "earlier", "stale", true) + good(), false);
        break;
    case searcher_mood::trailing:
        exchange->send(good() + format(200, "later", "stale", true), false);
        break;
    case searcher_mood::unframed:
    case searcher_mood::unframed_reset: {
        const auto head = "HTTP/1.1 200 OK\r\nResponse-Stamp: u-" + m_id + "\r\nRequest-Id: " + requestId + "\r\n\r\n";
        exchange->send(head + m_records, m_mood == searcher_mood::unframed);
        if (m_mood == searcher_mood::unframed_reset)
            exchange->reset();
        break;
    }
    case searcher_mood::leaving:
        exchange->send(format(200, requestId, m_records, true, true), true);
        break;
    case searcher_mood::crossing:
        exchange->send(format(200, "another", "foreign", true), true);
        break;
    default:
        exchange->send(good(), false);
    }
}

std::string platform_searcher::format(unsigned status, const std::string& requestId, const std::string& body, bool signature, bool close) const
{
    http_reply reply;
    reply.status = status;
    reply.close = close;
    reply.contentType = "application/octet-stream";
    if (signature)
        reply.fields.push_back({ "Response-Stamp", m_id + "." + std::to_string(++m_signatures) });
    reply.fields.push_back({ "Request-Id", requestId });
    reply.body = body;
    return formatReply(reply, false);
}

} // namespace limpetpier::standins
