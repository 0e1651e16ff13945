#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "limpetpier/coordination/permit_pool.h"
#include "limpetpier/coordination/rate_keeper.h"
#include "limpetpier/state/routing_table.h"
#include "permit_port.h"

namespace limpetpier {

// What a request of a limited workspace is told.
struct permit_decision {
    bool granted = false;
    bool isLimitReached = false; // otherwise no keeper of the limit could be asked
    milliseconds returnDelay { 0 }; // for the caller of a refused request
    milliseconds waited { 0 };
    std::size_t keepersAsked = 0; // that answered, for a refused request
};

// Holds the requests of each workspace within its limit over all gateways: gets permits from the keepers of the limit, and
// gives permits to other gateways for the workspaces that this one keeps.
//
// Without a node secret there are no messages between gateways; each then admits an equal part of a limit.
class workspace_limiter {
public:
    // peerAddress: IP:port for messages of other gateways. confirmationPeriod: as for rate_keeper.
    workspace_limiter(const asio::any_io_executor& executor, const node_id& self, std::string peerAddress, std::string secret, milliseconds confirmationPeriod);

    // Starts to listen for other gateways if there is a secret.
    void start();

    // Sets the permits beyond the limit that the deployment tolerates in a window. Nothing is limited while the window is 0.
    void changeBounds(milliseconds window, double slack);

    // Applies the limits of a table and the member list. isRestart: this process was on the list before it started.
    void update(const routing_table& table, const std::map<node_id, std::string>& memberAddresses, bool isRestart);

    // To be called about every 100 ms. listConfirmedAt: when the member list was last known to be current.
    void maintain(monotonic_time listConfirmedAt, monotonic_time now);

    // Gives no more permits, because this process leaves the member list.
    void leave() { m_keeper.leave(); }

    [[nodiscard]] bool isLimited(const workspace_id& workspace) const { return m_limits.contains(workspace); }

    // Calls decided, at once or within twice the answer timeout, with whether a request of a limited workspace may start.
    // spread: as for limitReturnDelay().
    void acquire(const workspace_id& workspace, std::uint64_t spread, std::function<void(const permit_decision&)> decided);

    // Requests that wait for permits.
    [[nodiscard]] std::size_t waiting() const { return m_waiting; }

    // Workspaces whose limits this process keeps.
    [[nodiscard]] std::size_t keptCount() const { return m_keeper.keptCount(); }

private:
    struct waiting_request {
        std::uint64_t spread;
        monotonic_time since;
        std::function<void(const permit_decision&)> decided;
    };

    // The requests of one workspace that wait, and the question that is open for them.
    struct asker {
        permit_pool pool;
        std::deque<waiting_request> waiting;
        std::vector<node_id> keepersLeft; // not asked yet for the first requests that wait
        std::size_t keepers = 0; // that are asked in this round, including those left
        std::size_t askedFor = 0; // requests that waited when the round began; later ones are asked for in another round
        std::size_t limitAnswers = 0; // keepers that said that the limit is reached
        std::uint64_t openQuestion = 0; // 0 for none
        monotonic_time askedAt;
        bool isLimitReached = false; // a keeper said so in this round
        milliseconds nextPermit { 0 };
        std::size_t answers = 0; // of the keepers asked for the requests that wait
        monotonic_time refusedUntil; // both keepers have nothing until then
        std::deque<monotonic_time> refusals; // of the last second
        std::unique_ptr<asio::steady_timer> timer;
    };

    void ask(const workspace_id& workspace, asker& entry);
    void askNext(const workspace_id& workspace, asker& entry);
    void handleMessage(const permit_message& message, const asio::ip::udp::endpoint& sender);
    void handleAnswer(const workspace_id& workspace, asker& entry, const rate_keeper::answer& answer);
    void admitWaiting(asker& entry, monotonic_time now);
    void refuse(const workspace_id& workspace, asker& entry, const waiting_request& request, monotonic_time now);

    asio::any_io_executor m_executor;
    node_id m_self;
    std::string m_peerAddress;
    std::string m_secret;
    rate_keeper m_keeper;
    milliseconds m_window { 0 };
    std::map<workspace_id, rate_limit> m_limits; // over all processes
    std::map<node_id, asio::ip::udp::endpoint> m_addresses;
    std::map<node_id, monotonic_time> m_silentUntil; // keepers that did not answer; they are asked last until then
    std::map<workspace_id, asker> m_askers;
    std::unique_ptr<permit_port> m_port;
    std::uint64_t m_lastQuestion = 0;
    std::size_t m_waiting = 0;
};

} // namespace limpetpier
