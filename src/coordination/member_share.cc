#include "limpetpier/coordination/member_share.h"

#include <algorithm>
#include <cmath>

namespace limpetpier {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;
constexpr unsigned mixShift = 32;

std::uint64_t hashOf(const std::string& subject, const std::string& member)
{
    std::uint64_t hash = fnvOffset;
    for (const auto* text : { &subject, &member }) {
        for (const unsigned char letter : *text)
            hash = (hash ^ letter) * fnvPrime;
        hash = (hash ^ 0xFFU) * fnvPrime;
    }
    hash ^= hash >> mixShift;
    hash *= fnvPrime;
    return hash ^ (hash >> mixShift);
}

} // namespace

member_share::member_share(node_id self, std::vector<node_id> members)
    : m_self(std::move(self))
    , m_members(std::move(members))
{
    if (std::find(m_members.begin(), m_members.end(), m_self) == m_members.end())
        m_members.push_back(m_self);
    m_count = m_members.size();
}

std::size_t member_share::rank(const std::string& subject) const
{
    const auto own = hashOf(subject, m_self.value());
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](const node_id& member) { return hashOf(subject, member.value()) < own; }));
}

bool member_share::keepsReady(const service_id& service, std::size_t searcherIndex, std::size_t searchers, std::uint32_t bound) const
{
    const std::size_t usable = bound / 2;
    if (usable >= m_count || searchers == 0)
        return true;
    // This many of the service's searchers, beginning at one chosen by rank.
    const auto kept = std::max<std::size_t>(1, searchers * usable / m_count);
    return (searcherIndex + searchers - rank(service.value()) % searchers) % searchers < kept;
}

std::uint32_t member_share::coldRequests(const searcher_id& searcher, double boundPerSecond) const
{
    const double usable = std::floor(boundPerSecond * countMargin);
    const auto each = static_cast<std::uint32_t>(usable / static_cast<double>(m_count));
    if (each >= 1)
        return each;
    return static_cast<double>(rank(searcher.value())) < usable ? 1 : 0;
}

} // namespace limpetpier
