#pragma once

#include <map>
#include <string>
#include <vector>

#include "limpetpier/state/routing_table.h"

namespace limpetpier {

// Distributes the requests of a route among its services by smooth weighted round robin. A service that refuses
// requests keeps its share; its requests are not sent to another service.
class traffic_split {
public:
    // Selects the service for the next request of the route, which must have at least one service.
    const service_id& nextService(const route& route);

private:
    std::map<service_id, double> m_credit;
};

} // namespace limpetpier
