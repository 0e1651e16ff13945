#include "connection_pool.h"

#include <algorithm>

namespace limpetpier {

namespace {

constexpr milliseconds connectTimeout { 250 };

} // namespace

connection_pool::connection_pool(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, std::size_t limit)
    : m_executor(std::move(executor))
    , m_endpoint(std::move(endpoint))
    , m_limit(limit)
{
}

awaitable<connection_handle> connection_pool::acquire()
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isOpen())
            co_return connection;
        --m_openCount;
    }
    co_return co_await open();
}

awaitable<connection_handle> connection_pool::acquireOldest()
{
    if (!m_idle.empty()) {
        auto oldest = std::move(m_idle.front());
        m_idle.pop_front();
        m_idle.push_back(std::move(oldest));
    }
    co_return co_await acquire();
}

awaitable<connection_handle> connection_pool::open()
{
    if (m_openCount >= m_limit)
        co_return nullptr;
    ++m_openCount;
    auto connection = std::make_shared<http_connection>(m_executor);
    if (co_await connection->connect(m_endpoint, connectTimeout))
        co_return connection;
    --m_openCount;
    co_return nullptr;
}

void connection_pool::release(connection_handle connection)
{
    if (connection->isOpen() && !m_retired)
        m_idle.push_back(std::move(connection));
    else
        --m_openCount;
}

void connection_pool::removeIdle(const connection_handle& connection)
{
    std::erase(m_idle, connection);
}

connection_handle connection_pool::makeClosedConnection()
{
    ++m_openCount;
    return std::make_shared<http_connection>(m_executor);
}

void connection_pool::closeIdle()
{
    m_openCount -= m_idle.size();
    m_idle.clear();
}

void connection_pool::retire()
{
    m_retired = true;
    closeIdle();
}

} // namespace limpetpier
