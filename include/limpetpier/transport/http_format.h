#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "limpetpier/protocol/http_message.h"

namespace limpetpier {

// Serializes a request as HTTP/1.1. Content-Length is added unless a GET or HEAD request has no body. The fields of the
// request must not include fields that frame the message, such as Content-Length.
std::string formatRequest(const http_request& request);

// Serializes the request line and the fields of a request, without the empty line that ends the header. Together with
// formatRequestWithHead() it avoids serializing a request again each time it is sent.
std::string formatRequestHead(const http_request& request);

// Completes the result of formatRequestHead() with further fields, Content-Length and the body of the request.
std::string formatRequestWithHead(const std::string& head, std::initializer_list<std::pair<std::string_view, std::string_view>> fields, const http_request& request);

// Serializes a reply as HTTP/1.1 with its Content-Length. With withoutBody the body is omitted and its length kept, as
// replies to HEAD require.
std::string formatReply(const http_reply& reply, bool withoutBody);

// True for fields that a proxy must not forward: hop-by-hop fields, fields listed in the Connection field, and fields
// that frame a message. Names are compared case-insensitively.
bool isHopByHopField(std::string_view name, std::string_view connectionField);

} // namespace limpetpier
