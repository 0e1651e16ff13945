#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "limpetpier/protocol/http_message.h"

namespace limpetpier {

// Bytes of a request or reply with its body's length. Fields that frame a message are written here and must not be among
// the given ones.
std::string formatRequest(const http_request& request);

// The same in two steps, for a request that is sent many times: its line and fields, then the rest with a call's own
// fields and the body.
std::string formatRequestHead(const http_request& request);
std::string formatRequestWithHead(const std::string& head, std::initializer_list<std::pair<std::string_view, std::string_view>> fields, const http_request& request);
std::string formatReply(const http_reply& reply, bool withoutBody);

// True for fields that concern one connection or frame a message, and so are never passed on.
bool isHopByHopField(std::string_view name, std::string_view connectionField);

} // namespace limpetpier
