#include "raw_server.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace limpetpier::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

class raw_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, unsigned short port, handler handle)
        : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), port))
        , handle(std::move(handle))
    {
    }

    class connection;

    void accept();

    tcp::acceptor acceptor;
    handler handle;
    std::set<std::shared_ptr<connection>> connections;
    std::size_t accepted = 0;
    std::size_t endlessBytesSent = 0;
    std::size_t maxConnections = SIZE_MAX;
};

class raw_server::implementation::connection : public raw_exchange, public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, std::shared_ptr<implementation> server)
        : m_socket(std::move(socket))
        , m_server(std::move(server))
    {
        m_parser.emplace();
        m_parser->eager(true);
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            if (error) {
                self->disconnect();
                return;
            }
            self->m_pending.append(self->m_buffer.data(), count);
            self->parse();
            if (self->m_socket.is_open())
                self->read();
        });
    }

    void send(std::string bytes, bool close) override
    {
        if (!m_socket.is_open())
            return;
        auto shared = std::make_shared<std::string>(std::move(bytes));
        asio::async_write(m_socket, asio::buffer(*shared), [self = shared_from_this(), shared, close](const boost::system::error_code&, std::size_t) {
            if (close)
                self->disconnect();
        });
    }

    void sendWithoutEnd(std::string beginning, std::string repeated) override
    {
        auto shared = std::make_shared<std::string>(std::move(beginning));
        asio::async_write(m_socket, asio::buffer(*shared), [self = shared_from_this(), shared, repeated = std::move(repeated)](const boost::system::error_code& error, std::size_t written) {
            self->m_server->endlessBytesSent += written;
            if (error)
                self->disconnect();
            else
                self->sendWithoutEnd(repeated, repeated);
        });
    }

    void reset() override
    {
        boost::system::error_code ignored;
        if (m_socket.is_open())
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        disconnect();
    }

    [[nodiscard]] bool isOpen() const override { return m_socket.is_open(); }

private:
    void parse()
    {
        while (!m_pending.empty()) {
            boost::system::error_code error;
            m_pending.erase(0, m_parser->put(asio::buffer(m_pending), error));
            if (!m_parser->is_done())
                return;
            auto message = m_parser->release();
            m_parser.emplace();
            m_parser->eager(true);
            http_request request { std::string(message.method_string()), std::string(message.target()), {}, std::move(message.body()) };
            for (const auto& field : message)
                request.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
            m_server->handle(request, shared_from_this());
        }
    }

    void disconnect()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        const auto self = shared_from_this();
        m_server->connections.erase(self);
    }

    tcp::socket m_socket;
    std::shared_ptr<implementation> m_server;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::string m_pending;
    std::array<char, 4096> m_buffer {};
};

void raw_server::implementation::accept()
{
    acceptor.async_accept([self = shared_from_this()](const boost::system::error_code& error, tcp::socket socket) {
        if (error)
            return;
        ++self->accepted;
        const auto client = std::make_shared<connection>(std::move(socket), self);
        if (self->connections.size() >= self->maxConnections) {
            client->reset();
        } else {
            self->connections.insert(client);
            client->read();
        }
        self->accept();
    });
}

raw_server::raw_server(asio::io_context& io, unsigned short port, handler handle)
    : m_implementation(std::make_shared<implementation>(io, port, std::move(handle)))
{
    m_implementation->accept();
}

raw_server::~raw_server() { crash(); }

std::string raw_server::address() const { return "127.0.0.1:" + std::to_string(m_implementation->acceptor.local_endpoint().port()); }
std::size_t raw_server::accepted() const { return m_implementation->accepted; }
std::size_t raw_server::endlessBytesSent() const { return m_implementation->endlessBytesSent; }
void raw_server::limitConnections(std::size_t maxConnections) { m_implementation->maxConnections = maxConnections; }

void raw_server::crash()
{
    boost::system::error_code ignored;
    m_implementation->acceptor.close(ignored);
    const auto open = m_implementation->connections;
    for (const auto& connection : open)
        connection->reset();
}

} // namespace limpetpier::standins
