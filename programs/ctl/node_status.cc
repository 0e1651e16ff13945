#include "node_status.h"

#include <boost/json.hpp>

namespace limpetpier {

namespace json = boost::json;

std::optional<node_status> readNodeStatus(const std::string& text)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object())
        return {};
    node_status result;
    const auto readNumber = [&](const char* name, std::uint64_t& number) {
        const auto* field = value.get_object().if_contains(name);
        if (field == nullptr || !field->is_number())
            return false;
        boost::system::error_code notExact;
        number = field->to_number<std::uint64_t>(notExact);
        return !notExact;
    };
    if (!readNumber("epoch", result.epoch) || !readNumber("revision", result.revision))
        return {};
    result.document = std::move(value.get_object());
    return result;
}

} // namespace limpetpier
