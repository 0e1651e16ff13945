// Drives a soak test: simulates the platform, the network and the clients of several gateways, and checks the promises
// during the run. The gateways are separate processes. scripts/soak starts and stops them as this program's standard
// output tells it to:
//
//   start NAME | kill NAME | stop NAME | pause NAME | continue NAME | say TEXT
//
// The last line starts with "verdict".

#include <fstream>
#include <iostream>

#include "limpetpier/state/errors.h"
#include "limpetpier/transport/program.h"
#include "limpetpier/transport/settings.h"
#include "soak_clients.h"
#include "standins/node_file.h"

namespace limpetpier::soak {

namespace {

constexpr double requestsPerSecond = 60;

// Phases of faults alternate with calm phases, in which only changes without faults take place.
constexpr milliseconds faultPhaseDuration { 7000 };
constexpr milliseconds calmPhaseDuration { 22'000 };
constexpr milliseconds calmChangesDuration { 17'000 }; // The rest of the phase checks that the changes are in force.

constexpr milliseconds shortestFaultInterval { 200 }; // Between two steps of the schedule.
constexpr milliseconds longestFaultInterval { 1300 };
constexpr milliseconds shortestDowntime { 100 };
constexpr milliseconds longestDowntime { 4000 };

// From the stop signal to the start of a new process: the grace period of the settings plus a margin for a busy machine.
constexpr milliseconds restartDelay { 9000 };
constexpr milliseconds startupTime { 5000 };

// After the last fault: the time until responses must be complete, how long requests are sent after that, and the time
// to wait for the last responses.
constexpr milliseconds recoveryTime { 8000 };
constexpr milliseconds recoveredPhaseDuration { 4000 };
constexpr milliseconds finalResponseTime { 2600 };

constexpr milliseconds checkInterval { 200 };
constexpr std::size_t maxPrintedViolations = 20;

const std::vector<setting>& settingDefinitions()
{
    static const std::vector<setting> table {
        { "seed", "1", "Seed of the random numbers", setting_kind::number, true, 0, INT64_MAX, false },
        { "seconds", "60", "Duration of the faults in seconds", setting_kind::number, true, 1, 1'000'000, false },
        { "processes", "4", "Number of gateways", setting_kind::number, true, 1, 200, false },
        { "base-port", "", "First of the three consecutive ports that each gateway uses on its own loopback address", setting_kind::number, true, 1024, 60'000, false },
        { "directory", "", "Directory for the settings files of the gateways", setting_kind::text, true, 0, 0, false },
        { "plant", "none", "Name of a promise to break on purpose, or none", setting_kind::text, true, 0, 0, false },
    };
    return table;
}

std::optional<promise> parseInjectedViolation(const std::string& name)
{
    for (std::size_t index = 0; index < promiseCount; ++index) {
        if (name == toText(static_cast<promise>(index)))
            return static_cast<promise>(index);
    }
    if (name != "none")
        throw settings_error("plant: found \"" + name + "\", expected none or the name of a promise as listed in scripts/soak");
    return {};
}

class soak {
public:
    explicit soak(const program_settings& settings)
        : m_random(static_cast<std::uint64_t>(settings.number("seed")))
        , m_injectedViolation(parseInjectedViolation(settings.text("plant")))
        , m_checker({})
        , m_environment(m_io, m_checker, m_random, m_injectedViolation)
        , m_clients(m_io, m_checker, m_environment, m_random, m_injectedViolation)
        , m_faultsEndAt(monotonic_clock::now() + startupTime + std::chrono::seconds(settings.number("seconds")))
    {
        for (int number = 1; number <= settings.number("processes"); ++number)
            addGateway(number, static_cast<int>(settings.number("base-port")), settings.text("directory"));
    }

    bool run()
    {
        for (const auto& name : m_gateways)
            sendCommand("start", name);
        m_clients.start(requestsPerSecond);
        runAfter(startupTime, [this] { runNextStep(); });
        checkPeriodically();
        m_io.run();
        for (std::size_t index = 0; index < std::min(maxPrintedViolations, m_checker.violations().size()); ++index)
            std::cout << "say broken: " << toText(m_checker.violations()[index].broken) << ": " << m_checker.violations()[index].description << std::endl;
        std::cout << "verdict " << m_checker.requestCount() << " requests, " << m_checker.completeResponseCount() << " answered whole, " << m_environment.faultCount() + m_gatewayFaultCount << " faults and changes, " << m_checker.violations().size() << " violations" << std::endl;
        return m_checker.violations().empty();
    }

private:
    void addGateway(int number, int basePort, const std::string& directory)
    {
        const auto name = "gateway-" + std::to_string(number);
        const auto ip = "127.0.1." + std::to_string(number);
        std::ofstream(directory + "/" + name + ".toml") << standins::formatNodeFile({ name, ip, basePort, m_environment.addStoreLink() });
        m_clients.addGateway(name, ip + ":" + std::to_string(basePort), ip + ":" + std::to_string(basePort + 1));
        m_gateways.push_back(name);
    }

    void runAfter(milliseconds delay, std::function<void()> action)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
        timer->async_wait([timer, action = std::move(action)](const boost::system::error_code&) { action(); });
    }

    milliseconds randomDuration(milliseconds shortest, milliseconds longest) { return shortest + milliseconds(randomIndex(m_random, static_cast<std::size_t>((longest - shortest).count()))); }

    void sendCommand(const char* verb, const std::string& name)
    {
        if (std::string_view(verb) == "start")
            m_clients.onGatewayStarted(name);
        trace(verb, name);
        std::cout << verb << ' ' << name << std::endl;
    }

    void checkPeriodically()
    {
        m_checker.checkOverdueRequests(monotonic_clock::now());
        if (!m_isFinished)
            runAfter(checkInterval, [this] { checkPeriodically(); });
    }

    // Runs one step of the schedule, such as a fault or a change, and schedules the next one.
    void runNextStep()
    {
        const auto now = monotonic_clock::now();
        if (now >= m_faultsEndAt) {
            checkRecovery();
            return;
        }
        const auto cyclePosition = (now - m_startedAt) % (faultPhaseDuration + calmPhaseDuration);
        const bool isFaultPhase = cyclePosition < faultPhaseDuration;
        if (isFaultPhase && randomIndex(m_random, 3) == 0)
            disturbGateway();
        else if (isFaultPhase)
            m_environment.injectFault();
        else if (cyclePosition < faultPhaseDuration + calmChangesDuration)
            m_environment.applyChange();
        runAfter(randomDuration(shortestFaultInterval, longestFaultInterval), [this] { runNextStep(); });
    }

    void disturbGateway()
    {
        const auto& name = m_gateways[randomIndex(m_random, m_gateways.size())];
        if (!m_disturbedGateways.insert(name).second)
            return; // It is already down, paused or stopping.
        ++m_gatewayFaultCount;
        switch (m_injectedViolation == promise::no_cut ? 0 : randomIndex(m_random, 4)) {
        case 0:
            killRandomGateways(name);
            break;
        case 1:
            sendCommand("stop", name);
            runAfter(restartDelay, [this, name] { startGateway(name); });
            break;
        default:
            pauseGateway(name);
        }
    }

    void killRandomGateways(const std::string& firstGateway)
    {
        killGateway(firstGateway);
        if (randomIndex(m_random, 3) != 0)
            return;
        for (const auto& name : m_gateways) { // Kills several gateways at once.
            if (randomIndex(m_random, 2) == 0 && m_disturbedGateways.insert(name).second)
                killGateway(name);
        }
    }

    void killGateway(const std::string& name)
    {
        if (m_injectedViolation != promise::no_cut)
            m_checker.onGatewayDown(name, monotonic_clock::now());
        sendCommand("kill", name);
        runAfter(randomDuration(shortestDowntime, longestDowntime), [this, name] { startGateway(name); });
    }

    void pauseGateway(const std::string& name)
    {
        if (m_injectedViolation != promise::in_time)
            m_checker.onGatewayDown(name, monotonic_clock::now());
        sendCommand("pause", name);
        runAfter(randomDuration(shortestDowntime, longestDowntime), [this, name] {
            sendCommand("continue", name);
            m_checker.onGatewayUp(name, monotonic_clock::now());
            m_disturbedGateways.erase(name);
        });
    }

    void startGateway(const std::string& name)
    {
        sendCommand("start", name);
        m_checker.onGatewayUp(name, monotonic_clock::now());
        runAfter(startupTime, [this, name] { m_disturbedGateways.erase(name); });
    }

    void checkRecovery()
    {
        if (!m_disturbedGateways.empty()) {
            runAfter(checkInterval, [this] { checkRecovery(); });
            return;
        }
        if (m_injectedViolation == promise::recovered)
            m_environment.disableServicePermanently();
        m_environment.endFaults();
        runAfter(recoveryTime, [this] {
            if (m_clients.readyGatewayCount() != m_gateways.size())
                m_checker.reportViolation(promise::recovered, std::to_string(m_clients.readyGatewayCount()) + " of " + std::to_string(m_gateways.size()) + " gateways are ready after the faults, expected all");
            m_checker.expectRecovered();
        });
        runAfter(recoveryTime + recoveredPhaseDuration, [this] { m_clients.stop(); });
        runAfter(recoveryTime + recoveredPhaseDuration + finalResponseTime, [this] {
            m_isFinished = true;
            m_io.stop();
        });
    }

    boost::asio::io_context m_io { 1 };
    random_engine m_random;
    std::optional<promise> m_injectedViolation;
    soak_checker m_checker;
    soak_environment m_environment;
    soak_clients m_clients;
    std::vector<std::string> m_gateways;
    std::set<std::string> m_disturbedGateways; // Gateways that are down, paused, stopping or starting.
    std::size_t m_gatewayFaultCount = 0;
    monotonic_time m_startedAt = monotonic_clock::now() + startupTime;
    monotonic_time m_faultsEndAt;
    bool m_isFinished = false;
};

int run(int argc, char** argv)
{
    return soak(program_settings::read("limpet-soak", "Drives a soak test of gateways; run it with scripts/soak.", settingDefinitions(), argc, argv)).run() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace limpetpier::soak

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-soak", limpetpier::soak::run, argc, argv);
}
