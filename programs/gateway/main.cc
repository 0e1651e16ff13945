#include <algorithm>
#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

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

// Longest wait for the store's answer to an ordinary call.
constexpr milliseconds storeTimeout { 1000 };

// A settings file that changed without a signal is noticed within this time.
constexpr std::chrono::seconds rereadInterval { 5 };

// Part of the tighter bound of draining and configuration in which changes are gathered; the rest is for the store, which
// may be slow, and for requests under way.
constexpr int changeBatchPercent = 50;

// A silent watch is checked as often as this share of the tighter of the same bounds, so that what it missed is read in time.
constexpr int watchCheckPercent = 60;

// A searcher's entry lapses after this many heartbeats without one. An outage must be noticed before, by a renewal that is
// not answered.
constexpr int heartbeatsUntilLapse = 3;
constexpr milliseconds lapseMargin { 600 };
constexpr milliseconds shortestSilence { 500 };

// Time to live in the member list, in multiples of the store's shortest.
constexpr int memberLifeFactor = 15;

// Renewals in that time: one that fails is made up for by retries before the next is due.
constexpr int renewalsInLife = 3;

gateway_settings toGatewaySettings(const platform::node_settings& node)
{
    gateway_settings settings;
    settings.node = node.node;
    settings.zone = node.zone;
    settings.clientAddress = node.clientAddress;
    settings.readyAddress = node.readyAddress;
    settings.peerAddress = node.ip + ":" + std::to_string(node.firstPeerPort);
    for (const auto& host : node.seedHosts)
        settings.seeds.push_back(host + ":" + std::to_string(node.firstPeerPort));
    settings.bounds = { node.retryShare, node.retrySlack, node.retryWindow, node.coldFactor, node.coldSlack };
    settings.changeBatchDelay = std::min(node.drainBound, node.configApplyBound) * changeBatchPercent / 100;
    settings.membershipTiming.watchCheckInterval = std::min(node.drainBound, node.configApplyBound) * watchCheckPercent / 100;
    settings.stopGrace = node.stopGrace;
    settings.membershipTiming.leaseTtl = node.minLeaseTtl * memberLifeFactor;
    settings.membershipTiming.renewalInterval = settings.membershipTiming.leaseTtl / renewalsInLife;
    settings.membershipTiming.silenceTimeout = std::max(node.searcherHeartbeat * heartbeatsUntilLapse - storeTimeout - lapseMargin, shortestSilence);
    return settings;
}

// Reads the platform's settings file again when it is told to, and now and then in case nobody told.
class settings_reader {
public:
    settings_reader(asio::io_context& io, std::string path, gateway& process)
        : m_path(std::move(path))
        , m_process(process)
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
        m_timer.expires_after(rereadInterval);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            std::error_code failure;
            const auto written = std::filesystem::last_write_time(m_path, failure);
            if (!failure && written != m_written)
                reload();
            awaitTimer();
        });
    }

    void reload()
    {
        std::error_code failure;
        m_written = std::filesystem::last_write_time(m_path, failure);
        try {
            m_process.changeSettings(toGatewaySettings(platform::readNodeSettings(m_path)));
            logEvent(event::settings_reloaded, event_fields().add("file", m_path));
        } catch (const settings_error& error) {
            logEvent(event::settings_invalid, event_fields().add("error", error.what()));
        }
    }

    std::string m_path;
    gateway& m_process;
    asio::signal_set m_signal;
    asio::steady_timer m_timer;
    std::filesystem::file_time_type m_written = std::filesystem::last_write_time(m_path);
};

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "settings", "", "Path of the platform's settings file; without it, the one that the platform names", setting_kind::text, false, 0, 0, false },
        { "metrics-port", "0", "Port for metrics on the machine's address; 0 for none", setting_kind::number, true, 0, 65535, false },
        { "log-lines", "400", "Most log lines a second; routine ones get half", setting_kind::number, true, 1, 1'000'000, false },
        { "log-bytes", "100000", "Most log bytes a second; routine lines get half", setting_kind::number, true, 100, 100'000'000, false },
        { "node-secret", "", "Shared secret of the deployment's gateways, for views of the store from each other", setting_kind::text, false, 0, 0, true },
    };
    return table;
}

int run(int argc, char** argv)
{
    const auto flags = program_settings::read("limpet-gateway", "Answers clients on the platform by asking its searchers.", settingsTable(), argc, argv, program_settings::check_mode::continue_after_flags);
    const auto path = flags.text("settings").empty() ? platform::nodeSettingsPath() : flags.text("settings");
    const auto node = platform::readNodeSettings(path);
    auto settings = toGatewaySettings(node);
    for (const auto& address : { settings.clientAddress, settings.readyAddress, settings.peerAddress, node.storeAddress })
        static_cast<void>(parseTcpEndpoint(address));
    if (flags.isCheck()) {
        std::cout << path << ": good\n";
        return EXIT_SUCCESS;
    }
    settings.nodeSecret = flags.text("node-secret");
    if (flags.number("metrics-port") != 0)
        settings.metricsAddress = node.ip + ":" + flags.text("metrics-port");
    startLog(node.node.value(), { static_cast<std::uint32_t>(flags.number("log-lines")), static_cast<std::uint32_t>(flags.number("log-bytes")), false });
    asio::io_context io(1);
    const platform::wire_protocol protocol;
    platform::kv_store store(io.get_executor(), node.storeAddress, storeTimeout);
    gateway process(io, protocol, store, settings);
    const settings_reader reader(io, path, process);
    process.start();
    logEvent(event::started, event_fields().add("http", node.clientAddress).add("metrics", settings.metricsAddress).add("settings", path));
    io.run();
    std::_Exit(EXIT_SUCCESS); // the operating system closes what is open; nothing is kept
}

} // namespace

} // namespace limpetpier

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-gateway", limpetpier::run, argc, argv);
}
