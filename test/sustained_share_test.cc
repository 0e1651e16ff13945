#include "limpetpier/coordination/sustained_share.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <numeric>
#include <optional>
#include <rapidcheck.h>
#include <vector>

#include "limpetpier/coordination/retry_allowance.h"

using namespace limpetpier;

namespace {

constexpr milliseconds window { 10'000 };
constexpr milliseconds maxSilence { 5000 };
const monotonic_time start = monotonic_time {} + std::chrono::hours(1);

} // namespace

TEST_CASE("A part of a shared limit may be used once it was held for a whole window")
{
    sustained_share share(window, maxSilence);
    monotonic_time now = start;
    const auto advance = [&](milliseconds duration) {
        for (milliseconds passed { 0 }; passed < duration; passed += milliseconds(100)) {
            now += milliseconds(100);
            share.keepAlive(now);
        }
    };

    SECTION("not before, as a predecessor of the process may have used it")
    {
        share.set(4, now);
        CHECK(share.usable(now) == 0);
        advance(window - milliseconds(100));
        CHECK(share.usable(now) == 0);
        advance(milliseconds(100));
        CHECK(share.usable(now) == 4);
    }
    SECTION("also if the process starts with the clock")
    {
        now = monotonic_time {};
        share.set(4, now);
        CHECK(share.usable(now + milliseconds(1)) == 0);
    }
    SECTION("a smaller part is in force at once, a larger one a window later")
    {
        share.set(4, now);
        advance(window);
        share.set(2, now);
        CHECK(share.usable(now) == 2);
        share.set(8, now);
        advance(window - milliseconds(100));
        CHECK(share.usable(now) == 2);
        advance(milliseconds(100));
        CHECK(share.usable(now) == 8);
    }
    SECTION("a process that was suspended counts as newly started")
    {
        share.set(4, now);
        advance(window);
        now += maxSilence + milliseconds(1);
        CHECK(share.usable(now) == 0);
        advance(window);
        CHECK(share.usable(now) == 4);
    }
    SECTION("the limit itself may change")
    {
        share.set(4, now);
        advance(milliseconds(2000));
        share.changeWindow(milliseconds(1000));
        CHECK(share.usable(now) == 4);
    }
}

namespace {

constexpr milliseconds step { 250 };
constexpr double slack = 20;
constexpr double requestShare = 0.2;

// What a process knows of its part of the limit.
struct process_state {
    sustained_share share { window, maxSilence };
    retry_allowance allowance { requestShare, 0, window };
};

// Machines whose processes join, leave, die, freeze and restart, and which use as many extra sends as they may.
class shared_limit_history {
public:
    explicit shared_limit_history(std::size_t machines)
        : m_machines(machines)
    {
    }

    void runStep()
    {
        m_now += step;
        for (auto& machine : m_machines)
            runMachine(machine);
    }

    void startProcess(std::size_t machine) { m_machines[machine].process.emplace(); }

    // A process that leaves in order is removed from the list of members but still sends for a while.
    void endProcess(std::size_t machine, bool inOrder)
    {
        if (inOrder)
            m_machines[machine].listedUntil = m_now;
        else
            m_machines[machine].process.reset();
    }

    void exitProcess(std::size_t machine) { m_machines[machine].process.reset(); }
    void freeze(std::size_t machine, bool frozen) { m_machines[machine].frozen = frozen; }
    void setRate(std::size_t machine, std::uint32_t requestsPerStep) { m_machines[machine].requestsPerStep = requestsPerStep; }

    // Returns whether the extra sends of the last window are within the limit. The requests are those of the last two
    // windows: the rule takes the busier one of several.
    [[nodiscard]] bool isWithinLimit()
    {
        while (!m_sends.empty() && m_sends.front().first <= m_now - window)
            m_sends.erase(m_sends.begin());
        while (!m_requests.empty() && m_requests.front().first <= m_now - 2 * window)
            m_requests.erase(m_requests.begin());
        const auto add = [](std::uint64_t sum, const auto& item) { return sum + item.second; };
        const auto sends = std::accumulate(m_sends.begin(), m_sends.end(), std::uint64_t { 0 }, add);
        const auto requests = std::accumulate(m_requests.begin(), m_requests.end(), std::uint64_t { 0 }, add);
        return static_cast<double>(sends) <= requestShare * static_cast<double>(requests) + slack;
    }

private:
    static constexpr milliseconds leaseTime { 6000 };

    struct machine_state {
        std::optional<process_state> process;
        bool frozen = false;
        std::uint32_t requestsPerStep = 0;
        monotonic_time listedUntil {};
    };

    void runMachine(machine_state& machine)
    {
        if (!machine.process || machine.frozen)
            return;
        auto& [share, allowance] = *machine.process;
        const bool isLeaving = machine.listedUntil == m_now - step;
        if (!isLeaving)
            machine.listedUntil = m_now + leaseTime;
        const auto listed = std::max<std::ptrdiff_t>(1, std::count_if(m_machines.begin(), m_machines.end(), [&](const machine_state& other) { return other.listedUntil >= m_now; }));
        share.set(slack / static_cast<double>(listed), m_now);
        allowance.changeLimits(requestShare, share.usable(m_now), window);
        for (std::uint32_t count = 0; count < machine.requestsPerStep; ++count)
            allowance.recordRequest(m_now);
        m_requests.emplace_back(m_now, machine.requestsPerStep);
        std::uint64_t sends = 0;
        while (allowance.tryWithdraw(m_now))
            ++sends;
        m_sends.emplace_back(m_now, sends);
    }

    std::vector<machine_state> m_machines;
    monotonic_time m_now = start;
    std::vector<std::pair<monotonic_time, std::uint64_t>> m_sends;
    std::vector<std::pair<monotonic_time, std::uint64_t>> m_requests;
};

} // namespace

TEST_CASE("The extra sends of all processes stay within the shared limit in every window")
{
    REQUIRE(rc::check("joins, leaves, kills, restarts and freezes in any order", [] {
        constexpr std::size_t machines = 5;
        shared_limit_history history(machines);
        for (std::size_t machine = 0; machine < machines; ++machine)
            history.startProcess(machine);
        const auto events = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(rc::gen::inRange(0, 7), rc::gen::inRange(0, static_cast<int>(machines)), rc::gen::inRange(1, 60)));
        for (const auto& [kind, number, steps] : events) {
            const auto machine = static_cast<std::size_t>(number);
            if (kind == 0)
                history.endProcess(machine, false);
            else if (kind == 1)
                history.endProcess(machine, true);
            else if (kind == 2)
                history.exitProcess(machine);
            else if (kind == 3)
                history.startProcess(machine);
            else if (kind == 4)
                history.freeze(machine, true);
            else if (kind == 5)
                history.freeze(machine, false);
            else
                history.setRate(machine, static_cast<std::uint32_t>(steps) / 8);
            for (int count = 0; count < steps; ++count) {
                history.runStep();
                RC_ASSERT(history.isWithinLimit());
            }
        }
    }));
}
