#include "limpetpier/coordination/retry_allowance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <random>
#include <vector>

#include "limpetpier/coordination/member_share.h"

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };
constexpr milliseconds window { 10'000 };
constexpr milliseconds maintenanceInterval { 100 };

// Runs the periodic maintenance from one time to another.
void run(retry_allowance& allowance, monotonic_time from, monotonic_time to)
{
    for (auto now = from; now <= to; now += maintenanceInterval)
        allowance.keepAlive(now);
}

int withdrawAll(retry_allowance& allowance, monotonic_time now)
{
    int result = 0;
    while (allowance.tryWithdraw(now))
        ++result;
    return result;
}

} // namespace

TEST_CASE("An extra send that reached no searcher can be refunded")
{
    retry_allowance allowance(0.2, 2, window);
    run(allowance, start, start + window);
    REQUIRE(allowance.tryWithdraw(start + window));
    REQUIRE_FALSE(allowance.tryWithdraw(start + window));
    allowance.refund();
    CHECK(allowance.tryWithdraw(start + window + milliseconds(1)));
}

TEST_CASE("Extra sends in any window stay within the share of its requests plus the slack")
{
    retry_allowance allowance(0.2, 4, window);
    std::mt19937 generator(5);
    std::vector<monotonic_time> requests;
    std::vector<monotonic_time> extras;
    auto now = start;
    for (int step = 0; step < 20'000; ++step) {
        now += milliseconds(std::uniform_int_distribution<>(0, 30)(generator));
        // Alternates bursts of requests with pauses; tries more extra sends than allowed throughout.
        if ((step / 2000) % 2 == 0 && generator() % 2 == 0) {
            allowance.recordRequest(now);
            requests.push_back(now);
        } else if (allowance.tryWithdraw(now)) {
            extras.push_back(now);
        }
    }
    REQUIRE(extras.size() > 100);
    const auto countWithin = [](const std::vector<monotonic_time>& times, monotonic_time from, monotonic_time to) {
        return static_cast<double>(std::upper_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from));
    };
    for (const auto& end : extras) {
        const auto from = end - window;
        CHECK(countWithin(extras, from, end) <= 0.2 * countWithin(requests, from, end) + 4);
    }
}

TEST_CASE("The slack allows extra sends without any requests")
{
    retry_allowance allowance(0.2, 4, window);

    SECTION("a new process has none, whatever its predecessor used")
    {
        CHECK(withdrawAll(allowance, start) == 0);
    }
    SECTION("in its first window a process earns a quarter of its part")
    {
        run(allowance, start, start + window - maintenanceInterval);
        CHECK(allowance.remaining(start + window - maintenanceInterval) == Approx(1).margin(0.02));
    }
    SECTION("after it, three quarters can be used at once, and the rest in the window that follows")
    {
        run(allowance, start, start + window);
        CHECK(withdrawAll(allowance, start + window) == 3);
        run(allowance, start + window, start + 2 * window);
        CHECK(withdrawAll(allowance, start + 2 * window) == 1);
    }
    SECTION("a process that was suspended starts again like a new one")
    {
        run(allowance, start, start + window);
        CHECK(withdrawAll(allowance, start + 3 * window) == 0);
        run(allowance, start + 3 * window, start + 4 * window);
        CHECK(withdrawAll(allowance, start + 4 * window) == 3);
    }
}

TEST_CASE("Requests earn extra sends")
{
    retry_allowance allowance(0.2, 0, window);
    for (int request = 0; request < 100; ++request)
        allowance.recordRequest(start);
    const auto earned = 0.2 * retry_allowance::usableShareFraction * 100;

    SECTION("that can be used at once")
    {
        CHECK(withdrawAll(allowance, start) == static_cast<int>(earned));
    }
    SECTION("but are not kept for long")
    {
        run(allowance, start, start + window / 5);
        CHECK(withdrawAll(allowance, start + window / 5) == 0);
    }
}

TEST_CASE("Changed limits apply to an allowance in use")
{
    retry_allowance allowance(0.2, 0, window);
    for (int request = 0; request < 100; ++request)
        allowance.recordRequest(start);
    const auto now = start + milliseconds(1);
    for (int extra = 0; extra < 10; ++extra)
        REQUIRE(allowance.tryWithdraw(now));
    const auto before = allowance.remaining(now);

    SECTION("a larger share applies to the requests that follow")
    {
        allowance.changeLimits(0.4, 0, window, now);
        CHECK(allowance.remaining(now) == Approx(before));
        allowance.recordRequest(now);
        CHECK(allowance.remaining(now) == Approx(before + 0.4 * retry_allowance::usableShareFraction));
    }
    SECTION("a larger slack adds nothing at once")
    {
        allowance.changeLimits(0.2, 40, window, now);
        CHECK(allowance.remaining(now) == Approx(before));
    }
    SECTION("a smaller share can leave none")
    {
        allowance.changeLimits(0.01, 0, window, now);
        CHECK(withdrawAll(allowance, now) <= 1);
    }
    SECTION("a smaller slack takes away what may no longer be held")
    {
        retry_allowance other(0.2, 40, window);
        run(other, start, start + window);
        other.changeLimits(0.2, 4, window, start + window);
        CHECK(withdrawAll(other, start + window) == 3);
    }
    SECTION("a larger slack takes effect after one window, in which its earlier holder may have used it")
    {
        retry_allowance other(0.2, 4, window);
        run(other, start, start + window);
        other.changeLimits(0.2, 40, window, start + window);
        run(other, start + window, start + 2 * window - maintenanceInterval);
        CHECK(withdrawAll(other, start + 2 * window - maintenanceInterval) == 3);
        run(other, start + 2 * window, start + 3 * window);
        CHECK(withdrawAll(other, start + 3 * window) == 10);
    }
    SECTION("a window of another length keeps what is left")
    {
        allowance.changeLimits(0.2, 10, 3 * window, now);
        CHECK(allowance.remaining(now) <= before);
    }
}

namespace {

constexpr milliseconds stepLength { 50 };
constexpr auto stepsPerWindow = static_cast<std::size_t>(window / stepLength);
constexpr double share = 0.2;

// Sends of all machines in each step.
struct step_counts {
    std::uint32_t requests = 0;
    std::uint32_t extra = 0;
};

// Machines whose processes come and go, and which use all extra sends that their allowances let them in some periods.
class machine_history {
public:
    machine_history(std::uint32_t seed, std::size_t machines, double slack)
        : m_random(seed)
        , m_slack(slack)
        , m_machines(machines)
        , m_requestsPerStep(std::uniform_real_distribution<>(0.05, 0.6)(m_random) * static_cast<double>(machines))
    {
        for (std::size_t machine = 0; machine < machines; ++machine)
            startProcess(machine, 0);
    }

    std::vector<step_counts> play(std::size_t steps)
    {
        std::vector<step_counts> result(steps);
        for (std::size_t step = 0; step < steps; ++step) {
            if (chance(0.02))
                disturb(step);
            if (chance(0.02))
                m_demand = std::uniform_real_distribution<>(0, 1)(m_random) < 0.5 ? 0 : std::uniform_real_distribution<>(0, 1)(m_random);
            playStep(step, result[step]);
        }
        return result;
    }

private:
    struct machine {
        bool runs = false;
        std::size_t frozenUntil = 0;
        std::size_t startsAt = 0; // a stopped process starts again; 0 for never
        retry_allowance allowance { share, 0, window };
        std::size_t listKnownAt = 0; // when this process reads the current member list
        std::size_t listedUntil = 0; // for a stopped process: when its entry expires
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    std::size_t pick(std::size_t low, std::size_t high) { return std::uniform_int_distribution<std::size_t>(low, high)(m_random); }

    monotonic_time timeOf(std::size_t step) const { return start + static_cast<std::int64_t>(step) * stepLength; }

    // All processes read the changed list at times of their own.
    void changeList(std::size_t step)
    {
        for (auto& each : m_machines)
            each.listKnownAt = step + pick(2, 40);
    }

    void startProcess(std::size_t index, std::size_t step)
    {
        m_machines[index] = {};
        m_machines[index].runs = true;
        changeList(step);
    }

    // A process that is stopped in order leaves the list first and still sends for a while; a killed one is listed
    // until its lease ends.
    void endProcess(machine& ended, std::size_t step, bool inOrder, bool startsAgain)
    {
        ended.runs = false;
        ended.startsAt = startsAgain ? step + pick(4, 60) : 0;
        ended.listedUntil = inOrder ? step : step + 300;
        changeList(step);
    }

    void disturb(std::size_t step)
    {
        const auto kind = pick(0, 4);
        const bool isHerd = chance(0.2);
        for (std::size_t index = 0; index < m_machines.size(); ++index) {
            auto& each = m_machines[index];
            if (isHerd ? !chance(0.7) : pick(0, m_machines.size() - 1) != 0)
                continue;
            if (kind == 0 && each.runs)
                endProcess(each, step, true, true);
            else if (kind == 1 && each.runs)
                endProcess(each, step, false, true);
            else if (kind == 2 && each.runs)
                endProcess(each, step, chance(0.5), false);
            else if (kind == 3 && each.runs)
                each.frozenUntil = step + pick(2, 500);
            else if (kind == 4 && !each.runs && each.startsAt == 0)
                startProcess(index, step);
        }
    }

    void playStep(std::size_t step, step_counts& counts)
    {
        const auto now = timeOf(step);
        std::size_t listed = 0;
        std::vector<machine*> serving;
        for (std::size_t index = 0; index < m_machines.size(); ++index) {
            auto& each = m_machines[index];
            if (!each.runs && each.startsAt != 0 && each.startsAt <= step)
                startProcess(index, step);
            if (each.runs || each.listedUntil > step)
                ++listed;
            if (each.runs && each.frozenUntil <= step)
                serving.push_back(&each);
        }
        for (auto* each : serving) {
            if (each->listKnownAt <= step) {
                const std::vector<listed_member> members(listed);
                each->allowance.changeLimits(share, m_slack * member_share::usableFraction / static_cast<double>(members.size()), window, now);
            }
            each->allowance.keepAlive(now);
        }
        const auto requests = std::poisson_distribution<std::uint32_t>(m_requestsPerStep)(m_random);
        counts.requests = requests; // also those that reach no process
        for (std::uint32_t request = 0; request < requests && !serving.empty(); ++request)
            serving[pick(0, serving.size() - 1)]->allowance.recordRequest(now);
        for (auto* each : serving) {
            while (chance(m_demand) && each->allowance.tryWithdraw(now))
                ++counts.extra;
        }
    }

    std::mt19937 m_random;
    double m_slack;
    std::vector<machine> m_machines;
    double m_requestsPerStep;
    double m_demand = 0;
};

// Returns the largest number of extra sends beyond the share of the requests in any window. The requests are counted in
// the window, in the one before it or in the one half a window before it, whichever has most.
double worstExcess(const std::vector<step_counts>& steps)
{
    std::vector<double> requestsBefore { 0 };
    std::vector<double> extraBefore { 0 };
    for (const auto& step : steps) {
        requestsBefore.push_back(requestsBefore.back() + step.requests);
        extraBefore.push_back(extraBefore.back() + step.extra);
    }
    const auto requestsUntil = [&](std::size_t end) { return end < stepsPerWindow ? requestsBefore[end] : requestsBefore[end] - requestsBefore[end - stepsPerWindow]; };
    double worst = 0;
    for (std::size_t end = stepsPerWindow; end < extraBefore.size(); ++end) {
        const auto extra = extraBefore[end] - extraBefore[end - stepsPerWindow];
        const auto requests = std::max({ requestsUntil(end), requestsUntil(end - stepsPerWindow / 2), requestsUntil(end - stepsPerWindow) });
        worst = std::max(worst, extra - share * requests);
    }
    return worst;
}

} // namespace

TEST_CASE("Extra sends of all machines stay within the limit while processes join, leave, crash, restart and freeze")
{
    constexpr std::uint32_t histories = 3000;
    constexpr std::size_t steps = 1200; // one minute
    std::uint32_t broken = 0;
    for (std::uint32_t seed = 0; seed < histories; ++seed) {
        const std::size_t machines = 2 + seed % 12;
        const double slack = 2.0 * static_cast<double>(machines) + seed % 40;
        const auto excess = worstExcess(machine_history(seed, machines, slack).play(steps));
        if (excess <= slack)
            continue;
        ++broken;
        UNSCOPED_INFO("seed " << seed << ": " << machines << " machines, slack " << slack << ", extra sends beyond the share " << excess);
    }
    CHECK(broken == 0);
}

TEST_CASE("A restart does not renew the extra sends of a machine")
{
    // Rolling restarts while searchers reject: every process uses all that it may, ends, and is replaced at once.
    constexpr double slack = 5;
    std::vector<step_counts> steps(4 * stepsPerWindow);
    retry_allowance allowance(share, slack, window);
    for (std::size_t step = 0; step < steps.size(); ++step) {
        const auto now = start + static_cast<std::int64_t>(step) * stepLength;
        const auto isRestarted = step > 2 * stepsPerWindow && step % (stepsPerWindow / 3) == 0;
        if (isRestarted)
            allowance = retry_allowance(share, slack, window);
        allowance.keepAlive(now);
        if (step % 4 == 0) {
            allowance.recordRequest(now);
            steps[step].requests = 1;
        }
        if (step >= 2 * stepsPerWindow)
            steps[step].extra = static_cast<std::uint32_t>(withdrawAll(allowance, now));
    }
    CHECK(worstExcess(steps) <= slack);
}
