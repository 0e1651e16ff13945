#pragma once

#include <map>
#include <string>
#include <vector>

#include "limpetpier/state/routing_table.h"

namespace limpetpier {

// Divides the requests of a route among its services by weight, evenly in time. A service that refuses keeps its share:
// its requests are not moved to another.
class traffic_split {
public:
    // Service of the route's next request.
    const service_id& nextService(const route& route);

private:
    std::map<service_id, double> m_credit;
};

} // namespace limpetpier
