#pragma once

#include <string>
#include <vector>

namespace limpetpier::standins {

// What a server in trouble sends: a beginning, then the same bytes without end.
struct endless_reply {
    const char* description;
    std::string beginning;
    std::string repeated;
};

inline std::string repeat(const std::string& text, std::size_t count)
{
    std::string result;
    for (std::size_t index = 0; index < count; ++index)
        result += text;
    return result;
}

// The places in a reply that a server can prolong without end.
inline std::vector<endless_reply> endlessReplies()
{
    return {
        endless_reply { "no line end", "", repeat("x", 16384) },
        endless_reply { "one header field", "HTTP/1.1 200 OK\r\nX: ", repeat("x", 16384) },
        endless_reply { "many header fields", "HTTP/1.1 200 OK\r\n", repeat("X-Field: value\r\n", 1024) },
        endless_reply { "body without a length", "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n", repeat("x", 65536) },
        endless_reply { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat("4\r\nabcd\r\n", 4096) },
        endless_reply { "interim replies", "", repeat("HTTP/1.1 102 Processing\r\n\r\n", 16) },
        endless_reply { "one chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", repeat("x", 16384) },
        endless_reply { "chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat("1;a=" + repeat("x", 4000) + "\r\nz\r\n", 16) },
        endless_reply { "trailer fields", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeat("X-Field: value\r\n", 1024) }
    };
}

} // namespace limpetpier::standins
