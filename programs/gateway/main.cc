#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>

#include "gateway.h"
#include "kv_store.h"
#include "limpetpier/state/errors.h"
#include "limpetpier/transport/events.h"
#include "limpetpier/transport/program.h"
#include "node_settings.h"
#include "wire_protocol.h"

namespace limpetpier {

namespace {

// Longest wait for the store's answer to an ordinary call.
constexpr milliseconds storeTimeout { 1000 };

// A settings file that changed without a signal is noticed within this time.
constexpr std::chrono::seconds rereadInterval { 5 };

// Time to live in the member list, in multiples of the store's shortest.
constexpr int memberLifeFactor = 15;

gateway_settings toGatewaySettings(const platform::node_settings& node)
{
    gateway_settings settings;
    settings.node = node.node;
    settings.zone = node.zone;
    settings.clientAddress = node.clientAddress;
    settings.readyAddress = node.readyAddress;
    settings.peerAddress = node.ip + ":" + std::to_string(node.firstPeerPort);
    settings.bounds = { node.retryShare, node.retrySlack, node.retryWindow, node.coldFactor, node.coldSlack };
    settings.stopGrace = node.stopGrace;
    settings.memberLife = node.shortestLease * memberLifeFactor;
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
            logEvent(event::settings_reloaded, "file=" + m_path);
        } catch (const settings_error& error) {
            logEvent(event::settings_invalid, std::string("error=\"") + error.what() + "\"");
        }
    }

    std::string m_path;
    gateway& m_process;
    asio::signal_set m_signal;
    asio::steady_timer m_timer;
    std::filesystem::file_time_type m_written = std::filesystem::last_write_time(m_path);
};

int run(int, char**)
{
    const auto path = platform::nodeSettingsPath();
    const auto node = platform::readNodeSettings(path);
    startLog(node.node.value());
    asio::io_context io(1);
    const platform::wire_protocol protocol;
    platform::kv_store store(io.get_executor(), node.storeAddress, storeTimeout);
    gateway process(io, protocol, store, toGatewaySettings(node));
    const settings_reader reader(io, path, process);
    process.start();
    logEvent(event::started, "http=" + node.clientAddress);
    io.run();
    std::_Exit(EXIT_SUCCESS); // the operating system closes what is open; nothing is kept
}

} // namespace

} // namespace limpetpier

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-gateway", limpetpier::run, argc, argv);
}
