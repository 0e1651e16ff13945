#include "limpetpier/coordination/request_admission.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };

// What happened to the requests of one source.
struct tally {
    std::size_t sent = 0;
    std::size_t admitted = 0;
    std::size_t served = 0;
    std::size_t refused = 0;

    [[nodiscard]] double servedShare() const { return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent); }
};

// A stream of requests of one route, and of one workspace if that is set.
struct source {
    std::string route;
    std::uint32_t priority;
    double perSecond;
    double work = 1;
    std::string workspace {};
};

// Requests of some sources against a service that serves a fixed amount of work in each step, queues up to a tenth of a
// second of it, and fails the rest at random. Nothing waits in the admission, and refused requests do not return.
class loaded_service {
public:
    explicit loaded_service(double capacityPerSecond)
        : capacity(capacityPerSecond)
    {
    }

    std::map<std::string, tally> run(const std::vector<source>& sources, milliseconds duration)
    {
        std::map<std::string, tally> result;
        for (const auto end = now + duration; now < end; now += step) {
            std::vector<std::pair<const source*, admission_candidate>> admitted;
            for (const auto& from : sources) {
                for (auto count = std::poisson_distribution<int>(from.perSecond * stepSeconds)(random); count > 0; --count) {
                    auto& tally = result[from.workspace.empty() ? from.route : from.workspace];
                    ++tally.sent;
                    const admission_candidate candidate { from.route, from.priority, workspace_id(from.workspace), from.work, milliseconds(0), now + milliseconds(1500) };
                    const auto decision = admission.decide(candidate, now, draw(), draw());
                    tally.admitted += decision.verdict == admission_verdict::admit ? 1 : 0;
                    tally.refused += decision.verdict == admission_verdict::refuse ? 1 : 0;
                    if (decision.verdict == admission_verdict::admit)
                        admitted.emplace_back(&from, candidate);
                }
            }
            std::shuffle(admitted.begin(), admitted.end(), random);
            m_unused = std::min(m_unused, capacity * queuedSeconds) + capacity * stepSeconds;
            for (const auto& [from, candidate] : admitted) {
                const double work = chargesByWork ? from->work : 1;
                const bool served = draw() * work < m_unused;
                m_unused -= served ? work : 0;
                result[from->workspace.empty() ? from->route : from->workspace].served += served ? 1 : 0;
                CHECK_FALSE(admission.recordEnd({ served ? admission_outcome::served : admission_outcome::lacked_capacity, from->route, now, milliseconds(20) }, now + step));
            }
        }
        return result;
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(random); }

    double capacity;
    bool chargesByWork = true; // otherwise each request takes the same, whatever is expected of it
    request_admission admission;
    monotonic_time now = start;
    std::mt19937 random { 1 };

private:
    static constexpr milliseconds step { 100 };
    static constexpr double stepSeconds = 0.1;
    static constexpr double queuedSeconds = 0.1;
    double m_unused = 0; // capacity
};

double totalServedShare(const std::map<std::string, tally>& tallies)
{
    tally sum;
    for (const auto& [name, one] : tallies) {
        sum.sent += one.sent;
        sum.served += one.served;
    }
    return sum.servedShare();
}

const std::vector<source> usualLoad { { "urgent", 0, 30 }, { "common", 1, 30 }, { "background", 2, 20 } };

std::vector<source> multiply(std::vector<source> sources, double factor)
{
    for (auto& one : sources)
        one.perSecond *= factor;
    return sources;
}

admission_candidate makeCandidate(std::uint32_t priority, milliseconds timeLeft, const std::string& workspace = "")
{
    return { "route" + std::to_string(priority), priority, workspace_id(workspace), 1, milliseconds(500), start + timeLeft };
}

// End of a request of makeCandidate().
admission_end makeEnd(admission_outcome outcome, monotonic_time admittedAt = start, std::uint32_t priority = 1)
{
    return { outcome, "route" + std::to_string(priority), admittedAt, milliseconds(20) };
}

// Fails requests until there is a shortage, with some requests still running and their mean time known.
void bringAboutShortage(request_admission& admission, std::size_t running, std::uint32_t priority = 1)
{
    for (std::size_t index = 0; index < 20 + running; ++index)
        REQUIRE(admission.decide(makeCandidate(priority, milliseconds(1500)), start, 0, 0).verdict == admission_verdict::admit);
    for (int index = 0; index < 5; ++index)
        REQUIRE_FALSE(admission.recordEnd(makeEnd(admission_outcome::served, start, priority), start));
    for (int index = 0; index < 15; ++index)
        REQUIRE_FALSE(admission.recordEnd(makeEnd(admission_outcome::lacked_capacity, start, priority), start));
    REQUIRE(admission.shortage(start) > 0.2);
}

} // namespace

TEST_CASE("While a service has capacity, no request is refused or waits")
{
    loaded_service service(100);
    const auto calm = service.run(usualLoad, milliseconds(30'000));
    for (const auto& [route, tally] : calm)
        CHECK(tally.admitted == tally.sent);

    SECTION("even if single requests fail")
    {
        for (int request = 0; request < 1000; ++request) {
            REQUIRE(service.admission.decide(makeCandidate(2, milliseconds(1500)), service.now, 0.999, 0).verdict == admission_verdict::admit);
            const auto outcome = request % 12 == 0 ? admission_outcome::lacked_capacity : admission_outcome::served;
            CHECK_FALSE(service.admission.recordEnd(makeEnd(outcome, service.now, 2), service.now));
            service.now += milliseconds(20);
        }
    }
    SECTION("even if clients leave or a rare request is the only one and fails")
    {
        for (int request = 0; request < 20; ++request) {
            REQUIRE(service.admission.decide(makeCandidate(2, milliseconds(1500)), service.now, 0.999, 0).verdict == admission_verdict::admit);
            CHECK_FALSE(service.admission.recordEnd(makeEnd(request % 2 == 0 ? admission_outcome::lacked_capacity : admission_outcome::indifferent, service.now, 2), service.now));
            service.now += milliseconds(2500);
        }
    }
}

TEST_CASE("In a burst of 2.5 times the usual load, less urgent requests give way")
{
    loaded_service service(100);
    service.run(usualLoad, milliseconds(10'000));
    const auto burst = service.run(multiply(usualLoad, 2.5), milliseconds(6000));
    CHECK(burst.at("urgent").servedShare() >= burst.at("common").servedShare());
    CHECK(burst.at("common").servedShare() >= burst.at("background").servedShare());
    CHECK(burst.at("urgent").servedShare() > totalServedShare(burst));

    SECTION("but none is starved")
    {
        for (const auto& [route, tally] : burst)
            CHECK(tally.servedShare() > totalServedShare(burst) / 4);
    }
    SECTION("and soon after it everything is admitted again")
    {
        service.run(usualLoad, milliseconds(4000));
        const auto after = service.run(usualLoad, milliseconds(5000));
        for (const auto& [route, tally] : after)
            CHECK(tally.refused == 0);
    }
    SECTION("and the capacity is used")
    {
        std::size_t served = 0;
        for (const auto& [route, tally] : burst)
            served += tally.served;
        CHECK(static_cast<double>(served) > 0.8 * 100 * 6);
    }
}

TEST_CASE("A shard without a searcher")
{
    loaded_service service(100);
    service.run(usualLoad, milliseconds(10'000));
    service.capacity = 0;
    service.run(usualLoad, milliseconds(1000));
    const auto lost = service.run(usualLoad, milliseconds(4000));
    std::size_t admitted = 0;
    std::size_t sent = 0;
    for (const auto& [route, tally] : lost) {
        admitted += tally.admitted;
        sent += tally.sent;
    }
    CHECK(static_cast<double>(admitted) < 0.5 * static_cast<double>(sent)); // most are refused at once

    SECTION("is used again soon after one is back")
    {
        service.capacity = 100;
        service.run(usualLoad, milliseconds(5000));
        const auto after = service.run(usualLoad, milliseconds(5000));
        CHECK(totalServedShare(after) > 0.95);
    }
}

TEST_CASE("With four of ten searchers twelve times slower, less urgent requests give way")
{
    loaded_service service(100);
    service.run(usualLoad, milliseconds(10'000));
    service.capacity = 100 * (0.6 + 0.4 / 12);
    const auto slow = service.run(usualLoad, milliseconds(8000));
    CHECK(slow.at("urgent").servedShare() >= slow.at("background").servedShare());
    for (const auto& [route, tally] : slow)
        CHECK(tally.servedShare() > totalServedShare(slow) / 4);
}

TEST_CASE("When all processes are back at once and the searchers are cold, no route is starved and urgent requests are served first")
{
    loaded_service service(8);
    const auto cold = service.run(usualLoad, milliseconds(8000));
    CHECK(cold.at("urgent").servedShare() >= cold.at("background").servedShare());
    service.capacity = 100;
    service.run(usualLoad, milliseconds(5000));
    const auto warm = service.run(usualLoad, milliseconds(5000));
    CHECK(totalServedShare(warm) > 0.95);
}

TEST_CASE("A workspace at seven times its usual load does not push out the others")
{
    std::vector<source> sources;
    constexpr int workspaces = 10;
    sources.reserve(workspaces);
    for (int index = 0; index < workspaces; ++index)
        sources.push_back({ "route", 1, 8, 1, "w" + std::to_string(index) });
    loaded_service service(100);
    service.run(sources, milliseconds(20'000));
    sources[0].perSecond *= 7;
    service.run(sources, milliseconds(1000));
    const auto hot = service.run(sources, milliseconds(6000));
    for (int index = 1; index < 10; ++index)
        CHECK(hot.at("w" + std::to_string(index)).servedShare() > hot.at("w0").servedShare());
    CHECK(hot.at("w0").servedShare() > totalServedShare(hot) / 4);

    SECTION("and a large workspace with its usual load is no surplus")
    {
        std::vector<source> uneven { { "route", 1, 60, 1, "large" }, { "route", 1, 10, 1, "small" } };
        loaded_service other(40);
        const auto shared = other.run(uneven, milliseconds(20'000));
        CHECK(shared.at("large").servedShare() > 0.75 * shared.at("small").servedShare());
    }
}

TEST_CASE("Repeats of a refused request, and the same request of another caller, are decided on like any other")
{
    request_admission admission;
    bringAboutShortage(admission, 0);
    const auto first = admission.decide(makeCandidate(2, milliseconds(1500)), start, 0.999, 0.5);
    REQUIRE(first.verdict == admission_verdict::refuse);
    const auto shortage = admission.shortage(start);
    for (int repeat = 0; repeat < 50; ++repeat)
        CHECK(admission.decide(makeCandidate(2, milliseconds(1500)), start + milliseconds(1), 0.999, 0.5).verdict == admission_verdict::refuse);
    CHECK(admission.shortage(start + milliseconds(1)) == Approx(shortage).epsilon(0.01)); // nobody else is refused for it
    CHECK(admission.decide(makeCandidate(1, milliseconds(1500)), start + milliseconds(1), 0, 0.5).verdict == admission_verdict::admit);
    CHECK(admission.decide(makeCandidate(2, milliseconds(1500)), start + milliseconds(1), 0, 0.5).verdict == admission_verdict::admit);
}

TEST_CASE("A route that cannot be served takes no room of one that can")
{
    request_admission admission;
    auto now = start;
    const auto play = [&](admission_outcome outcome, std::uint32_t priority) {
        if (admission.decide(makeCandidate(priority, milliseconds(60'000)), now, 0.5, 0.5).verdict == admission_verdict::admit)
            CHECK_FALSE(admission.recordEnd(makeEnd(outcome, now, priority), now));
    };
    const auto failing = GENERATE(0U, 2U);
    for (int request = 0; request < 100; ++request, now += milliseconds(50)) {
        play(admission_outcome::served, 1);
        play(admission_outcome::lacked_capacity, failing);
        REQUIRE(admission.admittedShare("route1", now) == 1);
    }
    CHECK(admission.admittedShare("route" + std::to_string(failing), now) < 0.6);

    SECTION("and is admitted again soon after it can")
    {
        for (int request = 0; request < 100; ++request, now += milliseconds(50))
            play(admission_outcome::served, failing);
        CHECK(admission.admittedShare("route" + std::to_string(failing), now) == 1);
    }
}

TEST_CASE("Failures of one moment reduce the admitted share once, however late they arrive")
{
    request_admission admission;
    constexpr int requests = 20;
    for (int request = 0; request < requests; ++request)
        REQUIRE(admission.decide(makeCandidate(1, milliseconds(1500)), start + request * milliseconds(50), 0, 0).verdict == admission_verdict::admit);
    double worst = 0;
    for (int request = 0; request < requests; ++request) {
        const auto end = start + milliseconds(2000) + request * milliseconds(50);
        CHECK_FALSE(admission.recordEnd(makeEnd(admission_outcome::lacked_capacity, start + request * milliseconds(50)), end));
        worst = std::max(worst, admission.shortage(end));
    }
    CHECK(worst > 0);
    CHECK(worst <= 0.5); // one reduction at most halves it

    SECTION("but failures of requests admitted later reduce it again")
    {
        const auto now = start + milliseconds(3000);
        const auto before = admission.shortage(now);
        for (int request = 0; request < requests; ++request)
            REQUIRE(admission.decide(makeCandidate(1, milliseconds(1500)), now, 0, 0).verdict == admission_verdict::admit);
        for (int request = 0; request < requests; ++request)
            CHECK_FALSE(admission.recordEnd(makeEnd(admission_outcome::lacked_capacity, now), now + milliseconds(20)));
        CHECK(admission.shortage(now + milliseconds(20)) > before);
    }
}

TEST_CASE("A busy workspace on the least urgent route is admitted at least a quarter as often as all")
{
    request_admission admission;
    static_cast<void>(admission.decide(makeCandidate(2, milliseconds(1500), "busy"), start - std::chrono::minutes(10), 0, 0)); // it is known as a small one
    bringAboutShortage(admission, 0, 0);
    for (int request = 0; request < 1000; ++request)
        static_cast<void>(admission.decide(makeCandidate(0, milliseconds(1500)), start, 0.999, 0));
    for (int request = 0; request < 60; ++request)
        static_cast<void>(admission.decide(makeCandidate(2, milliseconds(1500), "busy"), start, 0.999, 0));
    for (int other = 0; other < 400; ++other)
        static_cast<void>(admission.decide(makeCandidate(2, milliseconds(1500), "other" + std::to_string(other)), start, 0.999, 0));
    constexpr int requests = 100;
    int admitted = 0;
    for (int request = 0; request < requests; ++request) {
        const double draw = (request * 37 % requests + 0.5) / requests; // each part of the range once
        admitted += admission.decide(makeCandidate(2, milliseconds(1500), "busy"), start, draw, 0).verdict == admission_verdict::admit ? 1 : 0;
    }
    CHECK(admitted >= requests * (1 - admission.shortage(start)) / 4);
    CHECK(admitted < requests * (1 - admission.shortage(start))); // there is a shortage for it
}

TEST_CASE("Refused clients are told to return at different times, within a third of the time that they have left")
{
    request_admission admission;
    bringAboutShortage(admission, 0);
    std::set<monotonic_time> returns;
    for (const double spread : { 0.1, 0.3, 0.5, 0.7, 0.9 }) {
        const auto decision = admission.decide(makeCandidate(2, milliseconds(60'000)), start, 0.999, spread);
        REQUIRE(decision.verdict == admission_verdict::refuse);
        CHECK(decision.until > start);
        returns.insert(decision.until);
    }
    CHECK(returns.size() == 5);
    CHECK(admission.decide(makeCandidate(2, milliseconds(300)), start, 0.999, 0.9).until <= start + milliseconds(100));
}

TEST_CASE("A request waits if a place is expected soon")
{
    request_admission admission;
    bringAboutShortage(admission, 3, 0);
    const auto late = admission.decide(makeCandidate(2, milliseconds(900)), start, 0.999, 0.5);
    const auto urgent = admission.decide(makeCandidate(0, milliseconds(2000)), start, 0.999, 0.5);
    const auto early = admission.decide(makeCandidate(2, milliseconds(700)), start, 0.999, 0.5);
    REQUIRE(late.verdict == admission_verdict::wait);
    REQUIRE(urgent.verdict == admission_verdict::wait);
    REQUIRE(early.verdict == admission_verdict::wait);
    CHECK(late.until <= start + milliseconds(500) / 4);
    const auto served = makeEnd(admission_outcome::served, start, 0);

    SECTION("but no more wait than run")
    {
        CHECK(admission.decide(makeCandidate(2, milliseconds(700)), start, 0.999, 0.5).verdict == admission_verdict::refuse);
    }
    SECTION("and takes the place of one that was served, by priority and then by deadline")
    {
        CHECK(admission.recordEnd(served, start) == urgent.ticket);
        CHECK(admission.recordEnd(served, start) == early.ticket);
        CHECK(admission.recordEnd(served, start) == late.ticket);
        CHECK_FALSE(admission.recordEnd(served, start));
    }
    SECTION("but not of one that failed")
    {
        CHECK_FALSE(admission.recordEnd(makeEnd(admission_outcome::lacked_capacity, start, 0), start));
    }
    SECTION("and is refused once its wait is over")
    {
        CHECK(admission.nextExpiry() == late.until);
        const auto expired = admission.takeExpired(late.until, 0.5);
        REQUIRE(expired.size() == 3);
        CHECK(expired.front().returnAt > late.until);
        CHECK(admission.nextExpiry() == monotonic_time::max());
    }
    SECTION("and is forgotten if its client leaves")
    {
        admission.abandon(early.ticket);
        admission.abandon(urgent.ticket);
        CHECK(admission.recordEnd(served, start) == late.ticket);
    }
}

TEST_CASE("A request waits no longer than its deadline")
{
    request_admission admission;
    bringAboutShortage(admission, 3, 0);
    const auto hurried = admission.decide(makeCandidate(2, milliseconds(30)), start, 0.999, 0.5);
    REQUIRE(hurried.verdict == admission_verdict::wait);
    CHECK(hurried.until <= start + milliseconds(30));
    CHECK(admission.decide(makeCandidate(2, milliseconds(0)), start, 0.999, 0.5).verdict == admission_verdict::refuse);
    CHECK(admission.decide(makeCandidate(2, milliseconds(-5)), start, 0.999, 0.5).verdict == admission_verdict::refuse);
}

TEST_CASE("Wrong estimates of the needed work starve nobody")
{
    auto sources = multiply(usualLoad, 2.5);
    const auto factor = GENERATE(0.1, 10.0);
    sources[1].work = factor;
    loaded_service service(100);
    service.chargesByWork = false;
    const auto burst = service.run(sources, milliseconds(6000));
    for (const auto& [route, tally] : burst)
        CHECK(tally.servedShare() > totalServedShare(burst) / 4);
}
