#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak_checker.h"
#include "standins/platform_searcher.h"
#include "standins/platform_store.h"
#include "standins/tcp_relay.h"

namespace limpetpier::soak {

using random_source = std::mt19937_64;

// One line of what the soak does, with its time, for tracing a failed seed.
void trace(const std::string& what, const std::string& subject);

// One of some values, with equal chances.
inline std::size_t pick(random_source& random, std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); }

// The platform's side of a soak: the store, the searchers, the network before both, the operator. Each fault ends by
// itself after a while, or when the world is healed.
class soak_world {
public:
    // planted: a promise that this side makes look broken; nothing by default.
    soak_world(boost::asio::io_context& io, soak_checker& checker, random_source& random, std::optional<promise> planted);

    // Address of the store as one gateway sees it.
    std::string addStorePath();

    // Brings about a fault, or a change, chosen by chance.
    void disturb();

    // Brings about what is no fault: a change by the operator, a draining or a cold searcher.
    void change();

    // One service falls silent for good.
    void losePermanently();

    // Ends all faults.
    void heal();

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::size_t faults() const { return m_faults; }

    static const std::vector<std::string>& services();

private:
    struct path {
        standins::relay_faults faults;
        std::unique_ptr<standins::tcp_relay> relay;
    };
    struct searcher {
        std::string id;
        std::string service;
        std::string zone;
        std::unique_ptr<standins::platform_searcher> process;
        std::string address; // of the process itself
        std::unique_ptr<path> way;
        std::string state = "ready";
        monotonic_time coldUntil {};
    };
    using fault = void (soak_world::*)();

    void startSearcher(searcher& which);
    void list(const searcher& which);
    void configure();
    void disturbStore();
    void disturbStorePath();
    void disturbSearcher();
    void disturbLink();
    void crashSearcher();
    void reuseAddress();
    void drain();
    void evacuate();
    void makeCold();
    searcher& anySearcher() { return *m_searchers[pick(m_random, m_searchers.size())]; }
    void spoil(path& which);
    void later(milliseconds shortest, milliseconds longest, std::function<void()> end);
    std::unique_ptr<path> makePath(const std::string& target);

    boost::asio::io_context& m_io;
    soak_checker& m_checker;
    random_source& m_random;
    std::optional<promise> m_planted;
    standins::platform_store m_store;
    std::vector<std::unique_ptr<path>> m_storePaths;
    std::vector<std::unique_ptr<searcher>> m_searchers;
    std::vector<std::unique_ptr<standins::platform_searcher>> m_gone; // kept, as exchanges may still end
    std::map<std::uint64_t, std::pair<std::shared_ptr<boost::asio::steady_timer>, std::function<void()>>> m_ends;
    std::uint64_t m_version = 0;
    std::uint64_t m_endCount = 0;
    std::size_t m_faults = 0;
};

} // namespace limpetpier::soak
