#pragma once

#include <map>
#include <memory>

#include "limpetpier/transport/http_channel.h"
#include "soak_environment.h"

namespace limpetpier::soak {

// Simulates the clients of the gateways. They send requests at random times without waiting for earlier responses, over
// connections that stay open as long as the gateway allows. Only gateways that pass readiness checks, as by a load
// balancer, get requests.
class soak_clients {
public:
    // injectedViolation: a promise that the clients make look broken.
    soak_clients(boost::asio::io_context& io, soak_checker& checker, soak_environment& environment, random_engine& random, std::optional<promise> injectedViolation);

    // Adds a gateway with its addresses (IP:PORT) for clients and for readiness checks.
    void addGateway(const std::string& gateway, const std::string& address, const std::string& readinessAddress);

    // Records that a new process of the gateway was started.
    void onGatewayStarted(const std::string& gateway) { ++m_gateways[gateway].incarnation; }

    // Starts the readiness checks and sends requests at this average rate.
    void start(double requestsPerSecond);

    // Stops sending requests. Readiness checks go on.
    void stop() { m_requestsPerSecond = 0; }

    // Returns the number of gateways that are ready.
    [[nodiscard]] std::size_t readyGatewayCount() const;

private:
    using channel_handle = std::shared_ptr<http_channel>;
    struct gateway_state {
        std::string address;
        std::string readinessAddress;
        std::uint64_t incarnation = 0;
        std::uint32_t failedChecks = 0; // Consecutive failed readiness checks.
        bool isReady = false;
        std::vector<channel_handle> idleChannels;
    };
    struct exchange_state {
        sent_request request;
        std::uint64_t probedVersion = 0; // Configuration version whose route the request uses; 0 for none.
        std::uint64_t incarnation = 0;
        monotonic_time sentAt;
        bool isFinished = false;
    };

    void checkReadiness();
    void checkGateway(gateway_state& gateway);
    void handleReadiness(gateway_state& gateway, bool isReady);
    void scheduleNextRequest();
    void sendRequest();
    std::shared_ptr<exchange_state> createRequest(const std::string& gateway);
    void sendOverChannel(const channel_handle& channel, const std::shared_ptr<exchange_state>& state);
    void scheduleDisconnect(const channel_handle& channel, const std::shared_ptr<exchange_state>& state);
    void handleResult(const std::shared_ptr<exchange_state>& state, const channel_handle& channel, exchange_result result);
    client_response parseResponse(const exchange_state& state, const http_reply& reply) const;

    boost::asio::io_context& m_io;
    soak_checker& m_checker;
    soak_environment& m_environment;
    random_engine& m_random;
    std::optional<promise> m_injectedViolation;
    std::map<std::string, gateway_state> m_gateways;
    boost::asio::steady_timer m_readinessTimer;
    boost::asio::steady_timer m_sendTimer;
    double m_requestsPerSecond = 0;
    std::uint64_t m_requestCount = 0;
};

} // namespace limpetpier::soak
