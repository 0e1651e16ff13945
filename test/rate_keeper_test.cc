#include "limpetpier/coordination/rate_keeper.h"

#include <catch2/catch.hpp>
#include <random>

#include "limpetpier/coordination/permit_pool.h"

using namespace limpetpier;

namespace {

const monotonic_time start { std::chrono::hours { 1 } };
constexpr milliseconds confirmationPeriod { 7500 };
const workspace_id subject("w");

std::vector<listed_member> makeMembers(std::size_t count)
{
    std::vector<listed_member> result;
    for (std::size_t index = 0; index < count; ++index)
        result.push_back({ node_id("node-" + std::to_string(index)), data_centre_id("z") });
    return result;
}

// Returns the keepers as a process with this list sees them.
std::vector<node_id> keepersIn(const std::vector<listed_member>& members)
{
    rate_keeper observer(node_id("observer"), confirmationPeriod);
    observer.update({ { subject, { 10, 10 } } }, members, true, start);
    return observer.keepersOf(subject);
}

std::vector<listed_member> without(std::vector<listed_member> members, const node_id& node)
{
    std::erase_if(members, [&](const listed_member& member) { return member.name == node; });
    return members;
}

// Confirms the member list at intervals and returns the permits granted until the end.
std::uint32_t grantAll(rate_keeper& keeper, monotonic_time from, monotonic_time to)
{
    std::uint32_t granted = 0;
    for (auto now = from; now <= to; now += milliseconds(100)) {
        keeper.confirm(now, now);
        granted += keeper.grant(subject, 100, now).granted;
    }
    return granted;
}

} // namespace

TEST_CASE("A keeper grants its part of a limit")
{
    const auto members = makeMembers(6);
    const auto keepers = keepersIn(members);
    REQUIRE(keepers.size() == 2);
    const std::map<workspace_id, rate_limit> limits { { subject, { 20, 40 } } };
    rate_keeper keeper(keepers.front(), confirmationPeriod);
    keeper.confirm(start, start);
    keeper.update(limits, members, true, start);

    SECTION("nothing at its start, then half of the rate")
    {
        CHECK(keeper.grant(subject, 1, start).granted == 0);
        CHECK(keeper.grant(subject, 1, start).nextPermit == milliseconds(100));
        CHECK(grantAll(keeper, start, start + milliseconds(2000)) == 20);
    }
    SECTION("half of the burst after a time without requests")
    {
        for (auto now = start; now <= start + milliseconds(7000); now += milliseconds(100))
            keeper.confirm(now, now);
        CHECK(keeper.grant(subject, 100, start + milliseconds(7000)).granted == 20);
    }
    SECTION("nothing while its member list is not confirmed")
    {
        for (auto now = start; now <= start + 2 * confirmationPeriod; now += milliseconds(100))
            keeper.confirm(start, now);
        const auto answer = keeper.grant(subject, 1, start + 2 * confirmationPeriod);
        CHECK(answer.granted == 0);
        CHECK_FALSE(answer.isLimitReached);
        INFO("and for another such period once it is confirmed again");
        CHECK(grantAll(keeper, start + 2 * confirmationPeriod, start + 3 * confirmationPeriod - milliseconds(1)) == 0);
        CHECK(grantAll(keeper, start + 3 * confirmationPeriod, start + 3 * confirmationPeriod + milliseconds(1000)) == 10);
    }
    SECTION("nothing after a pause of the process")
    {
        keeper.confirm(start + 2 * confirmationPeriod, start + 2 * confirmationPeriod);
        CHECK(keeper.grant(subject, 1, start + 2 * confirmationPeriod).granted == 0);
    }
    SECTION("nothing once it leaves")
    {
        CHECK(grantAll(keeper, start, start + milliseconds(1000)) == 10);
        keeper.leave();
        CHECK(grantAll(keeper, start + milliseconds(1000), start + milliseconds(3000)) == 0);
    }
    SECTION("less as soon as it knows of a lower limit")
    {
        for (auto now = start; now <= start + milliseconds(7000); now += milliseconds(100))
            keeper.confirm(now, now);
        keeper.update({ { subject, { 2, 4 } } }, members, true, start + milliseconds(7000));
        CHECK(keeper.grant(subject, 100, start + milliseconds(7000)).granted == 2);
    }
    SECTION("the whole limit if it is the only member")
    {
        rate_keeper single(node_id("single"), confirmationPeriod);
        single.confirm(start, start);
        single.update(limits, { { node_id("single"), data_centre_id("z") } }, false, start);
        CHECK(grantAll(single, start, start + milliseconds(1000)) == 20);
    }
}

TEST_CASE("Keepers change with the member list")
{
    const auto members = makeMembers(6);
    const auto keepers = keepersIn(members);
    const std::map<workspace_id, rate_limit> limits { { subject, { 20, 40 } } };

    SECTION("the next member in rank takes over at once when one has gone")
    {
        const auto remaining = without(members, keepers.front());
        auto successors = keepersIn(remaining);
        std::erase(successors, keepers.back());
        REQUIRE(successors.size() == 1);
        rate_keeper successor(successors.front(), confirmationPeriod);
        successor.confirm(start, start);
        successor.update(limits, members, true, start);
        CHECK(grantAll(successor, start, start + milliseconds(1000)) == 0);
        successor.update(limits, remaining, true, start + milliseconds(1000));
        CHECK(grantAll(successor, start + milliseconds(1000), start + milliseconds(2000)) == 10);
    }
    SECTION("a new member that displaces one waits until that one has certainly stopped")
    {
        rate_keeper joined(keepers.front(), confirmationPeriod);
        joined.confirm(start, start);
        joined.update(limits, members, false, start);
        CHECK(grantAll(joined, start, start + confirmationPeriod - milliseconds(1)) == 0);
        CHECK(grantAll(joined, start + confirmationPeriod, start + confirmationPeriod + milliseconds(1000)) == 10);
    }
}

TEST_CASE("A second keeper waits until the first has read that it keeps only half of the limit")
{
    const auto members = makeMembers(2);
    const std::map<workspace_id, rate_limit> limits { { subject, { 20, 40 } } };
    rate_keeper second(members.back().name, confirmationPeriod);
    second.confirm(start, start);
    second.update(limits, { members.front() }, false, start);
    second.update(limits, members, false, start);
    CHECK(grantAll(second, start, start + confirmationPeriod - milliseconds(1)) == 0);
    CHECK(grantAll(second, start + confirmationPeriod, start + confirmationPeriod + milliseconds(1000)) == 10);
}

TEST_CASE("Permits that were received can be used for a short time")
{
    permit_pool pool;
    CHECK_FALSE(pool.tryTake(start));
    pool.add(2, start);

    SECTION("once each")
    {
        CHECK(pool.tryTake(start));
        CHECK(pool.tryTake(start));
        CHECK_FALSE(pool.tryTake(start));
    }
    SECTION("counted from the question, however late the answer")
    {
        CHECK(pool.tryTake(start + permit_pool::validity));
        CHECK_FALSE(pool.tryTake(start + permit_pool::validity + milliseconds(1)));
    }
    SECTION("and are asked for in batches when many are used")
    {
        CHECK(pool.batchSize(1, start) == 1);
        pool.add(20, start);
        for (int request = 0; request < 8; ++request)
            REQUIRE(pool.tryTake(start));
        CHECK(pool.batchSize(1, start) == 5);
        CHECK(pool.batchSize(1, start + 2 * permit_pool::validity) == 1);
    }
}

namespace {

constexpr milliseconds stepLength { 50 };
constexpr std::size_t stepsPerSecond = 20;
constexpr std::size_t stepsPerWindow = 5 * stepsPerSecond;
constexpr std::size_t leaseSteps = 15 * stepsPerSecond;
constexpr std::size_t renewalSteps = 5 * stepsPerSecond;
constexpr std::size_t maxListLag = 5 * stepsPerSecond / 2;
constexpr double overshoot = 0.1;
constexpr double slack = 20;

// Processes that ask each other for permits, while they come and go, the store and the network fail, and the limit changes.
// The demand is always beyond the limit.
class permit_history {
public:
    permit_history(std::uint32_t seed, std::size_t machines)
        : m_random(seed)
        , m_machines(machines)
        , m_limits(1, newLimit())
    {
        for (std::size_t index = 0; index < machines; ++index) {
            m_machines[index].name = node_id("node-" + std::to_string(index));
            m_listed[m_machines[index].name] = leaseSteps;
        }
        m_lists.push_back(list());
        for (auto& each : m_machines)
            startProcess(each, 0);
    }

    // Returns the largest excess over the bound in any window.
    double play(std::size_t steps)
    {
        std::vector<std::uint32_t> admitted;
        double worst = 0;
        double inWindow = 0;
        for (std::size_t step = 0; step < steps; ++step) {
            if (chance(0.03))
                disturb(step);
            m_limits.push_back(chance(0.002) ? newLimit() : m_limits.back());
            admitted.push_back(playStep(step));
            inWindow += admitted.back();
            if (step >= stepsPerWindow)
                inWindow -= admitted[step - stepsPerWindow];
            worst = std::max(worst, inWindow - boundAt(step));
        }
        m_total = 0;
        for (const auto count : admitted)
            m_total += count;
        return worst;
    }

    [[nodiscard]] std::uint64_t admittedInTotal() const { return m_total; }

private:
    struct machine {
        node_id name;
        bool runs = false;
        std::size_t startsAt = 0; // 0: never
        std::size_t frozenUntil = 0;
        std::size_t storeCutUntil = 0;
        std::size_t peerCutUntil = 0;
        std::size_t lag = 0; // of the list and the limits behind the store
        std::size_t renewedAt = 0;
        std::size_t knownLists = 0; // lists that this process has seen, as an index
        std::size_t confirmedAt = 0;
        bool isRestart = false;
        std::optional<rate_keeper> keeper;
        permit_pool pool;
        std::uint64_t lastAsked = 0;
        std::uint64_t lastAnswered = 0;
        std::size_t nextKeeper = 0;
    };

    struct message {
        std::size_t arrivesAt;
        std::size_t from;
        std::size_t to;
        std::uint64_t number;
        std::size_t askedAt;
        std::uint32_t count;
        bool isAnswer;
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    std::size_t pick(std::size_t low, std::size_t high) { return std::uniform_int_distribution<std::size_t>(low, high)(m_random); }
    static monotonic_time timeOf(std::size_t step) { return start + static_cast<std::int64_t>(step) * stepLength; }
    rate_limit newLimit() { return { static_cast<double>(pick(1, 60)), static_cast<double>(pick(0, 80)) }; }

    // A lower limit binds one window after all processes in touch have read it.
    double boundAt(std::size_t step) const
    {
        rate_limit highest;
        for (std::size_t earlier = step; earlier + 2 * stepsPerWindow + maxListLag >= step; --earlier) {
            highest.perSecond = std::max(highest.perSecond, m_limits[earlier + 1].perSecond);
            highest.burst = std::max(highest.burst, m_limits[earlier + 1].burst);
            if (earlier == 0)
                break;
        }
        return (highest.perSecond * 5 + highest.burst) * (1 + overshoot) + slack;
    }

    std::vector<listed_member> list() const
    {
        std::vector<listed_member> result;
        for (const auto& [name, until] : m_listed)
            result.push_back({ name, data_centre_id("z") });
        return result;
    }

    void startProcess(machine& process, std::size_t step)
    {
        const auto name = process.name;
        const auto storeCutUntil = process.storeCutUntil;
        const auto peerCutUntil = process.peerCutUntil;
        process = {};
        process.name = name;
        process.storeCutUntil = storeCutUntil;
        process.peerCutUntil = peerCutUntil;
        process.runs = true;
        process.lag = pick(0, maxListLag);
        process.isRestart = m_listed.contains(name);
        process.keeper.emplace(name, confirmationPeriod);
        process.keeper->setStartLevel(slack / 6);
        process.renewedAt = step;
    }

    void disturb(std::size_t step)
    {
        const auto kind = pick(0, 6);
        if (kind == 6 && chance(0.3)) {
            m_storeDownUntil = step + pick(1, 250);
            return;
        }
        const bool isHerd = chance(0.15);
        for (auto& each : m_machines) {
            if (isHerd ? !chance(0.7) : pick(0, m_machines.size() - 1) != 0)
                continue;
            if (kind <= 1 && each.runs) {
                each.runs = false;
                each.startsAt = chance(0.8) ? step + pick(1, 60) : 0;
                if (kind == 0)
                    m_listed.erase(each.name); // stopped in order
            } else if (kind == 2 && each.runs) {
                each.frozenUntil = step + pick(2, 600);
            } else if (kind == 3) {
                each.storeCutUntil = step + pick(2, 400);
            } else if (kind == 4) {
                each.peerCutUntil = step + pick(2, 200);
            } else if (kind == 5 && !each.runs && each.startsAt == 0) {
                startProcess(each, step);
            }
        }
    }

    void followStore(machine& process, std::size_t step)
    {
        const bool inContact = step >= m_storeDownUntil && step >= process.storeCutUntil;
        if (inContact) {
            const bool isDue = step >= process.renewedAt + renewalSteps;
            if (!m_listed.contains(process.name) || isDue) {
                m_listed[process.name] = step + leaseSteps;
                process.renewedAt = step;
            }
            process.knownLists = std::max(process.knownLists, m_lists.size() - 1 - std::min(process.lag, m_lists.size() - 1));
            process.confirmedAt = step;
        }
        process.keeper->confirm(timeOf(process.confirmedAt), timeOf(step));
        if (process.confirmedAt > 0)
            process.keeper->update({ { subject, m_limits[process.knownLists] } }, m_lists[process.knownLists], process.isRestart, timeOf(step));
    }

    void send(message sent, std::size_t step)
    {
        if (chance(0.05) || step < m_machines[sent.from].peerCutUntil || step < m_machines[sent.to].peerCutUntil)
            return;
        sent.arrivesAt = step + (chance(0.02) ? pick(5, 60) : pick(0, 2));
        m_messages.push_back(sent);
        if (chance(0.05))
            m_messages.push_back(sent);
    }

    void ask(std::size_t index, std::size_t step)
    {
        auto& asker = m_machines[index];
        const auto keepers = asker.keeper->keepersOf(subject);
        if (keepers.empty())
            return;
        const auto& keeper = keepers[asker.nextKeeper++ % keepers.size()];
        const auto wanted = asker.pool.batchSize(1, timeOf(step));
        for (std::size_t to = 0; to < m_machines.size(); ++to) {
            if (m_machines[to].name != keeper)
                continue;
            if (to == index)
                asker.pool.add(asker.keeper->grant(subject, wanted, timeOf(step)).granted, timeOf(step));
            else
                send({ 0, index, to, ++asker.lastAsked, step, wanted, false }, step);
        }
    }

    void receive(const message& received, std::size_t step)
    {
        auto& receiver = m_machines[received.to];
        if (!receiver.runs || step < receiver.frozenUntil)
            return;
        if (!received.isAnswer) {
            auto reply = received;
            std::swap(reply.from, reply.to);
            reply.isAnswer = true;
            reply.count = receiver.keeper->grant(subject, received.count, timeOf(step)).granted;
            send(reply, step);
        } else if (received.number > receiver.lastAnswered) {
            receiver.lastAnswered = received.number;
            receiver.pool.add(received.count, timeOf(received.askedAt));
        }
    }

    std::uint32_t playStep(std::size_t step)
    {
        std::erase_if(m_listed, [&](const auto& entry) { return step >= m_storeDownUntil && entry.second <= step; });
        m_lists.push_back(list());
        std::vector<std::size_t> serving;
        for (std::size_t index = 0; index < m_machines.size(); ++index) {
            auto& each = m_machines[index];
            if (!each.runs && each.startsAt != 0 && each.startsAt <= step)
                startProcess(each, step);
            if (!each.runs || step < each.frozenUntil)
                continue;
            serving.push_back(index);
            followStore(each, step);
        }
        std::vector<message> arrived;
        std::erase_if(m_messages, [&](const message& each) {
            if (each.arrivesAt > step)
                return false;
            arrived.push_back(each);
            return true;
        });
        for (const auto& each : arrived)
            receive(each, step);
        if (serving.empty())
            return 0;
        if (chance(0.01))
            m_demand = static_cast<double>(pick(0, 8));
        std::uint32_t admitted = 0;
        const auto requests = std::poisson_distribution<std::uint32_t>(m_demand)(m_random);
        for (std::uint32_t request = 0; request < requests; ++request) {
            const auto index = serving[pick(0, std::min<std::size_t>(serving.size(), 3) - 1)]; // callers reach few processes
            if (m_machines[index].pool.tryTake(timeOf(step))) {
                ++admitted;
                continue;
            }
            ask(index, step);
            admitted += m_machines[index].pool.tryTake(timeOf(step)) ? 1 : 0;
        }
        return admitted;
    }

    std::mt19937 m_random;
    std::vector<machine> m_machines;
    std::vector<rate_limit> m_limits; // by step, one ahead
    std::map<node_id, std::size_t> m_listed; // step at which the lease of an entry ends
    std::vector<std::vector<listed_member>> m_lists; // by step, one ahead
    std::vector<message> m_messages;
    std::size_t m_storeDownUntil = 0;
    double m_demand = 8;
    std::uint64_t m_total = 0;
};

} // namespace

TEST_CASE("Requests of a workspace stay within its limit over all processes, whatever fails")
{
    constexpr std::uint32_t histories = 2000;
    constexpr std::size_t steps = 60 * stepsPerSecond;
    std::uint32_t broken = 0;
    std::uint64_t admitted = 0;
    for (std::uint32_t seed = 0; seed < histories; ++seed) {
        permit_history history(seed, 1 + seed % 9);
        const auto excess = history.play(steps);
        admitted += history.admittedInTotal();
        if (excess <= 0)
            continue;
        ++broken;
        UNSCOPED_INFO("seed " << seed << ": " << 1 + seed % 9 << " machines, " << excess << " beyond the bound");
    }
    CHECK(broken == 0);
    CHECK(admitted > histories * 100);
}
