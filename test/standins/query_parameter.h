#pragma once

#include <string>

namespace limpetpier {

// Value of a parameter in "/path?name=value&...", empty if absent.
inline std::string queryParameter(const std::string& target, const std::string& name)
{
    const auto start = target.find(name + "=");
    if (start == std::string::npos)
        return {};
    const auto from = start + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

} // namespace limpetpier
