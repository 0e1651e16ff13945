#pragma once

#include <map>
#include <memory>

#include "limpetpier/transport/http_channel.h"
#include "soak_world.h"

namespace limpetpier::soak {

// Clients of the gateways: requests at random times that do not wait for answers, over connections that are kept as long
// as the gateway lets them. A balancer beside them asks each gateway whether it is ready.
class soak_clients {
public:
    soak_clients(boost::asio::io_context& io, soak_checker& checker, soak_world& world, random_source& random, std::optional<promise> planted);

    // A gateway and its addresses for clients and for readiness checks.
    void add(const std::string& gateway, const std::string& address, const std::string& readyAddress);

    // A process of this gateway was started anew.
    void noteStart(const std::string& gateway) { ++m_gateways[gateway].incarnation; }

    void start(double requestsPerSecond);
    void stop() { m_rate = 0; }

    [[nodiscard]] std::size_t ready() const;

private:
    using channel_handle = std::shared_ptr<http_channel>;
    struct target {
        std::string address;
        std::string readyAddress;
        std::uint64_t incarnation = 0;
        std::uint32_t unready = 0; // checks without a yes, in a row
        bool isReady = false;
        std::vector<channel_handle> idle;
    };
    struct exchange_state {
        sent_request request;
        std::uint64_t version = 0; // that the request probes; 0 for none
        std::uint64_t incarnation = 0;
        monotonic_time sentAt;
        bool isOver = false;
    };

    void pollReadiness();
    void poll(target& polled);
    void handlePoll(target& polled, bool ready);
    void scheduleNext();
    void sendOne();
    std::shared_ptr<exchange_state> makeRequest(const std::string& gateway);
    void sendOver(const channel_handle& channel, const std::shared_ptr<exchange_state>& state);
    void leaveLater(const channel_handle& channel, const std::shared_ptr<exchange_state>& state);
    void handleResult(const std::shared_ptr<exchange_state>& state, const channel_handle& channel, exchange_result result);
    client_answer readAnswer(const exchange_state& state, const http_reply& reply) const;

    boost::asio::io_context& m_io;
    soak_checker& m_checker;
    soak_world& m_world;
    random_source& m_random;
    std::optional<promise> m_planted;
    std::map<std::string, target> m_gateways;
    boost::asio::steady_timer m_pollTimer;
    boost::asio::steady_timer m_sendTimer;
    double m_rate = 0;
    std::uint64_t m_number = 0;
};

} // namespace limpetpier::soak
