#include "limpetpier/protocol/http_message.h"

#include <algorithm>
#include <cctype>

namespace limpetpier {

namespace {

bool equalsWithoutCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string valueOf(const std::vector<http_field>& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const http_field& field) { return equalsWithoutCase(field.name, name); });
    return found == fields.end() ? std::string() : found->value;
}

} // namespace

std::string http_request::field(std::string_view name) const
{
    return valueOf(fields, name);
}

std::string http_reply::field(std::string_view name) const
{
    return valueOf(fields, name);
}

} // namespace limpetpier
