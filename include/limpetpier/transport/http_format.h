#pragma once

#include <string>
#include <string_view>

#include "limpetpier/protocol/http_message.h"

namespace limpetpier {

// Bytes of a request or reply with its body's length. Fields that frame a message are written here and must not be among
// the given ones.
std::string formatRequest(const http_request& request);
std::string formatReply(const http_reply& reply, bool withoutBody);

// True for fields that concern one connection or frame a message, and so are never passed on.
bool isHopField(std::string_view name, std::string_view connectionField);

} // namespace limpetpier
