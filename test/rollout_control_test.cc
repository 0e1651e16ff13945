#include "limpetpier/coordination/rollout_control.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <rapidcheck.h>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours(1) };
constexpr std::int64_t startWallMs = 1'800'000'000'000;
const software_version oldVersion("v1");
const software_version newVersion("v2");
const software_version laterVersion("v3");
constexpr milliseconds step { 100 };
constexpr rollout_limits limits { 0.1, 50, milliseconds(1000), milliseconds(3000) };

// How the searchers of the target version answer.
struct version_quality {
    double failing = 0; // portion of failures
    double slow = 0; // portion of replies that take slowFactor times as long
    double slowFactor = 5;
    milliseconds badFrom { 0 }; // after the order
    std::string onlyRoute; // empty: on all routes
    double onlyAboveLoad = 0; // requests a second to the version above which it is bad
};

// Several processes with one store. Each change in the store reaches a process after a delay, unless the process is cut
// off. A process that restarts keeps nothing but what is in the store. The searchers of a version start at its order.
class deployment_model {
public:
    deployment_model(std::size_t size, std::uint32_t seed)
        : m_random(seed)
        , m_processes(size)
    {
        for (std::size_t index = 0; index < size; ++index)
            restart(index);
    }

    void order(const software_version& target, milliseconds duration)
    {
        m_order = rollout_order { target, duration, ++m_revision };
        m_orderRevision = m_revision;
        m_orderedAt = m_now;
        if (m_startsSearchers)
            m_versions[target] = { 6, 6 };
        m_sentSinceOrder = m_exposed = m_badAnswers = 0;
        m_lateSends = 0;
        m_fiftiethBadAt.reset();
    }

    void loseStatus()
    {
        m_status.reset();
        m_statusRevision = 0;
    }

    void withdraw()
    {
        m_order.reset();
        m_orderRevision = 0;
        ++m_revision;
    }

    // Replaces the listed searchers; an order starts none any more.
    void listVersions(std::map<software_version, rollout_control::version_capacity> versions)
    {
        m_versions = std::move(versions);
        m_startsSearchers = false;
    }

    void setQuality(version_quality quality) { m_quality = std::move(quality); }
    void setRate(double perSecond) { m_rate = perSecond; }
    void setStoreAvailable(bool available) { m_storeAvailable = available; }
    void cut(std::size_t index, bool isCut) { m_processes[index].cut = isCut; }
    void stop(std::size_t index) { m_processes[index].running = false; }

    void restart(std::size_t index)
    {
        auto& process = m_processes[index];
        process = {};
        process.control = std::make_unique<rollout_control>(limits);
        process.control->setStoreReachable(false);
    }

    // Runs the deployment for this long.
    void run(milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += step) {
            for (std::size_t index = 0; index < m_processes.size(); ++index)
                runProcess(index);
            serveRequests();
        }
    }

    [[nodiscard]] const rollout_control& control(std::size_t index) const { return *m_processes[index].control; }
    [[nodiscard]] const std::optional<rollout_status>& status() const { return m_status; }
    [[nodiscard]] std::uint64_t exposed() const { return m_exposed; }
    [[nodiscard]] double exposureBound() const { return limits.exposedShare * static_cast<double>(m_sentSinceOrder) + limits.exposedSlack; }
    [[nodiscard]] std::uint64_t lateSends() const { return m_lateSends; }
    [[nodiscard]] std::uint64_t sendsTo(const software_version& version) { return m_sends[version]; }
    [[nodiscard]] const std::map<std::uint64_t, std::vector<rollout_phase>>& history() const { return m_phases; }
    [[nodiscard]] monotonic_time now() const { return m_now; }

    // Time by which everybody knows what is in the store.
    static constexpr milliseconds noticeTime { 900 };
    static constexpr milliseconds rollbackBound { 5000 };

private:
    struct process {
        std::unique_ptr<rollout_control> control;
        bool running = true;
        bool cut = false;
        bool hasRead = false;
        std::uint64_t knownOrder = 0;
        std::uint64_t knownStatus = 0;
        rollout_report published;
        std::map<software_version, rollout_control::version_capacity> versions; // as last read
        monotonic_time readAt {};
    };

    void runProcess(std::size_t index)
    {
        auto& process = m_processes[index];
        if (!process.running)
            return;
        auto& control = *process.control;
        const bool reachable = m_storeAvailable && !process.cut;
        control.setStoreReachable(reachable && process.hasRead);
        if (reachable && m_now >= process.readAt + noticeTime - milliseconds(100 * (index % 4)))
            readStore(index);
        control.evaluate(m_now);
        if (!reachable || !process.hasRead)
            return;
        if (control.isActive() && !(control.ownReport() == process.published) && control.ownReport().order == m_orderRevision)
            process.published = m_reports[index] = control.ownReport();
        // The write holds only if nothing else was written since this process's last read.
        if (const auto next = control.decide(m_now, wallMs(), rank(index)); next && process.knownOrder == m_orderRevision && process.knownStatus == m_statusRevision) {
            m_status = next;
            m_statusRevision = ++m_revision;
            m_phases[next->order].push_back(next->phase);
            process.knownStatus = m_statusRevision;
            control.setStatus(next, m_now);
        }
    }

    void readStore(std::size_t index)
    {
        auto& process = m_processes[index];
        auto& control = *process.control;
        process.readAt = m_now;
        if (process.knownStatus != m_statusRevision)
            control.setStatus(m_status, m_now);
        if (process.knownOrder != m_orderRevision)
            control.setOrder(m_order, { m_now, wallMs(), m_processes.size(), index, !process.hasRead });
        process.knownStatus = m_statusRevision;
        process.knownOrder = m_orderRevision;
        for (const auto& [other, report] : m_reports) {
            if (other == index)
                control.restoreOwnReport(report);
            else
                control.setReport(node_id("n" + std::to_string(other)), report);
        }
        process.versions = m_versions;
        control.setVersions(m_versions);
        process.hasRead = true;
    }

    // The first process that runs is the first by rank, as others are off the member list.
    [[nodiscard]] std::size_t rank(std::size_t index) const
    {
        std::size_t result = 0;
        for (std::size_t other = 0; other < index; ++other)
            result += m_processes[other].running ? 1 : 0;
        return result;
    }

    [[nodiscard]] std::int64_t wallMs() const { return startWallMs + std::chrono::duration_cast<milliseconds>(m_now - start).count(); }

    void serveRequests()
    {
        std::uniform_real_distribution<double> part(0, 1);
        std::uint64_t targetSends = 0;
        for (m_requestsDue += m_rate * 0.1; m_requestsDue >= 1; m_requestsDue -= 1) {
            auto& process = m_processes[m_random() % m_processes.size()];
            if (process.running && process.hasRead)
                targetSends += serve(process, process.cut || !m_storeAvailable, part(m_random) < 0.3 ? "rare" : "common", part) ? 1 : 0;
        }
        m_targetRate = 0.9 * m_targetRate + 0.1 * static_cast<double>(targetSends) * 10;
    }

    // Returns true if the request went to the target version.
    bool serve(process& process, bool outOfTouch, const std::string& route, std::uniform_real_distribution<double>& part)
    {
        auto& control = *process.control;
        const auto version = choose(process);
        if (!version)
            return false;
        control.recordSend(*version);
        ++m_sends[*version];
        ++m_sentSinceOrder;
        const bool isTarget = m_order && *version == m_order->target;
        bool failed = false;
        auto elapsed = microseconds(8000 + m_random() % 4000);
        if (part(m_random) < 0.02)
            elapsed *= 10; // a pause, as all searchers have
        if (isTarget) {
            ++m_exposed;
            if (!outOfTouch && m_fiftiethBadAt && m_now > *m_fiftiethBadAt + rollbackBound)
                ++m_lateSends;
            const bool isBadNow = m_now >= m_orderedAt + m_quality.badFrom && (m_quality.onlyRoute.empty() || m_quality.onlyRoute == route) && m_targetRate >= m_quality.onlyAboveLoad;
            failed = isBadNow && part(m_random) < m_quality.failing;
            const bool slow = isBadNow && part(m_random) < m_quality.slow;
            if (slow)
                elapsed = microseconds(static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * m_quality.slowFactor));
            if ((failed || slow) && ++m_badAnswers == 50)
                m_fiftiethBadAt = m_now;
        }
        control.recordAnswer(*version, route, failed, elapsed, false);
        return isTarget;
    }

    [[nodiscard]] std::optional<software_version> choose(const process& process) const
    {
        const auto& control = *process.control;
        using version_use = rollout_control::version_use;
        std::map<int, std::vector<software_version>> byPreference;
        for (const auto& [version, capacity] : process.versions) {
            const auto use = control.use(version);
            if (use == version_use::none || (use == version_use::limited && !control.mayExpose()))
                continue;
            byPreference[use == version_use::limited ? (control.prefersTarget() ? 0 : 2) : (use == version_use::free ? 1 : 3)].push_back(version);
        }
        if (byPreference.empty())
            return {};
        const auto& best = byPreference.begin()->second;
        return best[m_random() % best.size()];
    }

    mutable std::mt19937 m_random;
    monotonic_time m_now = start;
    std::vector<process> m_processes;
    std::map<software_version, rollout_control::version_capacity> m_versions { { oldVersion, { 6, 6 } } };
    bool m_startsSearchers = true;
    version_quality m_quality;
    double m_rate = 60;
    double m_requestsDue = 0;
    double m_targetRate = 0;
    bool m_storeAvailable = true;
    std::uint64_t m_revision = 10;
    std::uint64_t m_orderRevision = 0;
    std::uint64_t m_statusRevision = 0;
    std::optional<rollout_order> m_order;
    std::optional<rollout_status> m_status;
    std::map<std::size_t, rollout_report> m_reports;
    std::map<std::uint64_t, std::vector<rollout_phase>> m_phases; // written, by order
    std::map<software_version, std::uint64_t> m_sends;
    monotonic_time m_orderedAt {};
    std::uint64_t m_sentSinceOrder = 0;
    std::uint64_t m_exposed = 0;
    std::uint64_t m_badAnswers = 0;
    std::uint64_t m_lateSends = 0;
    std::optional<monotonic_time> m_fiftiethBadAt;
};

constexpr milliseconds budget { 60'000 };

// Returns the stored phase; running if there is no status.
rollout_phase phaseOf(const deployment_model& model) { return model.status() ? model.status()->phase : rollout_phase::running; }

} // namespace

TEST_CASE("A good version is rolled out within its time budget")
{
    const auto processes = GENERATE(1, 4, 40);
    deployment_model model(processes, 7);
    model.run(milliseconds(2000));
    model.order(newVersion, budget);

    SECTION("and then gets all requests")
    {
        model.run(budget);
        REQUIRE(phaseOf(model) == rollout_phase::succeeded);
        model.run(milliseconds(1000));
        const auto before = model.sendsTo(oldVersion);
        model.run(milliseconds(10'000));
        CHECK(model.sendsTo(oldVersion) == before);
    }

    SECTION("also with few requests")
    {
        model.setRate(8);
        model.run(budget);
        CHECK(phaseOf(model) == rollout_phase::succeeded);
    }

    SECTION("and no request is on the old searchers when it succeeds")
    {
        while (phaseOf(model) != rollout_phase::switching)
            model.run(step);
        model.run(deployment_model::noticeTime + step);
        const auto before = model.sendsTo(oldVersion);
        model.run(limits.switchTime - limits.noticeDelay);
        CHECK(model.sendsTo(oldVersion) == before);
    }
}

TEST_CASE("A bad version goes back and its exposure is bounded")
{
    const auto processes = GENERATE(1, 4, 40);
    deployment_model model(processes, 11);
    version_quality quality;

    SECTION("failing from the start") { quality.failing = 0.3; }
    SECTION("failing always") { quality.failing = 1; }
    SECTION("slow instead of failing") { quality.slow = 0.4; }
    SECTION("failing later")
    {
        quality.failing = 0.4;
        quality.badFrom = budget / 3;
    }
    SECTION("failing on one route")
    {
        quality.failing = 0.5;
        quality.onlyRoute = "rare";
    }
    SECTION("failing under load only")
    {
        quality.failing = 0.6;
        quality.onlyAboveLoad = 15;
    }

    model.setQuality(quality);
    model.run(milliseconds(2000));
    model.order(newVersion, budget);
    model.run(budget);
    CHECK(phaseOf(model) == rollout_phase::rolled_back);
    CHECK(static_cast<double>(model.exposed()) <= model.exposureBound());
    CHECK(model.lateSends() == 0);

    model.run(milliseconds(2000));
    const auto before = model.sendsTo(newVersion);
    model.run(milliseconds(10'000));
    CHECK(model.sendsTo(newVersion) == before);
}

TEST_CASE("A version without searchers is rolled back at the end of the time budget")
{
    deployment_model model(4, 3);
    model.listVersions({ { oldVersion, { 6, 6 } } });
    model.order(newVersion, budget);
    model.run(budget / 2);
    CHECK(phaseOf(model) == rollout_phase::running);
    model.run(budget / 2);
    CHECK(phaseOf(model) == rollout_phase::rolled_back);
}

TEST_CASE("A version whose searchers stay cold is not proved")
{
    deployment_model model(4, 3);
    model.listVersions({ { oldVersion, { 6, 6 } }, { newVersion, { 6, 0 } } });
    model.order(newVersion, budget);
    model.run(budget);
    CHECK(phaseOf(model) == rollout_phase::rolled_back);
}

TEST_CASE("Another process takes over a roll-out")
{
    deployment_model model(4, 5);
    const bool bad = GENERATE(false, true);
    if (bad)
        model.setQuality({ 0.3, 0, 5, milliseconds(0), "", 0 });
    const auto lostAt = GENERATE(0, 3000, 20'000, 45'000);
    model.order(newVersion, budget);
    model.run(milliseconds(lostAt));

    SECTION("when the first by rank ends") { model.stop(0); }
    SECTION("when the first by rank is cut off from the store but listed") { model.cut(0, true); }
    SECTION("when the first by rank restarts") { model.restart(0); }

    model.run(budget - milliseconds(lostAt));
    CHECK(phaseOf(model) == (bad ? rollout_phase::rolled_back : rollout_phase::succeeded));
    if (bad)
        CHECK(static_cast<double>(model.exposed()) <= model.exposureBound());
}

TEST_CASE("Nothing is sent to an unproved version while the store is away")
{
    deployment_model model(4, 5);
    model.order(newVersion, budget);
    model.run(milliseconds(5000));
    model.setStoreAvailable(false);
    model.run(step);
    const auto before = model.sendsTo(newVersion);
    model.run(milliseconds(10'000));
    CHECK(model.sendsTo(newVersion) == before);

    SECTION("and the roll-out continues when it is back")
    {
        model.setStoreAvailable(true);
        model.run(budget - milliseconds(15'000));
        CHECK(phaseOf(model) == rollout_phase::succeeded);
    }
}

TEST_CASE("After a restart of all processes the state comes from the store")
{
    deployment_model model(4, 5);

    SECTION("in the middle of a good roll-out, which then ends")
    {
        model.order(newVersion, budget);
        model.run(milliseconds(25'000));
        for (std::size_t index = 0; index < 4; ++index)
            model.restart(index);
        model.run(milliseconds(35'000));
        CHECK(phaseOf(model) == rollout_phase::succeeded);
    }

    SECTION("in the middle of a bad one, whose exposure stays bounded")
    {
        model.setQuality({ 0.3, 0, 5, milliseconds(30'000), "", 0 });
        model.order(newVersion, budget);
        for (int round = 0; round < 4; ++round) {
            model.run(milliseconds(6000));
            for (std::size_t index = 0; index < 4; ++index)
                model.restart(index);
        }
        model.run(milliseconds(36'000));
        CHECK(phaseOf(model) == rollout_phase::rolled_back);
        CHECK(static_cast<double>(model.exposed()) <= model.exposureBound());
    }

    SECTION("after the result, which stays")
    {
        model.setQuality({ 1, 0, 5, milliseconds(0), "", 0 });
        model.order(newVersion, budget);
        model.run(budget);
        REQUIRE(phaseOf(model) == rollout_phase::rolled_back);
        const auto before = model.sendsTo(newVersion);
        for (std::size_t index = 0; index < 4; ++index)
            model.restart(index);
        model.run(milliseconds(10'000));
        CHECK(model.sendsTo(newVersion) == before);
    }
}

TEST_CASE("A second order replaces the first")
{
    deployment_model model(4, 5);
    model.order(newVersion, budget);
    model.run(milliseconds(20'000));
    model.order(laterVersion, budget);
    model.run(milliseconds(2000));
    const auto before = model.sendsTo(newVersion);
    model.run(budget - milliseconds(2000));
    CHECK(phaseOf(model) == rollout_phase::succeeded);
    CHECK(model.status()->target == laterVersion);
    CHECK(model.sendsTo(newVersion) == before);
}

TEST_CASE("An order after a finished roll-out leaves the live version in use")
{
    deployment_model model(4, 5);
    model.order(newVersion, budget);
    model.run(budget);
    REQUIRE(phaseOf(model) == rollout_phase::succeeded);
    model.run(milliseconds(GENERATE(0, 300, 500, 800))); // so that orders meet the processes' reads differently
    const auto next = GENERATE(laterVersion, oldVersion);
    const bool bad = GENERATE(false, true);
    if (bad)
        model.setQuality({ 0.5, 0, 5, milliseconds(0), "", 0 });
    model.order(next, budget);

    for (milliseconds passed { 0 }; passed < budget; passed += milliseconds(1000)) {
        const auto before = model.sendsTo(newVersion);
        model.run(milliseconds(1000));
        REQUIRE(model.status());
        if (phaseOf(model) == rollout_phase::succeeded && model.status()->target == next)
            break;
        const auto& excluded = model.status()->excluded;
        CHECK(std::find(excluded.begin(), excluded.end(), newVersion) == excluded.end());
        for (std::size_t index = 0; index < 4; ++index)
            CHECK(model.control(index).use(newVersion) != rollout_control::version_use::none);
        if (phaseOf(model) != rollout_phase::switching)
            CHECK(model.sendsTo(newVersion) > before);
    }
    CHECK(model.status()->target == next);
    CHECK(phaseOf(model) == (bad ? rollout_phase::rolled_back : rollout_phase::succeeded));
}

TEST_CASE("A final status is known although the next order's came in the same batch")
{
    rollout_control control(limits);
    control.setOrder(rollout_order { newVersion, budget, 11 }, { start, startWallMs, 1, 0, false });
    const bool knewResult = GENERATE(true, false);
    if (knewResult)
        control.setStatus(rollout_status { rollout_phase::succeeded, newVersion, 11, startWallMs, { oldVersion } }, start);
    control.setStatus(rollout_status { rollout_phase::running, laterVersion, 13, startWallMs, { oldVersion } }, start);
    control.setOrder(rollout_order { laterVersion, budget, 13 }, { start, startWallMs, 1, 0, false });
    CHECK(control.use(newVersion) == rollout_control::version_use::free);
    CHECK(control.use(oldVersion) == rollout_control::version_use::none);
    CHECK(control.use(laterVersion) == rollout_control::version_use::limited);
}

TEST_CASE("The counts of a finished roll-out stay")
{
    deployment_model model(4, 5);
    model.order(newVersion, budget);
    model.run(budget);
    REQUIRE(phaseOf(model) == rollout_phase::succeeded);
    model.run(milliseconds(1000));
    const auto before = model.control(0).totals();
    REQUIRE(before.contains("common"));
    CHECK(before.at("common").targetAnswers > 0);
    CHECK(before.at("common").otherAnswers > 0);
    model.run(milliseconds(5000));
    CHECK(model.control(0).totals() == before);
}

TEST_CASE("A slow version goes back also if each process sees few requests")
{
    deployment_model model(84, 13);
    model.setRate(8);
    version_quality quality;
    quality.slow = GENERATE(1.0, 0.4);
    model.setQuality(quality);
    model.run(milliseconds(2000));
    model.order(newVersion, budget);
    model.run(budget);
    CHECK(phaseOf(model) == rollout_phase::rolled_back);
    CHECK(static_cast<double>(model.exposed()) <= model.exposureBound());
}

TEST_CASE("A good version is rolled out also if each process sees few requests")
{
    deployment_model model(84, 13);
    model.setRate(8);
    model.run(milliseconds(2000));
    model.order(newVersion, budget);
    model.run(budget);
    CHECK(phaseOf(model) == rollout_phase::succeeded);
}

TEST_CASE("A withdrawn order goes back")
{
    deployment_model model(4, 5);
    model.order(newVersion, budget);
    model.run(milliseconds(20'000));
    model.withdraw();
    model.run(milliseconds(3000));
    CHECK(phaseOf(model) == rollout_phase::rolled_back);
    const auto before = model.sendsTo(newVersion);
    model.run(milliseconds(10'000));
    CHECK(model.sendsTo(newVersion) == before);
}

TEST_CASE("An order that is written again after its success changes nothing")
{
    deployment_model model(4, 5);
    model.order(newVersion, budget);
    model.run(budget);
    REQUIRE(phaseOf(model) == rollout_phase::succeeded);

    SECTION("with its state in the store") { }
    SECTION("with its state lost from the store") { model.loseStatus(); }

    model.order(newVersion, budget);
    const auto before = model.sendsTo(oldVersion);
    model.run(milliseconds(10'000));
    CHECK(phaseOf(model) == rollout_phase::succeeded);
    CHECK(model.sendsTo(oldVersion) == before);
    CHECK(model.status().has_value());
}

TEST_CASE("A version that was rolled back can be ordered again")
{
    deployment_model model(4, 5);
    model.setQuality({ 0.5, 0, 5, milliseconds(0), "", 0 });
    model.order(newVersion, budget);
    model.run(budget);
    REQUIRE(phaseOf(model) == rollout_phase::rolled_back);
    model.setQuality({});
    model.order(newVersion, budget);
    model.run(budget);
    CHECK(phaseOf(model) == rollout_phase::succeeded);
}

TEST_CASE("A final state of an order never changes, and exposure is bounded, in any order of events")
{
    CHECK(rc::check("random events", [] {
        deployment_model model(5, *rc::gen::arbitrary<std::uint32_t>());
        version_quality quality;
        quality.failing = *rc::gen::element(0.0, 0.2, 1.0);
        quality.slow = *rc::gen::element(0.0, 0.3);
        quality.badFrom = milliseconds(*rc::gen::inRange(0, 30'000));
        const bool bad = quality.failing > 0 || quality.slow > 0;
        model.setQuality(quality);
        model.run(milliseconds(1000));
        model.order(newVersion, budget);
        const auto events = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(1, 12), rc::gen::inRange(0, 40));
        for (const auto chosen : events) {
            const auto index = static_cast<std::size_t>(chosen) % 5;
            switch (chosen / 5) {
            case 0:
                model.cut(index, true);
                break;
            case 1:
                model.cut(index, false);
                break;
            case 2:
                model.restart(index);
                break;
            case 3:
                model.setStoreAvailable(false);
                break;
            case 4:
                model.setStoreAvailable(true);
                break;
            case 5:
                if (chosen == 25)
                    model.order(laterVersion, budget);
                break;
            case 6:
                for (std::size_t each = 0; each < 5; ++each)
                    model.restart(each);
                break;
            default:
                break;
            }
            model.run(milliseconds(4000));
            if (bad)
                RC_ASSERT(static_cast<double>(model.exposed()) <= model.exposureBound());
        }
        for (const auto& [order, phases] : model.history()) {
            for (std::size_t index = 0; index + 1 < phases.size(); ++index)
                RC_ASSERT(phases[index] != rollout_phase::succeeded && phases[index] != rollout_phase::rolled_back);
        }
    }));
}
