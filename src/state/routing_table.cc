#include "limpetpier/state/routing_table.h"

#include <algorithm>
#include <cctype>
#include <tuple>

namespace limpetpier {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return name;
}

} // namespace

routing_table::routing_table(table_version version, std::vector<route> routes, std::map<service_id, service_limits> services, client_limits limits, std::optional<workspace_directory> workspaces)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_limits(limits)
    , m_workspaces(std::move(workspaces))
{
    for (auto& route : m_routes)
        route.host = normalizedHost(route.host);
    std::stable_sort(m_routes.begin(), m_routes.end(), [](const route& left, const route& right) {
        return std::tuple(std::string_view(left.host), right.prefix.size()) < std::tuple(std::string_view(right.host), left.prefix.size());
    });
}

const route* routing_table::find(std::string_view host, std::string_view path) const
{
    const auto name = normalizedHost(host);
    path = path.substr(0, path.find('?'));
    auto candidate = std::lower_bound(m_routes.begin(), m_routes.end(), name, [](const route& route, const std::string& wanted) { return route.host < wanted; });
    for (; candidate != m_routes.end() && candidate->host == name; ++candidate) {
        if (path.starts_with(candidate->prefix))
            return &*candidate;
    }
    return nullptr;
}

const service_limits* routing_table::service(const service_id& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace limpetpier
