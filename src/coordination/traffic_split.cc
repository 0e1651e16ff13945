#include "limpetpier/coordination/traffic_split.h"

namespace limpetpier {

const service_id& traffic_split::nextService(const route& route)
{
    if (route.trafficSplit.size() == 1)
        return route.trafficSplit.front().service;
    // Smooth weighted round robin: each service gains its weight as credit; the one with the most credit is selected
    // and loses the sum of all weights.
    double weightSum = 0;
    const weighted_service* best = nullptr;
    for (const auto& candidate : route.trafficSplit) {
        weightSum += candidate.weight;
        auto& credit = m_credit[candidate.service];
        credit += candidate.weight;
        if (best == nullptr || credit > m_credit[best->service])
            best = &candidate;
    }
    m_credit[best->service] -= weightSum;
    return best->service;
}

} // namespace limpetpier
