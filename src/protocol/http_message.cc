#include "limpetpier/protocol/http_message.h"

#include <algorithm>
#include <cctype>

namespace limpetpier {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string findField(const std::vector<http_field>& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const http_field& field) { return equalsIgnoringCase(field.name, name); });
    return found == fields.end() ? std::string() : found->value;
}

} // namespace

std::string http_request::field(std::string_view name) const
{
    return findField(fields, name);
}

std::string http_reply::field(std::string_view name) const
{
    return findField(fields, name);
}

} // namespace limpetpier
