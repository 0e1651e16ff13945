#pragma once

#include <random>

#include "limpetpier/coordination/request_admission.h"
#include "request_handling.h"

namespace limpetpier {

// Lets requests in, holds them back or refuses them, as request_admission decides for the service that they need. Takes
// effect if it is switched on, while the routing table ranks its routes by more than one priority; otherwise everything
// is let in.
class request_gate {
public:
    // A request with the decision on it and the figures that it rests on, for the log and the metrics.
    struct verdict {
        admission_decision decision;
        double shortage = 0;
        double admittedShare = 1;
    };

    // What the gate does with requests. decided is called once for each one that arrives, and again if a waiting one is
    // refused.
    struct actions {
        std::function<void(accepted_request)> start;
        std::function<void(accepted_request, monotonic_time returnAt)> refuse;
        std::function<void(const accepted_request&, const verdict&)> decided;
        std::function<void(const accepted_request&)> clientLeft; // while its request waited
    };

    request_gate(const asio::any_io_executor& executor, bool isOn, actions actions);

    // Decides on a request that has just arrived.
    void admit(accepted_request request);

    // Records the end of a request that was started.
    void recordEnd(const request_report& ended);

    // Refuses all waiting requests.
    void refuseWaiting();

    // Number of requests that wait.
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

private:
    // Requests that compete for the same searchers.
    using group_id = service_id;

    struct waiting_key {
        group_id group;
        admission_ticket ticket;

        auto operator<=>(const waiting_key&) const = default;
    };

    [[nodiscard]] bool isInForce(const routing_table& table);
    [[nodiscard]] static group_id groupOf(const route& route);
    [[nodiscard]] static admission_candidate describe(const accepted_request& request);
    void hold(accepted_request request, const waiting_key& key);
    void refuseExpired();
    void scheduleTimer();
    double draw() { return m_uniform(m_random); }

    bool m_isOn;
    actions m_actions;
    asio::steady_timer m_timer;
    std::minstd_rand m_random { std::random_device {}() };
    std::uniform_real_distribution<double> m_uniform { 0, 1 };
    table_version m_checkedVersion;
    bool m_ranksRoutes = false; // the routing table of m_checkedVersion does
    std::map<group_id, request_admission> m_admissions;
    std::map<waiting_key, accepted_request> m_waiting;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with the gate
};

} // namespace limpetpier
