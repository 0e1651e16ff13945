#include "limpetpier/protocol/http_request_reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace limpetpier {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusBodyTooLarge = 413;
constexpr unsigned statusHeadTooLarge = 431;
constexpr unsigned statusNotImplemented = 501;
constexpr unsigned statusSwitchingProtocols = 101;
constexpr unsigned firstInterimStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastFinalStatus = 599;

// Longest line of the chunk framing, with its extensions.
constexpr std::size_t maxChunkLineBytes = 1024;
constexpr std::size_t maxChunkSizeDigits = 16;

// Digits of a length that can't overflow.
constexpr std::size_t maxLengthDigits = 18;

// Initial capacity for a body.
constexpr std::size_t minBodyCapacity = 512;

constexpr std::string_view whitespace = " \t";

bool isTokenCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool isToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter); }

// Visible characters and bytes beyond ASCII.
bool isVisible(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code > 0x20 && code != 0x7f;
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) { return isVisible(character) || character == ' ' || character == '\t'; });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

// Calls the visitor with each element of a comma-separated list.
template <typename Visitor>
void visitList(std::string_view text, Visitor visit)
{
    for (;;) {
        const auto comma = text.find(',');
        visit(trimmed(text.substr(0, comma)));
        if (comma == std::string_view::npos)
            return;
        text.remove_prefix(comma + 1);
    }
}

bool listContains(std::string_view list, std::string_view element)
{
    bool found = false;
    visitList(list, [&](std::string_view entry) { found = found || equalsIgnoringCase(entry, element); });
    return found;
}

std::optional<std::uint64_t> parseLength(std::string_view text)
{
    std::uint64_t length = 0;
    if (text.empty() || text.size() > maxLengthDigits)
        return {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error != std::errc {} || end != text.data() + text.size())
        return {};
    return length;
}

// Removes a token or a quoted string from the front of the text. False if there is none.
bool skipTokenOrQuoted(std::string_view& text)
{
    if (text.empty() || text.front() != '"') {
        const auto* const end = std::find_if_not(text.begin(), text.end(), isTokenCharacter);
        const auto count = static_cast<std::size_t>(end - text.begin());
        text.remove_prefix(count);
        return count > 0;
    }
    for (std::size_t position = 1; position < text.size(); ++position) {
        if (text[position] == '"') {
            text.remove_prefix(position + 1);
            return true;
        }
        if (text[position] == '\\')
            ++position;
    }
    return false;
}

void skipWhitespace(std::string_view& text) { text.remove_prefix(std::min(text.find_first_not_of(whitespace), text.size())); }

// True for zero or more chunk extensions, each beginning with a semicolon.
bool areChunkExtensions(std::string_view text)
{
    while (!text.empty()) {
        if (text.front() != ';')
            return false;
        text.remove_prefix(1);
        skipWhitespace(text);
        if (text.empty() || text.front() == '"' || !skipTokenOrQuoted(text))
            return false;
        skipWhitespace(text);
        if (text.empty() || text.front() != '=')
            continue;
        text.remove_prefix(1);
        skipWhitespace(text);
        if (!skipTokenOrQuoted(text))
            return false;
        skipWhitespace(text);
    }
    return true;
}

// Parses "name: value". Nothing if the line is malformed, which includes the continuation of a folded line.
std::optional<http_field> parseField(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return {};
    const auto value = trimmed(line.substr(colon + 1));
    if (!isFieldValue(value))
        return {};
    return http_field { std::string(line.substr(0, colon)), std::string(value) };
}

} // namespace

body_framing findBodyFraming(const std::vector<http_field>& fields, unsigned minorVersion)
{
    body_framing framing;
    bool isValid = true;
    const http_field* coding = nullptr;
    std::optional<std::uint64_t> length;
    for (const auto& field : fields) {
        if (equalsIgnoringCase(field.name, "Transfer-Encoding")) {
            isValid = isValid && coding == nullptr;
            coding = &field;
        }
        if (!equalsIgnoringCase(field.name, "Content-Length"))
            continue;
        visitList(field.value, [&](std::string_view element) {
            const auto parsed = parseLength(element);
            isValid = isValid && parsed && (!length || *length == *parsed);
            length = parsed;
        });
    }
    if (!isValid || (coding != nullptr && (length || minorVersion == 0))) {
        framing.form = body_framing::kind::invalid;
    } else if (coding != nullptr) {
        const auto value = trimmed(coding->value);
        if (equalsIgnoringCase(value, "chunked"))
            framing.form = body_framing::kind::chunked;
        else
            framing.form = isToken(value) ? body_framing::kind::unknown_coding : body_framing::kind::invalid;
    } else if (length) {
        framing.form = body_framing::kind::length;
        framing.length = *length;
    }
    return framing;
}

bool isValidReplyHead(unsigned status, const std::vector<http_field>& fields, unsigned minorVersion)
{
    if (status < firstInterimStatus || status > lastFinalStatus || status == statusSwitchingProtocols)
        return false;
    const auto framing = findBodyFraming(fields, minorVersion);
    if (status < firstFinalStatus)
        return framing.form == body_framing::kind::none;
    return framing.form != body_framing::kind::invalid && framing.form != body_framing::kind::unknown_coding;
}

std::size_t occupiedBytes(const http_request& request)
{
    const auto heapBytes = [](const std::string& text) { return text.capacity() <= std::string().capacity() ? 0 : text.capacity() + 1; };
    std::size_t bytes = heapBytes(request.method) + heapBytes(request.target) + heapBytes(request.body) + request.fields.capacity() * sizeof(http_field);
    for (const auto& field : request.fields)
        bytes += heapBytes(field.name) + heapBytes(field.value);
    return bytes;
}

std::size_t http_request_reader::heldBytes() const { return m_head.capacity() + m_line.capacity() + occupiedBytes(m_request); }

void http_request_reader::reject(unsigned status, std::string reason)
{
    if (!m_rejection)
        m_rejection = rejection { status, std::move(reason) };
}

std::size_t http_request_reader::put(std::string_view bytes)
{
    std::size_t consumed = 0;
    while (!m_rejection && m_state != state::complete && consumed < bytes.size()) {
        const auto rest = bytes.substr(consumed);
        if (m_state == state::head)
            consumed += putHead(rest);
        else if (m_state == state::body || m_state == state::chunk_data)
            consumed += putBody(rest);
        else
            consumed += putLine(rest);
    }
    return consumed;
}

// Consumes one line of the head, or what was received of it.
std::size_t http_request_reader::putHead(std::string_view bytes)
{
    const auto lineFeed = bytes.find('\n');
    const auto wanted = lineFeed == std::string_view::npos ? bytes.size() : lineFeed + 1;
    if (m_head.size() + wanted > m_limits.headerBytes) {
        reject(statusHeadTooLarge, "request header exceeds the size limit; send fewer or shorter fields");
        return 0;
    }
    m_head.append(bytes.substr(0, wanted));
    if (lineFeed == std::string_view::npos)
        return wanted;
    const auto line = std::string_view(m_head).substr(m_lineStart);
    if (line.size() < 2 || line[line.size() - 2] != '\r') {
        reject(statusBadRequest, "malformed HTTP request: a line of the header does not end with CR LF");
    } else if (line.size() > 2) {
        m_lineStart = m_head.size();
    } else if (m_lineStart == 0) {
        m_head.clear(); // empty lines before a request are ignored
    } else {
        parseHead();
    }
    return wanted;
}

void http_request_reader::parseHead()
{
    const auto lineEnd = m_head.find("\r\n");
    parseRequestLine(std::string_view(m_head).substr(0, lineEnd));
    m_head.erase(0, lineEnd + 2);
    if (!m_rejection)
        parseFields(m_head);
    if (!m_rejection)
        decideFraming();
    if (m_state != state::complete)
        m_request.fields = std::vector<http_field>(); // "= {}" would keep the capacity
}

// Parses the lines up to the empty one.
void http_request_reader::parseFields(std::string_view text)
{
    m_request.fields.reserve(static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')));
    while (!text.starts_with("\r\n")) {
        const auto end = text.find("\r\n");
        auto field = parseField(text.substr(0, end));
        if (!field) {
            reject(statusBadRequest, "malformed HTTP request: invalid header field");
            return;
        }
        m_request.fields.push_back(std::move(*field));
        text.remove_prefix(end + 2);
    }
}

http_request http_request_reader::takeRequest()
{
    if (m_request.fields.empty())
        parseFields(m_head);
    return std::move(m_request);
}

void http_request_reader::parseRequestLine(std::string_view line)
{
    const auto methodEnd = line.find(' ');
    const auto targetEnd = line.rfind(' ');
    const auto version = targetEnd == std::string_view::npos ? std::string_view() : line.substr(targetEnd + 1);
    if (methodEnd == targetEnd || !isToken(line.substr(0, methodEnd)) || (version != "HTTP/1.1" && version != "HTTP/1.0")) {
        reject(statusBadRequest, "malformed HTTP request: invalid request line");
        return;
    }
    m_request.method = line.substr(0, methodEnd);
    m_request.target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    m_minorVersion = version.back() == '1' ? 1 : 0;
    if (m_request.target.empty() || !std::all_of(m_request.target.begin(), m_request.target.end(), isVisible))
        reject(statusBadRequest, "malformed HTTP request: invalid target");
}

void http_request_reader::decideFraming()
{
    unsigned hosts = 0;
    m_keepAlive = m_minorVersion == 1;
    bool closes = false;
    for (const auto& field : m_request.fields) {
        if (equalsIgnoringCase(field.name, "Host"))
            ++hosts;
        else if (equalsIgnoringCase(field.name, "Expect"))
            m_expectsContinue = m_minorVersion == 1 && !field.value.empty();
        else if (equalsIgnoringCase(field.name, "Connection")) {
            closes = closes || listContains(field.value, "close");
            m_keepAlive = m_keepAlive || listContains(field.value, "keep-alive");
        }
    }
    m_keepAlive = m_keepAlive && !closes;
    const auto framing = findBodyFraming(m_request.fields, m_minorVersion);
    if (hosts > 1) {
        reject(statusBadRequest, "malformed HTTP request: more than one Host field");
        return;
    }
    switch (framing.form) {
    case body_framing::kind::none:
        m_state = state::complete;
        break;
    case body_framing::kind::length:
        m_remaining = framing.length;
        m_state = m_remaining == 0 ? state::complete : state::body;
        if (m_remaining > m_limits.bodyBytes)
            reject(statusBodyTooLarge, "request body exceeds the size limit; send a shorter body");
        break;
    case body_framing::kind::chunked:
        m_state = state::chunk_size;
        break;
    case body_framing::kind::invalid:
        reject(statusBadRequest, "malformed HTTP request: Transfer-Encoding and Content-Length do not determine one length of the body");
        break;
    case body_framing::kind::unknown_coding:
        reject(statusNotImplemented, "unknown transfer coding; send the body with a length or in chunks");
        break;
    }
}

std::size_t http_request_reader::putBody(std::string_view bytes)
{
    const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), m_remaining));
    appendBody(bytes.substr(0, count));
    m_remaining -= count;
    if (m_remaining == 0)
        m_state = m_state == state::body ? state::complete : state::chunk_end;
    return count;
}

// Appends with a capacity that never exceeds what the body can still need.
void http_request_reader::appendBody(std::string_view bytes)
{
    auto& body = m_request.body;
    const auto size = body.size() + bytes.size();
    if (size > body.capacity()) {
        const auto largest = m_state == state::body ? body.size() + m_remaining : m_limits.bodyBytes;
        std::string larger; // a string that holds nothing reserves exactly what it is asked for
        larger.reserve(std::max<std::size_t>(size, std::min<std::uint64_t>(largest, std::max(2 * body.capacity(), minBodyCapacity))));
        larger.append(body);
        body = std::move(larger);
    }
    body.append(bytes);
}

// Consumes one line of the chunk framing, or what was received of it.
std::size_t http_request_reader::putLine(std::string_view bytes)
{
    const auto lineFeed = bytes.find('\n');
    const auto wanted = lineFeed == std::string_view::npos ? bytes.size() : lineFeed + 1;
    const auto limit = m_state == state::trailer ? m_limits.headerBytes - m_trailerBytes : maxChunkLineBytes;
    if (m_line.size() + wanted > limit) {
        if (m_state == state::trailer)
            reject(statusHeadTooLarge, "request trailer exceeds the size limit; send fewer or shorter fields");
        else
            reject(statusBadRequest, "malformed HTTP request: line of a chunk too long");
        return 0;
    }
    m_line.append(bytes.substr(0, wanted));
    if (lineFeed == std::string_view::npos)
        return wanted;
    const auto line = std::exchange(m_line, {});
    if (line.size() < 2 || line[line.size() - 2] != '\r')
        reject(statusBadRequest, "malformed HTTP request: a line of a chunk does not end with CR LF");
    else
        handleLine(std::string_view(line).substr(0, line.size() - 2));
    return wanted;
}

void http_request_reader::handleLine(std::string_view line)
{
    if (m_state == state::chunk_size) {
        parseChunkSize(line);
    } else if (m_state == state::chunk_end) {
        if (line.empty())
            m_state = state::chunk_size;
        else
            reject(statusBadRequest, "malformed HTTP request: chunk longer than its size");
    } else if (line.empty()) {
        m_state = state::complete;
    } else {
        m_trailerBytes += line.size() + 2;
        if (!parseField(line))
            reject(statusBadRequest, "malformed HTTP request: invalid trailer field");
    }
}

void http_request_reader::parseChunkSize(std::string_view line)
{
    const auto digits = line.substr(0, line.find(';'));
    const auto extensions = line.substr(digits.size());
    std::uint64_t size = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
    const bool isNumber = !digits.empty() && digits.size() <= maxChunkSizeDigits && error == std::errc {} && end == digits.data() + digits.size();
    m_extensionBytes += extensions.size();
    if (!isNumber || !areChunkExtensions(extensions) || !isFieldValue(extensions) || m_extensionBytes > m_limits.headerBytes) {
        reject(statusBadRequest, "malformed HTTP request: invalid chunk size or extension");
        return;
    }
    if (size > m_limits.bodyBytes - m_request.body.size()) {
        reject(statusBodyTooLarge, "request body exceeds the size limit; send a shorter body");
        return;
    }
    m_remaining = size;
    m_state = size == 0 ? state::trailer : state::chunk_data;
}

} // namespace limpetpier
