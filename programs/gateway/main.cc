#include <algorithm>
#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <malloc.h>

#include "gateway.h"
#include "kv_store.h"
#include "limpetpier/state/errors.h"
#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/events.h"
#include "limpetpier/transport/program.h"
#include "limpetpier/transport/settings.h"
#include "node_settings.h"
#include "wire_protocol.h"

namespace limpetpier {

namespace {

// Timeout of a call to the store other than a watch.
constexpr milliseconds storeTimeout { 1000 };

// Between two checks of the settings file's modification time, for changes without a SIGHUP.
constexpr std::chrono::seconds settingsPollInterval { 5 };

// Percentage of the shorter of the time limits for draining and for applying a configuration that is spent on
// collecting changes. The rest is left for a slow store and for running requests.
constexpr int changeBatchPercent = 50;

// Interval of the checks of a silent watch, in percent of the shorter of the same limits: a change that the watch
// missed is still read in time.
constexpr int watchCheckPercent = 60;

// Missed heartbeats after which a searcher's entry expires. An unanswered renewal must reveal an outage of the store
// before that.
constexpr int heartbeatsUntilExpiry = 3;

// Heartbeats in a row that a searcher may miss around an outage of the store: the one that was due when it began and the
// one that is due when it ends.
constexpr int heartbeatsMissedAround = 2;

// Time between the detection of an outage and the first expiry.
constexpr milliseconds expiryMargin { 600 };

// Lower limit of the silence timeout, for short heartbeat intervals.
constexpr milliseconds minSilenceTimeout { 500 };

// Time to live of an entry in the member list, in multiples of the shortest lease that the store grants.
constexpr int leaseTtlFactor = 15;

// Renewals within the time to live, so that a failed one can be retried before the entry expires.
constexpr int renewalsPerLease = 3;

// Limits of the door: those of the flags, or else what the machine's memory and open files allow.
connection_budget::limits findClientLimits(const platform::node_settings& node, const program_settings& flags)
{
    auto limits = connection_budget::limitsForMachine(node.memoryBytes, node.maxFiles);
    if (const auto megabytes = flags.number("client-memory-mb"); megabytes > 0)
        limits.bytes = static_cast<std::size_t>(megabytes) << 20U;
    if (const auto connections = flags.number("client-connections"); connections > 0)
        limits.connections = static_cast<std::size_t>(connections);
    return limits;
}

gateway_settings toGatewaySettings(const platform::node_settings& node, const program_settings& flags)
{
    gateway_settings settings;
    settings.node = node.node;
    settings.zone = node.zone;
    settings.clientAddress = node.clientAddress;
    settings.readyAddress = node.readyAddress;
    settings.peerAddress = node.ip + ":" + std::to_string(node.firstPeerPort);
    for (const auto& host : node.seedHosts)
        settings.seeds.push_back(host + ":" + std::to_string(node.firstPeerPort));
    settings.bounds = { node.retryShare, node.retrySlack, node.retryWindow, node.coldFactor, node.coldSlack, node.limitWindow, node.limitOvershoot, node.limitSlack };
    settings.changeBatchDelay = std::min(node.drainBound, node.configApplyBound) * changeBatchPercent / 100;
    settings.rolloutBatchDelay = node.rollbackBound * changeBatchPercent / 100;
    settings.bounds.rollout.exposedShare = node.exposeShare;
    settings.bounds.rollout.exposedSlack = node.exposeSlack;
    settings.bounds.rollout.noticeDelay = settings.changeBatchDelay + storeTimeout;
    settings.membershipTiming.watchCheckInterval = std::min(node.drainBound, node.configApplyBound) * watchCheckPercent / 100;
    settings.minExpiryOutage = node.searcherHeartbeat * (heartbeatsUntilExpiry - heartbeatsMissedAround);
    settings.stopGrace = node.stopGrace;
    settings.clientLimits = findClientLimits(node, flags);
    settings.givesWay = flags.number("give-way") == 1;
    settings.membershipTiming.leaseTtl = node.minLeaseTtl * leaseTtlFactor;
    settings.membershipTiming.renewalInterval = settings.membershipTiming.leaseTtl / renewalsPerLease;
    settings.membershipTiming.silenceTimeout = std::max(node.searcherHeartbeat * heartbeatsUntilExpiry - storeTimeout - expiryMargin, minSilenceTimeout);
    return settings;
}

// Reloads the platform's settings file on SIGHUP, and periodically if its modification time changed.
class settings_reloader {
public:
    settings_reloader(asio::io_context& io, std::string path, const program_settings& flags, gateway& gatewayProcess)
        : m_path(std::move(path))
        , m_flags(flags)
        , m_gateway(gatewayProcess)
        , m_signal(io, SIGHUP)
        , m_timer(io)
    {
        awaitSignal();
        awaitTimer();
    }

private:
    void awaitSignal()
    {
        m_signal.async_wait([this](const boost::system::error_code& error, int) {
            if (error)
                return;
            reload();
            awaitSignal();
        });
    }

    void awaitTimer()
    {
        m_timer.expires_after(settingsPollInterval);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            std::error_code failure;
            const auto lastWriteTime = std::filesystem::last_write_time(m_path, failure);
            if (!failure && lastWriteTime != m_lastWriteTime)
                reload();
            awaitTimer();
        });
    }

    void reload()
    {
        std::error_code failure;
        m_lastWriteTime = std::filesystem::last_write_time(m_path, failure);
        try {
            m_gateway.changeSettings(toGatewaySettings(platform::readNodeSettings(m_path), m_flags));
            logEvent(event::settings_reloaded, event_fields().add("file", m_path));
        } catch (const settings_error& error) {
            logEvent(event::settings_invalid, event_fields().add("error", error.what()));
        }
    }

    std::string m_path;
    const program_settings& m_flags;
    gateway& m_gateway;
    asio::signal_set m_signal;
    asio::steady_timer m_timer;
    std::filesystem::file_time_type m_lastWriteTime = std::filesystem::last_write_time(m_path);
};

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "settings", "", "Path of the platform's settings file (default: the value of LIMPETPIER_NODE_FILE)", setting_kind::text, false, 0, 0, false },
        { "metrics-port", "0", "Port of the metrics listener on the machine's address; 0 disables it", setting_kind::number, true, 0, 65535, false },
        { "log-lines", "400", "Maximum log lines per second; routine lines may use half of it", setting_kind::number, true, 1, 1'000'000, false },
        { "log-bytes", "100000", "Maximum log bytes per second; routine lines may use half of it", setting_kind::number, true, 100, 100'000'000, false },
        { "client-memory-mb", "0", "Memory for requests and replies of all clients together, in MiB; 0: a quarter of the machine's", setting_kind::number, true, 0, 1'000'000, false },
        { "client-connections", "0", "Open connections of all clients together; 0: three quarters of the process's open files", setting_kind::number, true, 0, 1'000'000, false },
        { "give-way", "0", "1: during a shortage, requests wait or are refused by the priority of their routes; 0: none is", setting_kind::number, true, 0, 1, false },
        { "node-secret", "", "Shared secret with which the gateways of a deployment exchange views of the store; empty disables the exchange", setting_kind::text, false, 0, 0, true },
    };
    return table;
}

int run(int argc, char** argv)
{
    const auto flags = program_settings::read("limpet-gateway", "Serves client requests on the platform by sending them to its searchers.", settingsTable(), argc, argv, program_settings::check_mode::continue_after_flags);
    const auto path = flags.text("settings").empty() ? platform::nodeSettingsPath() : flags.text("settings");
    const auto node = platform::readNodeSettings(path);
    auto settings = toGatewaySettings(node, flags);
    for (const auto& address : { settings.clientAddress, settings.readyAddress, settings.peerAddress, node.storeAddress })
        static_cast<void>(parseTcpEndpoint(address));
    if (flags.isCheck()) {
        std::cout << path << ": good\n";
        return EXIT_SUCCESS;
    }
    settings.nodeSecret = flags.text("node-secret");
    if (flags.number("metrics-port") != 0)
        settings.metricsAddress = node.ip + ":" + flags.text("metrics-port");
    // Returns large buffers to the system at once. By default the threshold grows, and they fragment the heap.
    constexpr int largeBufferBytes = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
    startLog(node.node.value(), { static_cast<std::uint32_t>(flags.number("log-lines")), static_cast<std::uint32_t>(flags.number("log-bytes")), false });
    asio::io_context io(1);
    const platform::wire_protocol protocol;
    platform::kv_store store(io.get_executor(), node.storeAddress, storeTimeout);
    gateway gatewayProcess(io, protocol, store, settings);
    const settings_reloader reloader(io, path, flags, gatewayProcess);
    gatewayProcess.start();
    logEvent(event::started, event_fields().add("http", node.clientAddress).add("metrics", settings.metricsAddress).add("settings", path));
    io.run();
    std::_Exit(EXIT_SUCCESS); // skips destructors: no state is persisted, and the operating system closes all sockets
}

} // namespace

} // namespace limpetpier

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-gateway", limpetpier::run, argc, argv);
}
