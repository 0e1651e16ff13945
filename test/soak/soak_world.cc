#include "soak_world.h"

#include <array>
#include <iostream>

#include "limpetpier/transport/endpoints.h"

namespace limpetpier::soak {

using standins::searcher_behaviour;
using standins::store_behaviour;

namespace {

constexpr std::size_t replicas = 3;
constexpr milliseconds shortestFault { 300 };
constexpr milliseconds longestFault { 3500 };
constexpr milliseconds coldTime { 4000 };

// Until clients and gateways have dealt with the last connection of a searcher that ended.
constexpr milliseconds restartAfter { 800 };

} // namespace

void trace(const std::string& what, const std::string& subject) { std::clog << std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() << ' ' << what << ' ' << subject << '\n'; }

const std::vector<std::string>& soak_world::services()
{
    static const std::vector<std::string> names { "shard-a", "shard-b", "shard-c", "shard-d" };
    return names;
}

soak_world::soak_world(boost::asio::io_context& io, soak_checker& checker, random_source& random, std::optional<promise> planted)
    : m_io(io)
    , m_checker(checker)
    , m_random(random)
    , m_planted(planted)
    , m_store(io)
{
    for (const auto& service : services()) {
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            auto& added = m_searchers.emplace_back(std::make_unique<searcher>());
            added->id = service + "-" + std::to_string(replica);
            added->service = service;
            added->zone = "zone-" + std::to_string(replica + 1);
            startSearcher(*added);
            list(*added);
        }
    }
    configure();
}

std::unique_ptr<soak_world::path> soak_world::makePath(const std::string& target)
{
    auto made = std::make_unique<path>();
    made->relay = std::make_unique<standins::tcp_relay>(m_io.get_executor(), 0, parseTcpEndpoint(target), made->faults);
    return made;
}

std::string soak_world::addStorePath() { return m_storePaths.emplace_back(makePath(m_store.address()))->relay->address(); }

void soak_world::startSearcher(searcher& which)
{
    if (which.process) {
        which.process->server().crash();
        m_gone.push_back(std::move(which.process));
    }
    which.process = std::make_unique<standins::platform_searcher>(m_io, which.id, std::string { which.service.back(), static_cast<char>(which.service.back() - 'a' + 'A') });
    which.address = which.process->address();
    which.coldUntil = {};
    m_checker.turnedCold(which.id, {});
    if (!which.way)
        which.way = makePath(which.address);
    which.way->relay->redirect(parseTcpEndpoint(which.address));
    which.process->advertise(which.way->relay->address());
    which.process->answerWithRequestId([this] { return milliseconds((m_planted == promise::no_cut ? 100 : 1) + pick(m_random, 8)); });
    which.process->onResponseStamp([this, service = which.service](const std::string& signature, const std::string& request) { m_checker.gaveSignature(signature, m_planted == promise::own_answer ? "other" : request, service); });
    which.process->onArrival([this, id = which.id, service = which.service](const http_request& request, bool runs) {
        const int times = m_planted == promise::once || m_planted == promise::extra_sends ? 2 : 1;
        for (int time = 0; time < times; ++time)
            m_checker.arrived(request.field("Request-Id"), id, service, runs, monotonic_clock::now());
    });
}

void soak_world::list(const searcher& which)
{
    const auto now = monotonic_clock::now();
    const auto cold = m_planted == promise::cold ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(std::max(which.coldUntil, now) - now);
    trace(which.state, which.id);
    m_store.put("servers/" + which.id, which.process->entry(which.service, which.zone, which.state, static_cast<int>(cold.count())));
}

// Each version adds a route, by which a client sees that it is in force.
void soak_world::configure()
{
    ++m_version;
    std::string names;
    std::string sections;
    for (const auto& service : services()) {
        const auto separator = names.empty() ? "" : ",";
        names.append(separator).append("\"" + service + "\"");
        sections.append(separator).append(R"({"name":")" + service + R"(","healthPath":"/healthz","maxConns":40,"warmupS":3.0,"coldPerS":0.0})");
    }
    const std::string common = R"(,"host":"h.example","timeoutMs":400,"targetLatencyMs":100,"priority":1,"maxAttempts":2)";
    std::string routes = R"({"name":"query","prefix":"/query/","type":"safe","gather":[)" + names + R"(],"topK":5,"minCoverage":0.5)" + common + "}";
    for (const auto* kind : { "safe", "unsafe" })
        routes += std::string(R"(,{"name":")") + kind + R"(","prefix":"/)" + kind + R"(/","type":")" + kind + R"(","service":"shard-a")" + common + "}";
    for (std::uint64_t version = 1; version <= m_version; ++version)
        routes += R"(,{"name":"v)" + std::to_string(version) + R"(","prefix":"/v)" + std::to_string(version) + R"(/","type":"safe","service":"shard-b")" + common + "}";
    if (m_planted != promise::configured || m_version == 1)
        m_store.put("op/config", R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)" + routes + R"(],"services":[)" + sections + R"(],"limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000,"headerTimeoutMs":500,"idleTimeoutMs":5000}})");
    trace("configuration", std::to_string(m_version));
    m_checker.configured(m_version, monotonic_clock::now());
}

void soak_world::disturb()
{
    static constexpr std::array<fault, 6> kinds { &soak_world::disturbStore, &soak_world::disturbStorePath, &soak_world::disturbSearcher, &soak_world::disturbLink, &soak_world::crashSearcher, &soak_world::reuseAddress };
    if (pick(m_random, 3) == 0) {
        change();
        return;
    }
    ++m_faults;
    (this->*kinds.at(pick(m_random, kinds.size())))();
}

void soak_world::change()
{
    static constexpr std::array<fault, 4> kinds { &soak_world::configure, &soak_world::drain, &soak_world::evacuate, &soak_world::makeCold };
    ++m_faults;
    (this->*kinds.at(pick(m_random, kinds.size())))();
}

void soak_world::losePermanently()
{
    for (const auto& which : m_searchers) {
        if (which->service == services().front())
            which->way->faults = { 1, false, false, milliseconds(0) };
    }
}

void soak_world::later(milliseconds shortest, milliseconds longest, std::function<void()> end)
{
    const auto number = ++m_endCount;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, shortest + milliseconds(pick(m_random, static_cast<std::size_t>((longest - shortest).count()) + 1)));
    m_ends.emplace(number, std::pair(timer, std::move(end)));
    timer->async_wait([this, number](const boost::system::error_code& cancelled) {
        if (auto ended = m_ends.extract(number); !cancelled && ended)
            ended.mapped().second();
    });
}

void soak_world::heal()
{
    for (auto& [number, end] : std::exchange(m_ends, {})) {
        end.first->cancel();
        end.second();
    }
}

void soak_world::disturbStore()
{
    static constexpr std::array<store_behaviour, 3> moods { store_behaviour::rejecting, store_behaviour::unresponsive, store_behaviour::losing_responses };
    if (pick(m_random, 4) == 0)
        m_store.compact();
    const auto mood = pick(m_random, moods.size());
    trace("store mood", std::to_string(mood));
    m_store.setBehaviour(moods.at(mood));
    m_checker.disturbed(monotonic_clock::now() + longestFault);
    later(shortestFault, longestFault, [this] { trace("store mood", "well"); m_store.setBehaviour(store_behaviour::normal); });
}

void soak_world::disturbStorePath() { spoil(*m_storePaths[pick(m_random, m_storePaths.size())]); }
void soak_world::disturbLink() { spoil(*anySearcher().way); }

void soak_world::spoil(path& which)
{
    m_checker.disturbed(monotonic_clock::now() + longestFault);
    auto& faults = which.faults;
    const auto kind = pick(m_random, 5);
    trace("link fault " + std::to_string(kind), which.relay->address());
    switch (kind) {
    case 0:
        faults.delay = milliseconds(20 + pick(m_random, 200));
        break;
    case 1:
        ++faults.generation; // silent for good
        break;
    case 2:
        faults.passesForward = false;
        break;
    case 3:
        faults.passesBack = false;
        break;
    default:
        which.relay->reset();
    }
    later(shortestFault, longestFault, [&faults] {
        faults.delay = milliseconds(0);
        faults.passesForward = true;
        faults.passesBack = true;
    });
}

void soak_world::disturbSearcher()
{
    static constexpr std::array<searcher_behaviour, 12> moods { searcher_behaviour::shedding, searcher_behaviour::failing, searcher_behaviour::unavailable, searcher_behaviour::misdirected, searcher_behaviour::not_responding, searcher_behaviour::resetting, searcher_behaviour::truncating,
        searcher_behaviour::stale_response_first, searcher_behaviour::extra_response, searcher_behaviour::close_delimited_reset, searcher_behaviour::closing, searcher_behaviour::mismatched_id };
    auto& which = anySearcher();
    const auto mood = pick(m_random, moods.size());
    trace("mood " + std::to_string(mood), which.id);
    which.process->setBehaviour(moods.at(mood));
    if (pick(m_random, 3) == 0)
        which.process->setHealthy(false);
    later(shortestFault, longestFault, [&which] {
        which.process->setBehaviour(searcher_behaviour::normal);
        which.process->setHealthy(true);
    });
}

void soak_world::crashSearcher()
{
    auto& which = anySearcher();
    trace("crash", which.id);
    which.process->server().crash();
    later(restartAfter, longestFault, [this, &which] {
        startSearcher(which);
        list(which);
    });
}

// A searcher ends, and another of its service has its address until the list says so.
void soak_world::reuseAddress()
{
    auto& gone = anySearcher();
    auto& heir = anySearcher();
    trace("address reused by " + heir.id, gone.id);
    gone.process->server().crash();
    m_store.remove("servers/" + gone.id);
    gone.way->relay->redirect(parseTcpEndpoint(heir.address));
    later(restartAfter, longestFault, [this, &gone] {
        startSearcher(gone);
        list(gone);
    });
}

void soak_world::drain()
{
    auto& which = anySearcher();
    which.state = "draining";
    if (m_planted != promise::drained)
        list(which); // else nobody is told
    m_checker.mustRest(which.id, monotonic_clock::now());
    later(longestFault, 2 * longestFault, [this, &which] {
        which.state = "ready";
        m_checker.mayWork(which.id);
        list(which);
    });
}

void soak_world::evacuate()
{
    const auto zone = "zone-" + std::to_string(pick(m_random, replicas) + 1);
    trace("evacuate", zone);
    m_store.put("op/evacuate/" + zone, "{}");
    for (const auto& which : m_searchers) {
        if (which->zone == zone)
            m_checker.mustRest(which->id, monotonic_clock::now());
    }
    later(longestFault, 2 * longestFault, [this, zone] {
        for (const auto& which : m_searchers) {
            if (which->zone == zone && which->state == "ready")
                m_checker.mayWork(which->id);
        }
        trace("evacuation over", zone);
        m_store.remove("op/evacuate/" + zone);
    });
}

// A searcher starts anew and is cold.
void soak_world::makeCold()
{
    auto& which = anySearcher();
    trace("cold", which.id);
    startSearcher(which);
    which.coldUntil = monotonic_clock::now() + coldTime;
    which.process->setCold(m_planted == promise::cold ? 0 : static_cast<int>(coldTime.count()));
    m_checker.turnedCold(which.id, which.coldUntil);
    list(which);
    later(coldTime, coldTime, [process = which.process.get()] { process->setCold(0); });
}

} // namespace limpetpier::soak
