#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "limpetpier/protocol/http_message.h"

namespace limpetpier {

// Reads one HTTP/1.1 or HTTP/1.0 request from a stream of bytes and decides where it ends, strictly by RFC 9112. A request
// whose end can be understood in more than one way is rejected, so that no part of a body is taken for another request.
//
// Trailer fields are checked and dropped.
class http_request_reader {
public:
    struct limits {
        std::size_t headerBytes = 0; // of the request line and fields; also of all trailer fields, and of all chunk extensions
        std::size_t bodyBytes = 0;
    };

    // Status and text of the reply to a rejected request. The connection must be closed after that reply.
    struct rejection {
        unsigned status = 0;
        std::string reason;
    };

    explicit http_request_reader(const limits& bounds)
        : m_limits(bounds)
    {
    }

    // Reads bytes up to the end of the request or its first fault, and returns how many were consumed. Bytes that were not
    // consumed belong to the next request.
    std::size_t put(std::string_view bytes);

    // True once the request line and all fields were read.
    [[nodiscard]] bool isHeadComplete() const { return m_state > state::head; }

    // True once the complete request was read.
    [[nodiscard]] bool isComplete() const { return m_state == state::complete; }

    // Set if the request must be rejected.
    [[nodiscard]] const std::optional<rejection>& rejected() const { return m_rejection; }

    // Moves the request out of the reader. Requires isComplete().
    http_request takeRequest();

    // True if the client keeps the connection open after the reply. Requires isHeadComplete().
    [[nodiscard]] bool keepAlive() const { return m_keepAlive; }

    // True if the client waits for an interim reply before it sends the body.
    [[nodiscard]] bool expectsContinue() const { return m_expectsContinue && (m_state == state::body || m_state == state::chunk_size); }

    // Memory that the request occupies so far.
    [[nodiscard]] std::size_t heldBytes() const;

private:
    enum class state : std::uint8_t {
        head,
        body,
        chunk_size,
        chunk_data,
        chunk_end,
        trailer,
        complete,
    };

    std::size_t putHead(std::string_view bytes);
    std::size_t putLine(std::string_view bytes);
    std::size_t putBody(std::string_view bytes);
    void parseHead();
    void parseRequestLine(std::string_view line);
    void parseFields(std::string_view text);
    void decideFraming();
    void handleLine(std::string_view line);
    void parseChunkSize(std::string_view line);
    void appendBody(std::string_view bytes);
    void reject(unsigned status, std::string reason);

    limits m_limits;
    state m_state = state::head;
    std::string m_head; // the fields are parsed again once the body is complete, as they need less memory as text
    std::size_t m_lineStart = 0; // in the head
    std::string m_line; // incomplete line of the chunk framing
    std::size_t m_extensionBytes = 0; // of all chunks
    std::size_t m_trailerBytes = 0;
    std::uint64_t m_remaining = 0; // of the body or chunk
    unsigned m_minorVersion = 1;
    bool m_keepAlive = false;
    bool m_expectsContinue = false;
    http_request m_request;
    std::optional<rejection> m_rejection;
};

// Memory that a request occupies.
std::size_t occupiedBytes(const http_request& request);

// How the fields of a message determine the length of its body.
struct body_framing {
    enum class kind : std::uint8_t {
        none, // neither a length nor a transfer coding
        length,
        chunked,
        invalid, // contradictory or malformed
        unknown_coding, // a transfer coding other than chunked
    };
    kind form = kind::none;
    std::uint64_t length = 0;
};

// Determines the framing of a message of HTTP/1.minorVersion from its fields Transfer-Encoding and Content-Length.
body_framing findBodyFraming(const std::vector<http_field>& fields, unsigned minorVersion);

// True if a head with this status and these fields can be part of a reply to a request without an upgrade: the status is
// that of an interim or final reply, an interim reply has no body, and the framing is unambiguous.
bool isValidReplyHead(unsigned status, const std::vector<http_field>& fields, unsigned minorVersion);

} // namespace limpetpier
