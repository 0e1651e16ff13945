#include "load_generator.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace limpetpier {

namespace json = boost::json;

namespace {

constexpr milliseconds connectTimeout { 500 };
constexpr milliseconds exchangeTimeout { 5000 };
constexpr milliseconds retryDelay { 60 };
constexpr milliseconds pollInterval { 50 };
constexpr unsigned statusOk = 200;

std::int64_t wallMs()
{
    return wallNow().time_since_epoch().count();
}

std::int64_t elapsedUs(monotonic_time since)
{
    return std::chrono::duration_cast<microseconds>(monotonic_clock::now() - since).count();
}

// Parses the body of a reply; returns an empty object if there is none or it is not a JSON object.
json::object parseBody(const exchange_result& result)
{
    boost::system::error_code error;
    auto value = json::parse(result.reply.body, error);
    return !error && value.is_object() ? std::move(value.get_object()) : json::object {};
}

std::string textAt(const json::object& object, const char* name)
{
    const auto* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

double load_summary::quantileMs(double fraction)
{
    if (latenciesMs.empty())
        return 0;
    std::sort(latenciesMs.begin(), latenciesMs.end());
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(latenciesMs.size())));
    return latenciesMs[std::min(latenciesMs.size(), std::max<std::size_t>(rank, 1)) - 1];
}

load_generator::load_generator(asio::any_io_executor executor, load_options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
    for (const auto& address : m_options.fronts)
        m_fronts.push_back({ address, {}, true });
    if (!m_options.recordsPath.empty())
        m_records.open(m_options.recordsPath, std::ios::app);
}

awaitable<void> load_generator::run()
{
    for (std::size_t position = 0; m_options.balanced && position < m_fronts.size(); ++position)
        asio::co_spawn(m_executor, watchReadiness(position), asio::detached);
    for (const auto& node : m_options.watchedNodes)
        asio::co_spawn(m_executor, sampleRevisions(node), asio::detached);
    std::exponential_distribution<double> intervalSeconds(m_options.rate);
    const auto startedAt = monotonic_clock::now();
    auto nextSendAt = startedAt;
    asio::steady_timer timer(m_executor);
    for (std::uint64_t number = 0; nextSendAt < startedAt + m_options.duration; ++number) {
        timer.expires_at(nextSendAt);
        co_await timer.async_wait(asio::use_awaitable);
        ++m_openRequests;
        asio::co_spawn(m_executor, trackRequest(m_options.orders ? sendOrder(number, nextSendAt) : sendSearch(number, nextSendAt)), asio::detached);
        nextSendAt += std::chrono::duration_cast<monotonic_clock::duration>(std::chrono::duration<double>(intervalSeconds(m_random)));
    }
    while (m_openRequests > 0) {
        timer.expires_after(milliseconds(10));
        co_await timer.async_wait(asio::use_awaitable);
    }
    m_isFinished = true;
    m_records.flush(); // the process may end without running destructors
}

awaitable<void> load_generator::trackRequest(awaitable<void> request)
{
    co_await std::move(request);
    --m_openRequests;
}

http_request load_generator::searchRequest(const std::string& query) const
{
    http_request request { "POST", "/v1/fronts/" + m_options.front + "/search", {}, {} };
    json::object body { { "query", query }, { "limit", m_options.limit } };
    if (m_options.deadline.count() > 0)
        body["deadline_ms"] = m_options.deadline.count();
    if (m_options.direct) {
        request.target = "/search";
        request.fields = { { "X-Request-Id", query }, { "X-Deadline-Ms", "1000" }, { "X-Index-Version", "1" }, { "X-Shard-Map", "1" } };
    }
    request.body = json::serialize(body);
    return request;
}

awaitable<void> load_generator::sendSearch(std::uint64_t number, monotonic_time intendedAt)
{
    const auto query = "q" + std::to_string(m_options.seed) + "-" + std::to_string(number);
    const auto sentAt = wallMs();
    const auto result = co_await exchange(chooseFront(number), searchRequest(query));
    const auto latency = elapsedUs(intendedAt);
    ++m_summary.requests;
    const auto body = parseBody(result);
    const auto outcome = textAt(body, "outcome");
    if (result.stage != exchange_stage::replied) {
        ++m_summary.cut;
    } else if (outcome == "answered" || m_options.direct) {
        ++m_summary.answered;
        m_summary.latenciesMs.push_back(static_cast<double>(latency) / 1000);
    } else {
        ++(outcome == "not_run" ? m_summary.notRun : m_summary.unknown);
    }
    if (outcome == "answered") {
        m_summary.coverageSum += body.at("coverage").at("fraction").to_number<double>();
        m_summary.subRequests += body.at("timing").at("sub_requests").to_number<std::uint64_t>();
        m_summary.hedges += body.at("timing").at("hedges").to_number<std::uint64_t>();
    }
    record(json::serialize(json::object {
        { "kind", "search" },
        { "query", query },
        { "sent_ms", sentAt },
        { "ended_ms", wallMs() },
        { "latency_us", latency },
        { "status", result.stage == exchange_stage::replied ? result.reply.status : 0 },
        { "reply", body },
    }));
}

// Sends an order until it is answered or its attempts are used up. Records every attempt.
awaitable<void> load_generator::sendOrder(std::uint64_t number, monotonic_time intendedAt)
{
    const auto key = newKey();
    std::string outcome;
    for (std::uint32_t attempt = 1; attempt <= m_options.maxAttempts; ++attempt) {
        http_request request { "POST", "/v1/fronts/" + m_options.front + "/order", {}, "{\"lookup\":\"" + key + "\"}" };
        request.fields = { { "Idempotency-Key", key }, { "X-Attempt", std::to_string(attempt) } };
        if (m_options.deadline.count() > 0)
            request.fields.push_back({ "X-Deadline-Ms", std::to_string(m_options.deadline.count()) });
        if (m_options.direct) {
            request.target = "/run";
            request.fields = { { "X-Request-Id", key }, { "X-Deadline-Ms", "1000" }, { "Idempotency-Key", key } };
        }
        const auto sentAt = wallMs();
        const auto result = co_await exchange(chooseFront(number + attempt), std::move(request));
        const auto body = parseBody(result);
        outcome = result.stage == exchange_stage::replied ? textAt(body, "outcome") : "cut";
        if (m_options.direct && result.stage == exchange_stage::replied)
            outcome = "answered";
        record(json::serialize(json::object {
            { "kind", "order" },
            { "key", key },
            { "attempt", attempt },
            { "sent_ms", sentAt },
            { "ended_ms", wallMs() },
            { "latency_us", elapsedUs(intendedAt) },
            { "status", result.stage == exchange_stage::replied ? result.reply.status : 0 },
            { "reply", body },
        }));
        if (outcome == "answered")
            break;
        asio::steady_timer timer(m_executor, retryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    ++m_summary.requests;
    if (outcome == "answered") {
        ++m_summary.answered;
        m_summary.latenciesMs.push_back(static_cast<double>(elapsedUs(intendedAt)) / 1000);
    } else if (outcome == "cut") {
        ++m_summary.cut;
    } else {
        ++(outcome == "not_run" ? m_summary.notRun : m_summary.unknown);
    }
}

awaitable<exchange_result> load_generator::exchange(front_connections& front, http_request request)
{
    std::unique_ptr<http_connection> connection;
    while (!connection && !front.idle.empty()) {
        connection = std::move(front.idle.back());
        front.idle.pop_back();
        if (!connection->isOpen())
            connection.reset();
    }
    if (!connection) {
        connection = std::make_unique<http_connection>(m_executor);
        if (!co_await connection->connect(parseTcpEndpoint(front.address), connectTimeout))
            co_return exchange_result {};
    }
    auto result = co_await connection->exchange(std::move(request), exchangeTimeout);
    if (connection->isOpen())
        front.idle.push_back(std::move(connection));
    co_return result;
}

// Chooses a front by round robin and skips fronts that are not ready. If no front is ready, returns the first choice.
load_generator::front_connections& load_generator::chooseFront(std::uint64_t number)
{
    for (std::size_t offset = 0; offset < m_fronts.size(); ++offset) {
        auto& candidate = m_fronts[(number + offset) % m_fronts.size()];
        if (candidate.ready)
            return candidate;
    }
    return m_fronts[number % m_fronts.size()];
}

// Polls the readiness check of a front, as the platform's load balancer does.
awaitable<void> load_generator::watchReadiness(std::size_t position)
{
    front_connections probe { m_fronts[position].address, {}, true };
    asio::steady_timer timer(m_executor);
    while (!m_isFinished) {
        http_request request { "GET", "/readyz", {}, {} };
        const auto result = co_await exchange(probe, std::move(request));
        m_fronts[position].ready = result.stage == exchange_stage::replied && result.reply.status == statusOk;
        if (!m_fronts[position].ready)
            m_fronts[position].idle.clear(); // the front may have been restarted by the time it is ready again
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Records the configuration revision that a node reports, at regular intervals.
awaitable<void> load_generator::sampleRevisions(std::string address)
{
    front_connections node { address, {}, true };
    asio::steady_timer timer(m_executor);
    while (!m_isFinished) {
        http_request request { "GET", "/status", {}, {} };
        const auto result = co_await exchange(node, std::move(request));
        const auto body = parseBody(result);
        if (const auto* revision = body.if_contains("revision"))
            record(json::serialize(json::object { { "kind", "revision" }, { "node", address }, { "revision", *revision }, { "t", wallMs() } }));
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Creates an idempotency key in the layout of a UUIDv7 from the current time and the seeded generator.
std::string load_generator::newKey()
{
    const auto ms = static_cast<std::uint64_t>(wallMs());
    const auto random = m_random();
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(8) << (ms >> 16) << "-" << std::setw(4) << (ms & 0xffff) << "-7" << std::setw(3) << (random & 0xfff)
         << "-8" << std::setw(3) << ((random >> 12) & 0xfff) << "-" << std::setw(12) << ((random >> 16) & 0xffffffffffff);
    return text.str();
}

void load_generator::record(const std::string& line)
{
    if (m_records.is_open())
        m_records << line << "\n";
}

} // namespace limpetpier
