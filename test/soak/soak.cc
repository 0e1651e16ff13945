// Drives a soak: plays the platform, the network and the clients of some gateways, and checks the promises while it runs.
// The gateways are processes of their own, started and ended by scripts/soak, which reads commands from standard output:
//
//   start NAME | kill NAME | stop NAME | pause NAME | continue NAME | say TEXT
//
// The last line begins with "verdict".

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

// A storm of faults, then a calm time in which only the operator changes something; over and over.
constexpr milliseconds stormTime { 7000 };
constexpr milliseconds calmTime { 22'000 };
constexpr milliseconds changesInCalm { 17'000 }; // the rest is for seeing that they are in force

constexpr milliseconds shortestGap { 200 }; // between two faults
constexpr milliseconds longestGap { 1300 };
constexpr milliseconds shortestPause { 100 };
constexpr milliseconds longestPause { 4000 };

// From the signal to the start of a new process: the grace of the settings and some for a busy machine.
constexpr milliseconds stopTime { 9000 };
constexpr milliseconds startTime { 5000 };

// After the last fault, until requests must be served whole; then for so long; then for the last answers.
constexpr milliseconds recoverTime { 8000 };
constexpr milliseconds recoveredTime { 4000 };
constexpr milliseconds lastAnswers { 2600 };

constexpr milliseconds checkInterval { 200 };
constexpr std::size_t violationsShown = 20;

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "seed", "1", "Seed of all chances", setting_kind::number, true, 0, INT64_MAX, false },
        { "seconds", "60", "Time of faults, in seconds", setting_kind::number, true, 1, 1'000'000, false },
        { "processes", "4", "Gateways", setting_kind::number, true, 1, 200, false },
        { "base-port", "", "First port of the gateways; they take three each, on loopback addresses of their own", setting_kind::number, true, 1024, 60'000, false },
        { "directory", "", "Folder for the gateways' settings files", setting_kind::text, true, 0, 0, false },
        { "plant", "none", "A promise to break on purpose, or none", setting_kind::text, true, 0, 0, false },
    };
    return table;
}

std::optional<promise> readPromise(const std::string& name)
{
    for (std::size_t number = 0; number < promiseCount; ++number) {
        if (name == toText(static_cast<promise>(number)))
            return static_cast<promise>(number);
    }
    if (name != "none")
        throw settings_error("plant: found " + name + ", expected none or the name of a promise");
    return {};
}

class soak {
public:
    explicit soak(const program_settings& settings)
        : m_random(static_cast<std::uint64_t>(settings.number("seed")))
        , m_planted(readPromise(settings.text("plant")))
        , m_checker({})
        , m_world(m_io, m_checker, m_random, m_planted)
        , m_clients(m_io, m_checker, m_world, m_random, m_planted)
        , m_end(monotonic_clock::now() + startTime + std::chrono::seconds(settings.number("seconds")))
    {
        for (int number = 1; number <= settings.number("processes"); ++number)
            addGateway(number, static_cast<int>(settings.number("base-port")), settings.text("directory"));
    }

    bool run()
    {
        for (const auto& name : m_names)
            command("start", name);
        m_clients.start(requestsPerSecond);
        after(startTime, [this] { next(); });
        checkOften();
        m_io.run();
        for (std::size_t index = 0; index < std::min(violationsShown, m_checker.violations().size()); ++index)
            std::cout << "say broken: " << toText(m_checker.violations()[index].broken) << ": " << m_checker.violations()[index].what << std::endl;
        std::cout << "verdict " << m_checker.requests() << " requests, " << m_checker.wholeAnswers() << " answered whole, " << m_world.faults() + m_signals << " faults and changes, " << m_checker.violations().size() << " violations" << std::endl;
        return m_checker.violations().empty();
    }

private:
    void addGateway(int number, int port, const std::string& directory)
    {
        const auto name = "gateway-" + std::to_string(number);
        const auto ip = "127.0.1." + std::to_string(number);
        std::ofstream(directory + "/" + name + ".toml") << standins::formatNodeFile({ name, ip, port, m_world.addStorePath() });
        m_clients.add(name, ip + ":" + std::to_string(port), ip + ":" + std::to_string(port + 1));
        m_names.push_back(name);
    }

    void after(milliseconds delay, std::function<void()> act)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
        timer->async_wait([timer, act = std::move(act)](const boost::system::error_code&) { act(); });
    }

    milliseconds between(milliseconds shortest, milliseconds longest) { return shortest + milliseconds(pick(m_random, static_cast<std::size_t>((longest - shortest).count()))); }

    void command(const char* verb, const std::string& name)
    {
        if (std::string_view(verb) == "start")
            m_clients.noteStart(name);
        trace(verb, name);
        std::cout << verb << ' ' << name << std::endl;
    }

    void checkOften()
    {
        m_checker.check(monotonic_clock::now());
        if (!m_over)
            after(checkInterval, [this] { checkOften(); });
    }

    // One step of the schedule: a fault, and when the next one comes.
    void next()
    {
        const auto now = monotonic_clock::now();
        if (now >= m_end) {
            recover();
            return;
        }
        const auto phase = (now - m_begun) % (stormTime + calmTime);
        const bool isStorm = phase < stormTime;
        if (isStorm && pick(m_random, 3) == 0)
            disturbProcess();
        else if (isStorm)
            m_world.disturb();
        else if (phase < stormTime + changesInCalm)
            m_world.change();
        after(between(shortestGap, longestGap), [this] { next(); });
    }

    void disturbProcess()
    {
        const auto& name = m_names[pick(m_random, m_names.size())];
        if (!m_busy.insert(name).second)
            return; // it is down, frozen or stopping already
        ++m_signals;
        switch (m_planted == promise::no_cut ? 0 : pick(m_random, 4)) {
        case 0:
            killSome(name);
            break;
        case 1:
            command("stop", name);
            after(stopTime, [this, name] { start(name); });
            break;
        default:
            freeze(name);
        }
    }

    void killSome(const std::string& first)
    {
        kill(first);
        if (pick(m_random, 3) != 0)
            return;
        for (const auto& name : m_names) { // many at once
            if (pick(m_random, 2) == 0 && m_busy.insert(name).second)
                kill(name);
        }
    }

    void kill(const std::string& name)
    {
        if (m_planted != promise::no_cut)
            m_checker.gatewayDown(name, monotonic_clock::now());
        command("kill", name);
        after(between(shortestPause, longestPause), [this, name] { start(name); });
    }

    void freeze(const std::string& name)
    {
        if (m_planted != promise::in_time)
            m_checker.gatewayDown(name, monotonic_clock::now());
        command("pause", name);
        after(between(shortestPause, longestPause), [this, name] {
            command("continue", name);
            m_checker.gatewayBack(name, monotonic_clock::now());
            m_busy.erase(name);
        });
    }

    void start(const std::string& name)
    {
        command("start", name);
        m_checker.gatewayBack(name, monotonic_clock::now());
        after(startTime, [this, name] { m_busy.erase(name); });
    }

    void recover()
    {
        if (!m_busy.empty()) {
            after(checkInterval, [this] { recover(); });
            return;
        }
        if (m_planted == promise::recovered)
            m_world.losePermanently();
        m_world.heal();
        after(recoverTime, [this] {
            if (m_clients.ready() != m_names.size())
                m_checker.report(promise::recovered, std::to_string(m_clients.ready()) + " of " + std::to_string(m_names.size()) + " gateways are ready after the faults");
            m_checker.expectRecovered();
        });
        after(recoverTime + recoveredTime, [this] { m_clients.stop(); });
        after(recoverTime + recoveredTime + lastAnswers, [this] {
            m_over = true;
            m_io.stop();
        });
    }

    boost::asio::io_context m_io { 1 };
    random_source m_random;
    std::optional<promise> m_planted;
    soak_checker m_checker;
    soak_world m_world;
    soak_clients m_clients;
    std::vector<std::string> m_names;
    std::set<std::string> m_busy; // gateways that are being disturbed
    std::size_t m_signals = 0;
    monotonic_time m_begun = monotonic_clock::now() + startTime;
    monotonic_time m_end;
    bool m_over = false;
};

int run(int argc, char** argv)
{
    return soak(program_settings::read("limpet-soak", "Drives a soak of gateways; see scripts/soak.", settingsTable(), argc, argv)).run() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace limpetpier::soak

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-soak", limpetpier::soak::run, argc, argv);
}
