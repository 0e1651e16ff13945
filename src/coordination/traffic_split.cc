#include "limpetpier/coordination/traffic_split.h"

namespace limpetpier {

const service_id& traffic_split::nextService(const route& route)
{
    if (route.trafficSplit.size() == 1)
        return route.trafficSplit.front().service;
    // Smooth weighted round robin: the part with the largest credit is next and pays the sum of the weights.
    double sum = 0;
    const weighted_service* best = nullptr;
    for (const auto& part : route.trafficSplit) {
        sum += part.weight;
        auto& credit = m_credit[part.service];
        credit += part.weight;
        if (best == nullptr || credit > m_credit[best->service])
            best = &part;
    }
    m_credit[best->service] -= sum;
    return best->service;
}

} // namespace limpetpier
