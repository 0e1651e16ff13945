#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace limpetpier {

struct http_field {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method;
    std::string target;
    std::vector<http_field> fields;
    std::string body;

    // Value of a header field, empty if absent. Names compare without case.
    [[nodiscard]] std::string field(std::string_view name) const;
};

struct http_reply {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<http_field> fields;
    bool close = false; // close the connection after this reply

    [[nodiscard]] std::string field(std::string_view name) const;
};

} // namespace limpetpier
