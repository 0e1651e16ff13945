#include "soak_clients.h"

#include <sstream>

#include "limpetpier/transport/endpoints.h"

namespace limpetpier::soak {

namespace {

constexpr milliseconds readinessInterval { 250 };
constexpr milliseconds connectTimeout { 400 };
constexpr std::uint32_t failedChecksUntilUnready = 2;
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;

// Percentages of all requests. Requests that are no query, probe or unsafe request use the route /safe/.
constexpr std::size_t queryPercentage = 50;
constexpr std::size_t probePercentage = 10;
constexpr std::size_t unsafePercentage = 20;
constexpr std::size_t disconnectPercentage = 3;

// When a violation of never_back is injected, a probe counts as not served if the number of requests sent until its
// response arrives is a multiple of this.
constexpr std::uint64_t hiddenProbeInterval = 7;

bool reportsNotExecuted(unsigned status) { return status == 503 || status == 429 || status == 408 || status == 421; }

} // namespace

soak_clients::soak_clients(boost::asio::io_context& io, soak_checker& checker, soak_environment& environment, random_engine& random, std::optional<promise> injectedViolation)
    : m_io(io)
    , m_checker(checker)
    , m_environment(environment)
    , m_random(random)
    , m_injectedViolation(injectedViolation)
    , m_readinessTimer(io)
    , m_sendTimer(io)
{
}

void soak_clients::addGateway(const std::string& gateway, const std::string& address, const std::string& readinessAddress)
{
    m_gateways[gateway].address = address;
    m_gateways[gateway].readinessAddress = readinessAddress;
}

std::size_t soak_clients::readyGatewayCount() const
{
    return static_cast<std::size_t>(std::count_if(m_gateways.begin(), m_gateways.end(), [](const auto& item) { return item.second.isReady; }));
}

void soak_clients::start(double requestsPerSecond)
{
    m_requestsPerSecond = requestsPerSecond;
    checkReadiness();
    scheduleNextRequest();
}

void soak_clients::checkReadiness()
{
    for (auto& [name, gateway] : m_gateways)
        checkGateway(gateway);
    m_readinessTimer.expires_after(readinessInterval);
    m_readinessTimer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            checkReadiness();
    });
}

void soak_clients::checkGateway(gateway_state& gateway)
{
    const auto channel = http_channel::create(m_io.get_executor(), parseTcpEndpoint(gateway.readinessAddress));
    channel->open(connectTimeout, [this, &gateway, channel](bool opened) {
        if (!opened) {
            handleReadiness(gateway, false);
            return;
        }
        channel->exchange("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n", false, {}, [this, &gateway, channel](const exchange_result& result) {
            handleReadiness(gateway, result.stage == exchange_stage::replied && result.reply.status == statusOk);
            channel->close();
        });
    });
}

void soak_clients::handleReadiness(gateway_state& gateway, bool isReady)
{
    gateway.failedChecks = isReady ? 0 : gateway.failedChecks + 1;
    if (isReady)
        gateway.isReady = true;
    else if (gateway.failedChecks >= failedChecksUntilUnready)
        gateway.isReady = false;
}

void soak_clients::scheduleNextRequest()
{
    if (m_requestsPerSecond <= 0)
        return;
    const auto interval = std::exponential_distribution<double>(m_requestsPerSecond)(m_random);
    m_sendTimer.expires_after(std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(interval)));
    m_sendTimer.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled)
            return;
        sendRequest();
        scheduleNextRequest();
    });
}

void soak_clients::sendRequest()
{
    std::vector<std::string> readyGateways;
    for (const auto& [name, gateway] : m_gateways) {
        if (gateway.isReady)
            readyGateways.push_back(name);
    }
    if (readyGateways.empty())
        return;
    const auto& name = readyGateways[randomIndex(m_random, readyGateways.size())];
    auto& gateway = m_gateways[name];
    const auto state = createRequest(name);
    state->incarnation = gateway.incarnation;
    std::erase_if(gateway.idleChannels, [](const channel_handle& channel) { return !channel->isOpen(); });
    if (!gateway.idleChannels.empty()) {
        const auto channel = gateway.idleChannels.back();
        gateway.idleChannels.pop_back();
        sendOverChannel(channel, state);
        return;
    }
    const auto channel = http_channel::create(m_io.get_executor(), parseTcpEndpoint(gateway.address));
    channel->open(connectTimeout, [this, channel, state](bool opened) {
        if (opened)
            sendOverChannel(channel, state);
    });
}

std::shared_ptr<soak_clients::exchange_state> soak_clients::createRequest(const std::string& gateway)
{
    auto state = std::make_shared<exchange_state>();
    std::ostringstream id;
    id << 'r' << std::hex << ++m_requestCount << '-';
    state->request.id = id.str();
    state->request.gateway = gateway;
    const auto randomPercent = randomIndex(m_random, 100);
    if (randomPercent < queryPercentage) {
        state->request.services = soak_environment::services();
    } else if (randomPercent < queryPercentage + probePercentage) {
        state->request.services = { "shard-b" };
        state->probedVersion = 1 + randomIndex(m_random, m_environment.version());
        if (randomIndex(m_random, 2) == 0)
            state->probedVersion = m_environment.version();
    } else {
        state->request.services = { "shard-a" };
        state->request.isSafe = randomPercent >= queryPercentage + probePercentage + unsafePercentage;
    }
    return state;
}

void soak_clients::sendOverChannel(const channel_handle& channel, const std::shared_ptr<exchange_state>& state)
{
    const auto& request = state->request;
    std::string path = request.services.size() > 1 ? "/query/" : request.isSafe ? "/safe/"
                                                                                : "/unsafe/";
    if (state->probedVersion > 0)
        path = "/v" + std::to_string(state->probedVersion) + "/";
    state->sentAt = monotonic_clock::now();
    m_checker.onRequestSent(request, state->sentAt);
    const auto requestText = (request.isSafe ? "GET " : "POST ") + path + "x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + request.id + "\r\nDeadline-Ms: " + std::to_string(request.deadline.count()) + "\r\nContent-Length: 0\r\n\r\n";
    channel->exchange(requestText, false, {}, [this, state, channel](exchange_result result) { handleResult(state, channel, std::move(result)); });
    if (randomIndex(m_random, 100) < disconnectPercentage)
        scheduleDisconnect(channel, state);
}

void soak_clients::scheduleDisconnect(const channel_handle& channel, const std::shared_ptr<exchange_state>& state)
{
    if (m_injectedViolation == promise::left_alone) {
        state->isFinished = true; // Reports an early disconnect to the checker but keeps the connection.
        m_checker.onClientDisconnected(state->request.id, monotonic_clock::now() - std::chrono::hours(1));
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, milliseconds(1 + randomIndex(m_random, 20)));
    timer->async_wait([this, timer, channel, state](const boost::system::error_code&) {
        if (std::exchange(state->isFinished, true))
            return;
        m_checker.onClientDisconnected(state->request.id, monotonic_clock::now());
        channel->close();
    });
}

void soak_clients::handleResult(const std::shared_ptr<exchange_state>& state, const channel_handle& channel, exchange_result result)
{
    if (channel->isIdle())
        m_gateways[state->request.gateway].idleChannels.push_back(channel);
    if (std::exchange(state->isFinished, true))
        return;
    if (result.stage != exchange_stage::replied) {
        m_checker.onConnectionLost(state->request.id);
        return;
    }
    const auto now = monotonic_clock::now();
    m_checker.onResponseReceived(state->request.id, parseResponse(*state, result.reply), now);
    if (state->probedVersion == 0 || (result.reply.status != statusOk && result.reply.status != statusNotFound))
        return;
    const bool isHidden = m_injectedViolation == promise::never_back && m_requestCount % hiddenProbeInterval == 0;
    m_checker.onRouteProbed(state->request.gateway + "#" + std::to_string(state->incarnation), state->probedVersion, result.reply.status == statusOk && !isHidden, state->sentAt, now);
}

client_response soak_clients::parseResponse(const exchange_state& state, const http_reply& reply) const
{
    client_response response;
    response.status = reply.status;
    response.reportsNotExecuted = reportsNotExecuted(reply.status) || (m_injectedViolation == promise::true_refusal && !state.request.isSafe);
    response.records = reply.body;
    if (state.request.services.size() == 1) {
        response.signatures = { reply.field("Response-Stamp") };
        return response;
    }
    std::istringstream signatureList(reply.field("Part-Stamps"));
    for (std::string signature; std::getline(signatureList >> std::ws, signature, ',');)
        response.signatures.push_back(signature);
    response.missingParts = std::strtoul(reply.field("Missing-Parts").c_str(), nullptr, 10) + (m_injectedViolation == promise::true_coverage ? 1 : 0);
    return response;
}

} // namespace limpetpier::soak
