#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "limpetpier/state/routing_table.h"

namespace limpetpier {

// This process's part of bounds that count over all processes of the deployment.
//
// All processes read the same member list from the store and rank themselves by the same hash, so their parts add up to
// the bound without messages between them.
class member_share {
public:
    // members are the names of all live processes, this one among them or not yet.
    member_share(const node_id& self, const std::vector<node_id>& members);

    // Members to divide by.
    [[nodiscard]] std::size_t members() const { return m_count; }

    // Position of this process among the members, in an order that differs from one subject to the next.
    [[nodiscard]] std::size_t rank(const std::string& subject) const;

    // Connections that this process may hold to one searcher: its part of the bound, and one at least for a short time.
    [[nodiscard]] std::uint32_t connections(std::uint32_t bound) const { return std::max<std::uint32_t>(1, bound / static_cast<std::uint32_t>(m_count)); }

    // Whether this process keeps a connection ready to one searcher of a service. Ready connections of all members take
    // half of a bound at most, so that those of processes that restart fit in before a searcher has noticed that the old
    // ones are gone. Where that is less than one each, every member keeps some of a service's searchers, evenly.
    [[nodiscard]] bool keepsReady(const service_id& service, std::size_t searcherIndex, std::size_t searchers, std::uint32_t bound) const;

    // Requests that this process may send to one cold searcher in any second.
    [[nodiscard]] std::uint32_t coldRequests(const searcher_id& searcher, double boundPerSecond) const;

    // Extra requests of a fixed slack that this process may send in a window.
    [[nodiscard]] double slack(double bound) const { return bound * countMargin / static_cast<double>(m_count); }

    // Part of a bound that is used: the rest covers members that are not yet on everyone's list.
    static constexpr double countMargin = 0.8;

private:
    std::uint64_t m_self; // hash of the own name
    std::vector<std::uint64_t> m_members; // hashes of all names: ranks are taken for each service and searcher
    std::size_t m_count;
};

} // namespace limpetpier
