#include "limpetpier/coordination/member_share.h"

#include <algorithm>
#include <cmath>

namespace limpetpier {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;
constexpr unsigned mixShift = 32;
constexpr std::uint64_t mixFactor = 0xd6e8feb86659fd93ULL; // odd, so that the multiplication is reversible

std::uint64_t hashOf(const std::string& text)
{
    std::uint64_t hash = fnvOffset;
    for (const unsigned char byte : text)
        hash = (hash ^ byte) * fnvPrime;
    return hash;
}

std::uint64_t mix(std::uint64_t hash)
{
    hash = (hash ^ (hash >> mixShift)) * mixFactor;
    hash = (hash ^ (hash >> mixShift)) * mixFactor;
    return hash ^ (hash >> mixShift);
}

} // namespace

member_share::member_share(const listed_member& self, const std::vector<listed_member>& members)
    : m_self { hashOf(self.name.value()), hashOf(self.zone.value()) }
{
    m_members.reserve(members.size() + 1);
    for (const auto& member : members)
        m_members.push_back({ hashOf(member.name.value()), hashOf(member.zone.value()) });
    if (std::find(m_members.begin(), m_members.end(), m_self) == m_members.end())
        m_members.push_back(m_self);
}

std::size_t member_share::rank(const std::string& subject) const
{
    const auto seed = hashOf(subject);
    const auto ownHash = mix(seed ^ m_self.name);
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](const hashed_member& member) { return mix(seed ^ member.name) < ownHash; }));
}

std::vector<std::size_t> member_share::firstRanked(const std::string& subject, std::size_t count) const
{
    const auto seed = hashOf(subject);
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(m_members.size());
    for (std::size_t index = 0; index < m_members.size(); ++index)
        order.emplace_back(mix(seed ^ m_members[index].name), index);
    count = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
    std::vector<std::size_t> result;
    for (std::size_t place = 0; place < count; ++place)
        result.push_back(order[place].second);
    return result;
}

std::vector<bool> member_share::selectReadySearchers(const service_id& service, const std::vector<data_centre_id>& searcherZones, std::uint32_t limit) const
{
    const std::size_t searchers = searcherZones.size();
    const std::size_t usable = limit / 2;
    if (usable >= m_members.size() || searchers == 0)
        return std::vector<bool>(searchers, true);
    std::vector<bool> selected(searchers, false);
    const auto searchersPerMember = searchers * usable / m_members.size();
    if (searchersPerMember > 1) {
        const auto first = rank(service.value());
        for (std::size_t next = first; next < first + searchersPerMember; ++next)
            selected[next % searchers] = true;
        return selected;
    }
    std::vector<std::uint64_t> zones;
    zones.reserve(searchers);
    for (const auto& zone : searcherZones)
        zones.push_back(hashOf(zone.value()));
    const auto membersPerSearcher = (m_members.size() + searchers - 1) / searchers;
    selected[selectReadySearcher(hashOf(service.value()), zones, std::max(usable, membersPerSearcher))] = true;
    return selected;
}

// Every process computes the selections of all members in the same order, so that no searcher is selected by more
// members than the capacity: first the members that find a searcher in their own zone, then the others.
std::size_t member_share::selectReadySearcher(std::uint64_t seed, const std::vector<std::uint64_t>& searcherZones, std::size_t capacity) const
{
    const auto searchers = searcherZones.size();
    std::vector<std::size_t> selectedBy(searchers, 0);
    const auto selectFor = [&](const hashed_member& member, bool ownZoneOnly) {
        const auto first = mix(seed ^ member.name) % searchers;
        for (std::size_t step = 0; step < searchers; ++step) {
            const auto searcher = (first + step) % searchers;
            if (selectedBy[searcher] >= capacity || (ownZoneOnly && searcherZones[searcher] != member.zone))
                continue;
            ++selectedBy[searcher];
            return searcher;
        }
        return searchers;
    };
    std::vector<hashed_member> remaining;
    for (const auto& member : m_members) {
        const auto searcher = selectFor(member, true);
        if (searcher == searchers)
            remaining.push_back(member);
        else if (member == m_self)
            return searcher;
    }
    for (const auto& member : remaining) {
        const auto searcher = selectFor(member, false);
        if (member == m_self)
            return searcher;
    }
    return 0;
}

std::uint32_t member_share::coldRequestLimit(const searcher_id& searcher, double limitPerSecond) const
{
    const double usable = std::floor(limitPerSecond * usableFraction);
    const auto perMember = static_cast<std::uint32_t>(usable / static_cast<double>(m_members.size()));
    if (perMember >= 1)
        return perMember;
    return static_cast<double>(rank(searcher.value())) < usable ? 1 : 0;
}

} // namespace limpetpier
