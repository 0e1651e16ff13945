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

using random_engine = std::mt19937_64;

// Writes an event to standard error with its wall-clock time in milliseconds, for debugging a failed seed.
void trace(const std::string& event, const std::string& subject);

// Returns a random index below count, with uniform distribution. count must be positive.
inline std::size_t randomIndex(random_engine& random, std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); }

// Simulates the surroundings of the gateways: the store, the searchers, the network links to both and the operator. Each
// fault ends by itself after a random time, or when endFaults is called.
class soak_environment {
public:
    // injectedViolation: a promise that the environment makes look broken.
    soak_environment(boost::asio::io_context& io, soak_checker& checker, random_engine& random, std::optional<promise> injectedViolation);

    // Adds a network link from a gateway to the store and returns its address (IP:PORT).
    std::string addStoreLink();

    // Injects a random fault or applies a random change.
    void injectFault();

    // Applies a random change that is no fault: a new configuration, an evacuated zone, a draining or a cold searcher, or a
    // searcher that announces that it leaves or pushes back.
    void applyChange();

    // Makes all searchers of one service unreachable for good.
    void disableServicePermanently();

    // Ends all faults and changes that are due to end by themselves.
    void endFaults();

    // Returns the current version of the configuration.
    [[nodiscard]] std::uint64_t version() const { return m_version; }

    // Returns the number of faults and changes so far.
    [[nodiscard]] std::size_t faultCount() const { return m_faultCount; }

    // Returns the names of all services.
    static const std::vector<std::string>& services();

private:
    struct network_link {
        standins::relay_faults faults;
        std::unique_ptr<standins::tcp_relay> relay;
    };
    struct searcher_state {
        std::string id;
        std::string service;
        std::string zone;
        std::unique_ptr<standins::platform_searcher> process;
        std::string address; // Address of the process itself, behind the link.
        std::unique_ptr<network_link> link;
        std::string state = "ready";
        monotonic_time coldUntil {};
    };
    using fault_function = void (soak_environment::*)();

    void startSearcher(searcher_state& searcher);
    void registerSearcher(const searcher_state& searcher);
    void writeConfiguration();
    void injectStoreFault();
    void injectStoreLinkFault();
    void injectSearcherFault();
    void injectSearcherLinkFault();
    void crashSearcher();
    void reuseAddress();
    void drainSearcher();
    void evacuateZone();
    void startColdSearcher();
    void announceLeaving();
    void pushBack();
    searcher_state& randomSearcher() { return *m_searchers[randomIndex(m_random, m_searchers.size())]; }
    void injectLinkFault(network_link& link);
    void scheduleEnd(milliseconds shortest, milliseconds longest, std::function<void()> end);
    std::unique_ptr<network_link> createLink(const std::string& target);

    boost::asio::io_context& m_io;
    soak_checker& m_checker;
    random_engine& m_random;
    random_engine m_noticeRandom = m_random; // Of its own, so that notices leave the choice of faults by a seed unchanged.
    std::optional<promise> m_injectedViolation;
    standins::platform_store m_store;
    std::vector<std::unique_ptr<network_link>> m_storeLinks;
    std::vector<std::unique_ptr<searcher_state>> m_searchers;
    std::vector<std::unique_ptr<standins::platform_searcher>> m_stoppedProcesses; // Kept because their exchanges may still finish.
    std::map<std::uint64_t, std::pair<std::shared_ptr<boost::asio::steady_timer>, std::function<void()>>> m_scheduledEnds;
    std::uint64_t m_version = 0;
    std::uint64_t m_scheduledEndCount = 0;
    std::size_t m_faultCount = 0;
};

} // namespace limpetpier::soak
