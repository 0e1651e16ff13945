#include "soak_environment.h"

#include <array>
#include <iostream>

#include "limpetpier/transport/endpoints.h"

namespace limpetpier::soak {

using standins::searcher_behaviour;
using standins::store_behaviour;

namespace {

constexpr std::size_t replicasPerService = 3;
constexpr milliseconds shortestFaultDuration { 300 };
constexpr milliseconds longestFaultDuration { 3500 };
constexpr milliseconds coldDuration { 4000 };

// Clients and gateways need this long to handle the last connection of a searcher that ended.
constexpr milliseconds shortestRestartDelay { 800 };

} // namespace

void trace(const std::string& event, const std::string& subject) { std::clog << std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() << ' ' << event << ' ' << subject << '\n'; }

const std::vector<std::string>& soak_environment::services()
{
    static const std::vector<std::string> names { "shard-a", "shard-b", "shard-c", "shard-d" };
    return names;
}

soak_environment::soak_environment(boost::asio::io_context& io, soak_checker& checker, random_engine& random, std::optional<promise> injectedViolation)
    : m_io(io)
    , m_checker(checker)
    , m_random(random)
    , m_injectedViolation(injectedViolation)
    , m_store(io)
{
    for (const auto& service : services()) {
        for (std::size_t replica = 0; replica < replicasPerService; ++replica) {
            auto& added = m_searchers.emplace_back(std::make_unique<searcher_state>());
            added->id = service + "-" + std::to_string(replica);
            added->service = service;
            added->zone = "zone-" + std::to_string(replica + 1);
            startSearcher(*added);
            registerSearcher(*added);
        }
    }
    writeConfiguration();
}

std::unique_ptr<soak_environment::network_link> soak_environment::createLink(const std::string& target)
{
    auto link = std::make_unique<network_link>();
    link->relay = std::make_unique<standins::tcp_relay>(m_io.get_executor(), 0, parseTcpEndpoint(target), link->faults);
    return link;
}

std::string soak_environment::addStoreLink() { return m_storeLinks.emplace_back(createLink(m_store.address()))->relay->address(); }

void soak_environment::startSearcher(searcher_state& searcher)
{
    if (searcher.process) {
        searcher.process->server().crash();
        m_stoppedProcesses.push_back(std::move(searcher.process));
    }
    searcher.process = std::make_unique<standins::platform_searcher>(m_io, searcher.id, std::string { searcher.service.back(), static_cast<char>(searcher.service.back() - 'a' + 'A') });
    searcher.address = searcher.process->address();
    searcher.coldUntil = {};
    m_checker.setColdUntil(searcher.id, {});
    m_checker.onSearcherStarted(searcher.id);
    if (!searcher.link)
        searcher.link = createLink(searcher.address);
    searcher.link->relay->redirect(parseTcpEndpoint(searcher.address));
    searcher.process->advertise(searcher.link->relay->address());
    searcher.process->answerWithRequestId([this] { return milliseconds((m_injectedViolation == promise::no_cut ? 100 : 1) + randomIndex(m_random, 8)); });
    searcher.process->onResponseStamp([this, &searcher, process = searcher.process.get()](const std::string& signature, const std::string& request) {
        m_checker.onResponseSigned(signature, m_injectedViolation == promise::own_answer ? "other" : request, searcher.service);
        if (process == searcher.process.get() && (process->isLeaving() || m_injectedViolation == promise::leaving))
            m_checker.onLeavingAnnounced(signature, searcher.id);
    });
    searcher.process->onArrival([this, id = searcher.id, service = searcher.service](const http_request& request, bool isExecuted) {
        const int reportCount = m_injectedViolation == promise::once || m_injectedViolation == promise::extra_sends ? 2 : 1;
        for (int report = 0; report < reportCount; ++report)
            m_checker.onRequestReceived(request.field("Request-Id"), id, service, isExecuted, monotonic_clock::now());
    });
}

void soak_environment::registerSearcher(const searcher_state& searcher)
{
    const auto now = monotonic_clock::now();
    const auto coldTime = m_injectedViolation == promise::cold ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(std::max(searcher.coldUntil, now) - now);
    trace(searcher.state, searcher.id);
    m_store.put("servers/" + searcher.id, searcher.process->entry(searcher.service, searcher.zone, searcher.state, static_cast<int>(coldTime.count())));
}

// Each version adds a route, so that clients can test whether the version is in force.
void soak_environment::writeConfiguration()
{
    ++m_version;
    std::string serviceNames;
    std::string serviceSections;
    for (const auto& service : services()) {
        const auto separator = serviceNames.empty() ? "" : ",";
        serviceNames.append(separator).append("\"" + service + "\"");
        serviceSections.append(separator).append(R"({"name":")" + service + R"(","healthPath":"/healthz","maxConns":40,"warmupS":3.0,"coldPerS":0.0})");
    }
    const std::string commonFields = R"(,"host":"h.example","timeoutMs":400,"targetLatencyMs":100,"priority":1,"maxAttempts":2)";
    std::string routes = R"({"name":"query","prefix":"/query/","type":"safe","gather":[)" + serviceNames + R"(],"topK":5,"minCoverage":0.5)" + commonFields + "}";
    for (const auto* kind : { "safe", "unsafe" })
        routes += std::string(R"(,{"name":")") + kind + R"(","prefix":"/)" + kind + R"(/","type":")" + kind + R"(","service":"shard-a")" + commonFields + "}";
    for (std::uint64_t version = 1; version <= m_version; ++version)
        routes += R"(,{"name":"v)" + std::to_string(version) + R"(","prefix":"/v)" + std::to_string(version) + R"(/","type":"safe","service":"shard-b")" + commonFields + "}";
    if (m_injectedViolation != promise::configured || m_version == 1)
        m_store.put("op/config", R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)" + routes + R"(],"services":[)" + serviceSections + R"(],"limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000,"headerTimeoutMs":500,"idleTimeoutMs":5000}})");
    trace("configuration written", std::to_string(m_version));
    m_checker.onConfigurationWritten(m_version, monotonic_clock::now());
}

void soak_environment::injectFault()
{
    static constexpr std::array<fault_function, 6> functions { &soak_environment::injectStoreFault, &soak_environment::injectStoreLinkFault, &soak_environment::injectSearcherFault, &soak_environment::injectSearcherLinkFault, &soak_environment::crashSearcher, &soak_environment::reuseAddress };
    if (randomIndex(m_random, 3) == 0) {
        applyChange();
        return;
    }
    ++m_faultCount;
    (this->*functions.at(randomIndex(m_random, functions.size())))();
}

void soak_environment::applyChange()
{
    static constexpr std::array<fault_function, 4> functions { &soak_environment::writeConfiguration, &soak_environment::drainSearcher, &soak_environment::evacuateZone, &soak_environment::startColdSearcher };
    ++m_faultCount;
    (this->*functions.at(randomIndex(m_random, functions.size())))();
    if (randomIndex(m_noticeRandom, 4) == 0)
        announceLeaving();
    else if (randomIndex(m_noticeRandom, 3) == 0)
        pushBack();
}

void soak_environment::disableServicePermanently()
{
    for (const auto& searcher : m_searchers) {
        if (searcher->service == services().front())
            searcher->link->faults = { 1, false, false, milliseconds(0) };
    }
}

void soak_environment::scheduleEnd(milliseconds shortest, milliseconds longest, std::function<void()> end)
{
    const auto id = ++m_scheduledEndCount;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, shortest + milliseconds(randomIndex(m_random, static_cast<std::size_t>((longest - shortest).count()) + 1)));
    m_scheduledEnds.emplace(id, std::pair(timer, std::move(end)));
    timer->async_wait([this, id](const boost::system::error_code& cancelled) {
        if (auto scheduled = m_scheduledEnds.extract(id); !cancelled && scheduled)
            scheduled.mapped().second();
    });
}

void soak_environment::endFaults()
{
    for (auto& [id, end] : std::exchange(m_scheduledEnds, {})) {
        end.first->cancel();
        end.second();
    }
}

void soak_environment::injectStoreFault()
{
    static constexpr std::array<store_behaviour, 3> moods { store_behaviour::rejecting, store_behaviour::unresponsive, store_behaviour::losing_responses };
    if (randomIndex(m_random, 4) == 0)
        m_store.compact();
    const auto mood = randomIndex(m_random, moods.size());
    trace("store mood", std::to_string(mood));
    m_store.setBehaviour(moods.at(mood));
    m_checker.onDisturbance(monotonic_clock::now() + longestFaultDuration);
    scheduleEnd(shortestFaultDuration, longestFaultDuration, [this] { trace("store mood", "normal"); m_store.setBehaviour(store_behaviour::normal); });
}

void soak_environment::injectStoreLinkFault() { injectLinkFault(*m_storeLinks[randomIndex(m_random, m_storeLinks.size())]); }
void soak_environment::injectSearcherLinkFault() { injectLinkFault(*randomSearcher().link); }

void soak_environment::injectLinkFault(network_link& link)
{
    m_checker.onDisturbance(monotonic_clock::now() + longestFaultDuration);
    auto& faults = link.faults;
    const auto kind = randomIndex(m_random, 5);
    trace("link fault " + std::to_string(kind), link.relay->address());
    switch (kind) {
    case 0:
        faults.delay = milliseconds(20 + randomIndex(m_random, 200));
        break;
    case 1:
        ++faults.generation; // Existing connections pass no more data.
        break;
    case 2:
        faults.passesForward = false;
        break;
    case 3:
        faults.passesBack = false;
        break;
    default:
        link.relay->reset();
    }
    scheduleEnd(shortestFaultDuration, longestFaultDuration, [&faults] {
        faults.delay = milliseconds(0);
        faults.passesForward = true;
        faults.passesBack = true;
    });
}

void soak_environment::injectSearcherFault()
{
    static constexpr std::array<searcher_behaviour, 12> moods { searcher_behaviour::shedding, searcher_behaviour::failing, searcher_behaviour::unavailable, searcher_behaviour::misdirected, searcher_behaviour::not_responding, searcher_behaviour::resetting, searcher_behaviour::truncating,
        searcher_behaviour::stale_response_first, searcher_behaviour::extra_response, searcher_behaviour::close_delimited_reset, searcher_behaviour::closing, searcher_behaviour::mismatched_id };
    auto& searcher = randomSearcher();
    const auto mood = randomIndex(m_random, moods.size());
    trace("searcher mood " + std::to_string(mood), searcher.id);
    searcher.process->setBehaviour(moods.at(mood));
    if (randomIndex(m_random, 3) == 0)
        searcher.process->setHealthy(false);
    scheduleEnd(shortestFaultDuration, longestFaultDuration, [&searcher] {
        searcher.process->setBehaviour(searcher_behaviour::normal);
        searcher.process->setHealthy(true);
    });
}

void soak_environment::crashSearcher()
{
    auto& searcher = randomSearcher();
    trace("searcher crashed", searcher.id);
    searcher.process->server().crash();
    scheduleEnd(shortestRestartDelay, longestFaultDuration, [this, &searcher] {
        startSearcher(searcher);
        registerSearcher(searcher);
    });
}

// Stops a searcher and lets its address lead to a random searcher until it is started again.
void soak_environment::reuseAddress()
{
    auto& stopped = randomSearcher();
    auto& successor = randomSearcher();
    trace("address reused by " + successor.id, stopped.id);
    stopped.process->server().crash();
    m_store.remove("servers/" + stopped.id);
    stopped.link->relay->redirect(parseTcpEndpoint(successor.address));
    scheduleEnd(shortestRestartDelay, longestFaultDuration, [this, &stopped] {
        startSearcher(stopped);
        registerSearcher(stopped);
    });
}

void soak_environment::drainSearcher()
{
    auto& searcher = randomSearcher();
    searcher.state = "draining";
    if (m_injectedViolation != promise::drained)
        registerSearcher(searcher); // Otherwise the gateways never learn of it.
    m_checker.expectDrained(searcher.id, monotonic_clock::now());
    scheduleEnd(longestFaultDuration, 2 * longestFaultDuration, [this, &searcher] {
        searcher.state = "ready";
        m_checker.allowRequests(searcher.id);
        registerSearcher(searcher);
    });
}

void soak_environment::evacuateZone()
{
    const auto zone = "zone-" + std::to_string(randomIndex(m_random, replicasPerService) + 1);
    trace("evacuation started", zone);
    m_store.put("op/evacuate/" + zone, "{}");
    for (const auto& searcher : m_searchers) {
        if (searcher->zone == zone)
            m_checker.expectDrained(searcher->id, monotonic_clock::now());
    }
    scheduleEnd(longestFaultDuration, 2 * longestFaultDuration, [this, zone] {
        for (const auto& searcher : m_searchers) {
            if (searcher->zone == zone && searcher->state == "ready")
                m_checker.allowRequests(searcher->id);
        }
        trace("evacuation ended", zone);
        m_store.remove("op/evacuate/" + zone);
    });
}

// Restarts a searcher, which is then cold.
void soak_environment::startColdSearcher()
{
    auto& searcher = randomSearcher();
    trace("cold searcher started", searcher.id);
    startSearcher(searcher);
    searcher.coldUntil = monotonic_clock::now() + coldDuration;
    searcher.process->setCold(m_injectedViolation == promise::cold ? 0 : static_cast<int>(coldDuration.count()));
    m_checker.setColdUntil(searcher.id, searcher.coldUntil);
    registerSearcher(searcher);
    scheduleEnd(coldDuration, coldDuration, [process = searcher.process.get()] { process->setCold(0); });
}

// Lets a searcher announce that it leaves, without a change of its entry. It is restarted some time later.
void soak_environment::announceLeaving()
{
    auto& searcher = *m_searchers[randomIndex(m_noticeRandom, m_searchers.size())];
    trace("leaving announced", searcher.id);
    if (m_injectedViolation != promise::leaving)
        searcher.process->announceLeaving();
    scheduleEnd(2 * longestFaultDuration, 3 * longestFaultDuration, [this, &searcher, process = searcher.process.get()] {
        if (process != searcher.process.get())
            return; // It was restarted meanwhile.
        startSearcher(searcher);
        registerSearcher(searcher);
    });
}

// Lets a searcher reject requests for some time and state how long it wants none.
void soak_environment::pushBack()
{
    auto& searcher = *m_searchers[randomIndex(m_noticeRandom, m_searchers.size())];
    const milliseconds duration(1000 + 100 * randomIndex(m_noticeRandom, 25));
    trace("pushback of " + std::to_string(duration.count()) + " ms", searcher.id);
    searcher.process->setBehaviour(searcher_behaviour::shedding);
    searcher.process->setRetryAfter(m_injectedViolation == promise::pushed_back ? "0" : std::to_string(duration.count() / 1000) + "." + std::to_string(duration.count() % 1000 / 100));
    searcher.process->onPushback([this, id = searcher.id, duration](const std::string& request) { m_checker.onPushback(request, id, duration, monotonic_clock::now()); });
    scheduleEnd(shortestFaultDuration, longestFaultDuration, [process = searcher.process.get()] {
        process->setBehaviour(searcher_behaviour::normal);
        process->setRetryAfter("");
    });
}

} // namespace limpetpier::soak
