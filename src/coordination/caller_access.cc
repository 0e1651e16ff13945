#include "limpetpier/coordination/caller_access.h"

namespace limpetpier {

caller_access checkAccess(const routing_table& table, const route& route, const std::optional<key_digest>& key)
{
    if (!table.hasWorkspaces())
        return { true, nullptr };
    if (!key)
        return { route.isPublic, nullptr };
    const auto* caller = table.findWorkspace(*key);
    return { caller != nullptr, caller };
}

std::uint32_t requestPriority(const route& route, const workspace* caller)
{
    return caller != nullptr ? caller->priority.value_or(route.priority) : route.priority;
}

} // namespace limpetpier
