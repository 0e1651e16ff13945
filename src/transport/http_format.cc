#include "limpetpier/transport/http_format.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <ostream>

namespace limpetpier {

namespace beast = boost::beast;

namespace {

// Fields that concern one connection or frame a message, in lower case.
constexpr std::array<std::string_view, 11> hopByHopFields { "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect" };

// Initial capacity for the header of a message.
constexpr std::size_t typicalHeadBytes = 256;

// Statuses whose replies have neither a body nor a Content-Length.
bool hasNoBody(unsigned status) { return status == 204 || status == 304; }

void appendField(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

bool isHopByHopField(std::string_view name, std::string_view connectionField)
{
    const auto isSameName = [&](std::string_view other) { return beast::iequals({ name.data(), name.size() }, { other.data(), other.size() }); };
    if (std::any_of(hopByHopFields.begin(), hopByHopFields.end(), isSameName))
        return true;
    const beast::http::token_list listed(beast::string_view(connectionField.data(), connectionField.size()));
    return std::any_of(listed.begin(), listed.end(), [&](const auto& token) { return isSameName({ token.data(), token.size() }); });
}

std::string formatRequestHead(const http_request& request)
{
    std::string out;
    out.reserve(typicalHeadBytes);
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const auto& field : request.fields)
        appendField(out, field.name, field.value);
    return out;
}

std::string formatRequestWithHead(const std::string& head, std::initializer_list<std::pair<std::string_view, std::string_view>> fields, const http_request& request)
{
    std::string out;
    out.reserve(head.size() + typicalHeadBytes + request.body.size());
    out.append(head);
    for (const auto& [name, value] : fields)
        appendField(out, name, value);
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        appendField(out, "Content-Length", std::to_string(request.body.size()));
    out.append("\r\n").append(request.body);
    return out;
}

std::string formatRequest(const http_request& request) { return formatRequestWithHead(formatRequestHead(request), {}, request); }

std::string formatReply(const http_reply& reply, bool withoutBody)
{
    std::string out;
    out.reserve(typicalHeadBytes + reply.body.size());
    const auto reason = beast::http::obsolete_reason(static_cast<beast::http::status>(reply.status));
    out.append("HTTP/1.1 ").append(std::to_string(reply.status)).append(" ").append(reason.data(), reason.size()).append("\r\n");
    if (!reply.contentType.empty())
        appendField(out, "Content-Type", reply.contentType);
    for (const auto& field : reply.fields)
        appendField(out, field.name, field.value);
    if (reply.close)
        appendField(out, "Connection", "close");
    if (!hasNoBody(reply.status))
        appendField(out, "Content-Length", std::to_string(reply.body.size()));
    out.append("\r\n");
    if (!withoutBody && !hasNoBody(reply.status))
        out.append(reply.body);
    return out;
}

} // namespace limpetpier
