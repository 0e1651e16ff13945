#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "limpetpier/state/routing_table.h"

namespace limpetpier {

// A live process in the member list.
struct listed_member {
    node_id name;
    data_centre_id zone;
};

// Divides limits that apply to the whole deployment among its processes, and computes the share of this process.
//
// All processes read the same member list from the store and rank members by the same hash, so their shares add up to
// at most the limit without further communication. Connections are the exception: each process gets at least one.
class member_share {
public:
    // members: all live processes in the order of their names; self is added if it is not yet listed.
    member_share(const listed_member& self, const std::vector<listed_member>& members);

    // Number of members, including this process.
    [[nodiscard]] std::size_t memberCount() const { return m_members.size(); }

    // Zero-based rank of this process among the members, in an order that depends on the subject.
    [[nodiscard]] std::size_t rank(const std::string& subject) const;

    // Indexes of the members with the lowest ranks for a subject, in the list that was passed to the constructor; self
    // follows the list if it was added to it.
    [[nodiscard]] std::vector<std::size_t> firstRanked(const std::string& subject, std::size_t count) const;

    // Connections that this process may hold to one searcher: its share of the limit, but at least one for a short
    // time.
    [[nodiscard]] std::uint32_t connectionLimit(std::uint32_t limit) const { return std::max<std::uint32_t>(1, limit / static_cast<std::uint32_t>(m_members.size())); }

    // Returns for each of a service's searchers, given by their zones, whether this process keeps an idle connection
    // open. Idle connections of all members use at most half of a searcher's limit, so that restarted processes can
    // connect before the searcher has noticed that their old connections are gone. If that is less than one for each
    // member, every member selects only some of the searchers, evenly distributed, but at least one, which is in its
    // own zone if capacity allows.
    [[nodiscard]] std::vector<bool> selectReadySearchers(const service_id& service, const std::vector<data_centre_id>& searcherZones, std::uint32_t limit) const;

    // Requests per second that this process may send to one cold searcher; 0 for some members if the
    // limit is less than one for each.
    [[nodiscard]] std::uint32_t coldRequestLimit(const searcher_id& searcher, double limitPerSecond) const;

    // Share of this process in the fixed number of extra requests that are allowed in each window.
    [[nodiscard]] double slackShare(double slack) const { return slack * usableFraction / static_cast<double>(m_members.size()); }

    // Fraction of a limit that is used; the rest is reserved for members that not all processes have listed yet.
    static constexpr double usableFraction = 0.8;

private:
    // Hashes of a member's name and zone, computed once because ranks are needed for each service and searcher.
    struct hashed_member {
        std::uint64_t name;
        std::uint64_t zone;

        bool operator==(const hashed_member&) const = default;
    };

    [[nodiscard]] std::size_t selectReadySearcher(std::uint64_t seed, const std::vector<std::uint64_t>& searcherZones, std::size_t capacity) const;

    hashed_member m_self;
    std::vector<hashed_member> m_members;
};

} // namespace limpetpier
