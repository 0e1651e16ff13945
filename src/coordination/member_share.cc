#include "limpetpier/coordination/member_share.h"

#include <algorithm>
#include <cmath>

namespace limpetpier {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;
constexpr unsigned mixShift = 32;
constexpr std::uint64_t mixFactor = 0xd6e8feb86659fd93ULL; // odd, so that no bits are lost

std::uint64_t hashOf(const std::string& text)
{
    std::uint64_t hash = fnvOffset;
    for (const unsigned char letter : text)
        hash = (hash ^ letter) * fnvPrime;
    return hash;
}

std::uint64_t mix(std::uint64_t hash)
{
    hash = (hash ^ (hash >> mixShift)) * mixFactor;
    hash = (hash ^ (hash >> mixShift)) * mixFactor;
    return hash ^ (hash >> mixShift);
}

} // namespace

member_share::member_share(const node_id& self, const std::vector<node_id>& members)
    : m_self(hashOf(self.value()))
{
    for (const auto& member : members)
        m_members.push_back(hashOf(member.value()));
    if (std::find(m_members.begin(), m_members.end(), m_self) == m_members.end())
        m_members.push_back(m_self);
    m_count = m_members.size();
}

std::size_t member_share::rank(const std::string& subject) const
{
    const auto seed = hashOf(subject);
    const auto own = mix(seed ^ m_self);
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](std::uint64_t member) { return mix(seed ^ member) < own; }));
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
