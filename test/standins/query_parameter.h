#pragma once

#include <string>

namespace limpetpier {

// Returns the value of a parameter in "/path?name=value&...", or an empty string if it is absent. Does not decode it.
inline std::string queryParameter(const std::string& target, const std::string& name)
{
    const auto position = target.find(name + "=");
    if (position == std::string::npos)
        return {};
    const auto valueBegin = position + name.size() + 1;
    return target.substr(valueBegin, target.find('&', valueBegin) - valueBegin);
}

} // namespace limpetpier
