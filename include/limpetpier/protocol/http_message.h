#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace limpetpier {

// A header field.
struct http_field {
    std::string name;
    std::string value;
};

// An HTTP request with its complete body.
struct http_request {
    std::string method;
    std::string target;
    std::vector<http_field> fields;
    std::string body;

    // Returns the value of the first header field with this name, or an empty string. Names are case-insensitive.
    [[nodiscard]] std::string field(std::string_view name) const;
};

// An HTTP response with its complete body.
struct http_reply {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<http_field> fields;
    bool close = false; // close the connection after this reply

    // Returns the value of the first header field with this name, or an empty string. Names are case-insensitive.
    [[nodiscard]] std::string field(std::string_view name) const;
};

} // namespace limpetpier
