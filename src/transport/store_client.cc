#include "limpetpier/transport/store_client.h"

#include <boost/json.hpp>

#include "limpetpier/state/errors.h"
#include "limpetpier/transport/http.h"

namespace limpetpier {

namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;

[[noreturn]] void throwUnavailable(const std::string& reason)
{
    throw store_unavailable("platform store: " + reason + "; nodes keep the settings that they have, retry the edit later");
}

store_value parseValue(const std::string& body)
{
    const auto value = json::parse(body);
    return { value.at("version").to_number<std::uint64_t>(), json::value_to<std::string>(value.at("value")) };
}

} // namespace

store_client::store_client(asio::any_io_executor executor, const std::string& address, milliseconds timeout)
    : m_executor(std::move(executor))
    , m_endpoint(parseTcpEndpoint(address))
    , m_timeout(timeout)
{
}

awaitable<store_value> store_client::get(std::string key)
{
    unsigned status = 0;
    const auto body = co_await call("GET", "/kv/" + key, {}, m_timeout, status);
    if (status == statusNotFound)
        co_return store_value {};
    co_return parseValue(body);
}

awaitable<bool> store_client::compareAndSwap(std::string key, std::uint64_t expected, std::string text)
{
    unsigned status = 0;
    co_await call("PUT", "/kv/" + key + "?expect=" + std::to_string(expected), std::move(text), m_timeout, status);
    co_return status == statusOk;
}

awaitable<store_value> store_client::watch(std::string key, std::uint64_t known, milliseconds wait)
{
    unsigned status = 0;
    const auto target = "/watch/" + key + "?known=" + std::to_string(known) + "&wait_ms=" + std::to_string(wait.count());
    const auto body = co_await call("GET", target, {}, m_timeout + wait, status);
    if (status == statusNotFound)
        co_return store_value {};
    co_return parseValue(body);
}

awaitable<std::string> store_client::call(std::string method, std::string target, std::string body, milliseconds timeout, unsigned& status)
{
    http_connection connection(m_executor);
    if (!co_await connection.connect(m_endpoint, m_timeout))
        throwUnavailable("connection failed");
    http_request request { std::move(method), std::move(target), {}, std::move(body) };
    const auto result = co_await connection.exchange(std::move(request), timeout);
    if (result.stage != exchange_stage::replied)
        throwUnavailable("no answer within " + std::to_string(timeout.count()) + " ms");
    status = result.reply.status;
    if (status != statusOk && status != statusNotFound && status != statusConflict)
        throwUnavailable("found status " + std::to_string(status) + ", expected 200, 404 or 409");
    co_return result.reply.body;
}

} // namespace limpetpier
