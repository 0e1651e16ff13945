#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "limpetpier/state/routing_table.h"

namespace limpetpier {

// A live process, as the member list has it.
struct listed_member {
    node_id name;
    data_centre_id zone;
};

// This process's part of bounds that count over all processes of the deployment.
//
// All processes read the same member list from the store and rank themselves by the same hash, so their parts add up to
// the bound without messages between them.
class member_share {
public:
    // members are all live processes in the order of their names, this one among them or not yet.
    member_share(const listed_member& self, const std::vector<listed_member>& members);

    // Members to divide by.
    [[nodiscard]] std::size_t memberCount() const { return m_members.size(); }

    // Position of this process among the members, in an order that differs from one subject to the next.
    [[nodiscard]] std::size_t rank(const std::string& subject) const;

    // Connections that this process may hold to one searcher: its part of the bound, and one at least for a short time.
    [[nodiscard]] std::uint32_t connectionLimit(std::uint32_t bound) const { return std::max<std::uint32_t>(1, bound / static_cast<std::uint32_t>(m_members.size())); }

    // To which of a service's searchers, given by their zones, this process keeps a connection ready. Ready connections of
    // all members take half of a bound at most, so that those of processes that restart fit in before a searcher has
    // noticed that the old ones are gone. Where that is less than one each, every member keeps some of a service's
    // searchers; a single one is in its own zone if there is room.
    [[nodiscard]] std::vector<bool> selectReadySearchers(const service_id& service, const std::vector<data_centre_id>& searcherZones, std::uint32_t bound) const;

    // Requests that this process may send to one cold searcher in any second.
    [[nodiscard]] std::uint32_t coldRequestLimit(const searcher_id& searcher, double boundPerSecond) const;

    // Extra requests of a fixed slack that this process may send in a window.
    [[nodiscard]] double slackShare(double bound) const { return bound * usableFraction / static_cast<double>(m_members.size()); }

    // Part of a bound that is used: the rest covers members that are not yet on everyone's list.
    static constexpr double usableFraction = 0.8;

private:
    // Hashes of a member's name and zone: ranks and choices are taken for each service and searcher.
    struct hashed_member {
        std::uint64_t name;
        std::uint64_t zone;

        bool operator==(const hashed_member&) const = default;
    };

    [[nodiscard]] std::size_t chooseReady(std::uint64_t seed, const std::vector<std::uint64_t>& searcherZones, std::size_t capacity) const;

    hashed_member m_self;
    std::vector<hashed_member> m_members;
};

} // namespace limpetpier
