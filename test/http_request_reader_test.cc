#include "limpetpier/protocol/http_request_reader.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace limpetpier;

namespace {

constexpr http_request_reader::limits bounds { 4096, 1000 };

// Passes bytes to a reader in pieces of a size; stops when the reader consumes less than a piece.
std::size_t putInPieces(http_request_reader& reader, std::string_view bytes, std::size_t pieceSize)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size()) {
        const auto piece = bytes.substr(consumed, pieceSize);
        const auto count = reader.put(piece);
        consumed += count;
        if (count < piece.size())
            break;
    }
    return consumed;
}

std::string withFields(const std::string& fields, const std::string& body = "", const std::string& version = "HTTP/1.1")
{
    return "POST /x " + version + "\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::string withChunks(const std::string& chunks) { return withFields("Transfer-Encoding: chunked\r\n", chunks); }

} // namespace

TEST_CASE("A proper request of any form is read up to its end")
{
    const std::string next = "GET /next HTTP/1.1\r\n";
    const std::size_t pieceSize = GENERATE(1, 7, 100'000);
    http_request_reader reader(bounds);
    const auto read = [&](const std::string& text) {
        INFO(text);
        CHECK(putInPieces(reader, text + next, pieceSize) == text.size());
        REQUIRE_FALSE(reader.rejected());
        REQUIRE(reader.isComplete());
        return reader.takeRequest();
    };
    SECTION("without a body")
    {
        const auto request = read("GET /a?b=c%20d HTTP/1.1\r\nHost: h\r\nEmpty:\r\nPadded: \t x y \t\r\nBytes: \xc3\xa9\r\n\r\n");
        CHECK(request.method == "GET");
        CHECK(request.target == "/a?b=c%20d");
        CHECK(request.field("empty").empty());
        CHECK(request.field("padded") == "x y");
        CHECK(request.field("Bytes") == "\xc3\xa9");
        CHECK(reader.keepAlive());
    }
    SECTION("after an empty line") { CHECK(read("\r\n" + withFields("")).method == "POST"); }
    SECTION("with a length") { CHECK(read(withFields("Content-Length: 5\r\n", "a\r\nbc")).body == "a\r\nbc"); }
    SECTION("with a length of 0") { CHECK(read(withFields("Content-Length: 0\r\n")).body.empty()); }
    SECTION("with the same length twice") { CHECK(read(withFields("Content-Length: 3\r\ncontent-length: 3, 3\r\n", "abc")).body == "abc"); }
    SECTION("with a body of the maximum size") { CHECK(read(withFields("Content-Length: 1000\r\n", std::string(1000, 'x'))).body.size() == 1000); }
    SECTION("in chunks")
    {
        const std::string coding = GENERATE(as<std::string> {}, "chunked", "Chunked", "CHUNKED", " \t chunked \t ");
        CHECK(read(withFields("Transfer-Encoding:" + coding + "\r\n", "3\r\na\r\n\r\n00A;x=1 ; y = \"a;\\\"b\";z\r\n0123456789\r\n0\r\n\r\n")).body == "a\r\n0123456789");
    }
    SECTION("with trailer fields, which are dropped")
    {
        const auto request = read(withChunks("1\r\na\r\n0\r\nRequest-Id: other\r\nContent-Length: 7\r\nTransfer-Encoding: x\r\nHost: other\r\nDeadline-Ms: 1\r\nOwn: 1\r\n\r\n"));
        CHECK(request.body == "a");
        CHECK(request.fields.size() == 2);
        CHECK(request.field("Host") == "h");
    }
    SECTION("of HTTP/1.0")
    {
        read(withFields("Content-Length: 1\r\n", "a", "HTTP/1.0"));
        CHECK_FALSE(reader.keepAlive());
    }
    SECTION("of HTTP/1.0 with keep-alive")
    {
        read(withFields("Connection: x, Keep-Alive\r\n", "", "HTTP/1.0"));
        CHECK(reader.keepAlive());
    }
    SECTION("that announces the end of the connection")
    {
        read(withFields("Connection: keep-alive, Close\r\n"));
        CHECK_FALSE(reader.keepAlive());
    }
}

TEST_CASE("A request whose end is not certain is rejected")
{
    const std::size_t pieceSize = GENERATE(1, 100'000);
    http_request_reader reader(bounds);
    const auto isRejectedWith = [&](unsigned status, const std::string& text) {
        INFO(text);
        putInPieces(reader, text, pieceSize);
        CHECK_FALSE(reader.isComplete());
        REQUIRE(reader.rejected());
        CHECK(reader.rejected()->status == status);
    };
    SECTION("unknown transfer coding")
    {
        const std::string coding = GENERATE(as<std::string> {}, "xchunked", "identity", "gzip", "chunked1");
        isRejectedWith(501, withFields("Transfer-Encoding: " + coding + "\r\n", "0\r\n\r\n"));
    }
    SECTION("list of codings, parameters, or no coding")
    {
        const std::string coding = GENERATE(as<std::string> {}, "", "gzip, chunked", "chunked, identity", "chunked, chunked", "chunked,", ", chunked", "chunked;q=1", "\"chunked\"", "chun ked");
        isRejectedWith(400, withFields("Transfer-Encoding: " + coding + "\r\n", "0\r\n\r\n"));
    }
    SECTION("several transfer codings or lengths")
    {
        const std::string fields = GENERATE(as<std::string> {}, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\ntransfer-encoding: identity\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n", "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: 3, 4\r\n");
        isRejectedWith(400, withFields(fields, "0\r\n\r\n"));
    }
    SECTION("malformed length")
    {
        const std::string length = GENERATE(as<std::string> {}, "", "-1", "+1", "1 ", "0x1", "1 1", "1,", "a", "1.0", "9999999999999999999", "18446744073709551617");
        if (length != "1 ") // white space around a value is allowed
            isRejectedWith(400, withFields("Content-Length: " + length + "\r\n", "a"));
    }
    SECTION("transfer coding in HTTP/1.0") { isRejectedWith(400, withFields("Transfer-Encoding: chunked\r\n", "0\r\n\r\n", "HTTP/1.0")); }
    SECTION("malformed line of the header")
    {
        const std::string line = GENERATE(as<std::string> {}, "A : b", "A\t: b", " A: b", "A: b\r\n folded", "A: b\r\n\tfolded", "A", ": b", "A: b\rc", "A: b\nC: d", std::string("A: b\0c", 6), "A: \x01", "A: \x7f", "A(: b", "A: b\r");
        isRejectedWith(400, withFields(line + "\r\n"));
    }
    SECTION("line feed alone at the end of a line") { isRejectedWith(400, "GET / HTTP/1.1\nHost: h\n\n"); }
    SECTION("malformed request line")
    {
        const std::string line = GENERATE(as<std::string> {}, "GET", "GET /", "GET  HTTP/1.1", "GET /a b HTTP/1.1", " GET / HTTP/1.1", "GET / HTTP/1.2", "GET / HTTP/2.0", "GET / http/1.1", "G(T / HTTP/1.1", "GET /\x01 HTTP/1.1", "GET / HTTP/1.1 ");
        isRejectedWith(400, line + "\r\nHost: h\r\n\r\n");
    }
    SECTION("more than one host") { isRejectedWith(400, withFields("Host: other\r\n")); }
    SECTION("malformed chunk")
    {
        const std::string chunk = GENERATE(as<std::string> {}, "-1\r\n", "+1\r\n", " 1\r\n", "1 \r\n", "1 ;a\r\n", "\r\n", "g\r\n", "0x1\r\n", "00000000000000001\r\n", "1\n", "1\r", "1;\r\n", "1;=a\r\n", "1;a=\r\n", "1;a=\"b\r\n", "1;a b\r\n", "1\r\nab\r\n", "1\r\na\n", "1\r\na0\r\n");
        isRejectedWith(400, withChunks(chunk + "a\r\n0\r\n\r\n"));
    }
    SECTION("chunk extension without end") { isRejectedWith(400, withChunks("1;" + std::string(2000, 'a'))); }
    SECTION("very many chunk extensions")
    {
        std::string chunks;
        for (int count = 0; count < 100; ++count)
            chunks += "1;" + std::string(100, 'a') + "\r\nx\r\n";
        isRejectedWith(400, withChunks(chunks));
    }
    SECTION("malformed trailer") { isRejectedWith(400, withChunks("0\r\nA : b\r\n\r\n")); }
    SECTION("trailer beyond the limit of the header") { isRejectedWith(431, withChunks("0\r\nA: " + std::string(5000, 'x'))); }
    SECTION("header beyond its limit") { isRejectedWith(431, withFields("A: " + std::string(5000, 'x'))); }
    SECTION("length beyond the limit") { isRejectedWith(413, withFields("Content-Length: 1001\r\n")); }
    SECTION("chunks beyond the limit") { isRejectedWith(413, withChunks("3e8\r\n" + std::string(1000, 'x') + "\r\n1\r\n")); }
    SECTION("chunk size close to overflow") { isRejectedWith(413, withChunks("1\r\na\r\nffffffffffffffff\r\n")); }
}

TEST_CASE("The memory of an incomplete request is at most that of its complete form")
{
    http_request_reader reader({ 16384, 262144 });
    SECTION("for a body that stops one byte short")
    {
        reader.put(withFields("Content-Length: 200000\r\n"));
        const std::string piece(1999, 'x');
        for (int count = 0; count < 100; ++count)
            reader.put(piece);
        CHECK(reader.heldBytes() >= 199'900);
        CHECK(reader.heldBytes() <= 200'000 + 4096);
    }
    SECTION("for a body in small chunks")
    {
        reader.put(withFields("Transfer-Encoding: chunked\r\n"));
        for (int count = 0; count < 262144; ++count)
            reader.put("1\r\nx\r\n");
        CHECK_FALSE(reader.rejected());
        CHECK(reader.heldBytes() <= 262144 + 4096);
    }
    SECTION("for very many short fields, which occupy more once the request is complete")
    {
        std::string fields;
        for (int count = 0; count < 2000; ++count)
            fields += "a:\r\n";
        reader.put(withFields(fields + "Content-Length: 2\r\n", "x"));
        REQUIRE(reader.isHeadComplete());
        CHECK(reader.heldBytes() <= 32768);
        reader.put("x");
        REQUIRE(reader.isComplete());
        const auto request = reader.takeRequest();
        CHECK(request.fields.size() == 2002);
        CHECK(occupiedBytes(request) >= 2000 * sizeof(http_field));
    }
}

TEST_CASE("A reply head is valid only if it can belong to a reply")
{
    const std::vector<http_field> none;
    for (const unsigned status : { 100U, 102U, 103U, 199U, 200U, 204U, 404U, 503U, 599U })
        CHECK(isValidReplyHead(status, none, 1));
    for (const unsigned status : { 0U, 1U, 99U, 101U, 600U, 999U })
        CHECK_FALSE(isValidReplyHead(status, none, 1));
    CHECK(isValidReplyHead(200, { { "Content-Length", "4" } }, 1));
    CHECK(isValidReplyHead(200, { { "Transfer-Encoding", "Chunked" } }, 1));
    CHECK_FALSE(isValidReplyHead(103, { { "Content-Length", "4" } }, 1));
    CHECK_FALSE(isValidReplyHead(103, { { "Content-Length", "0" } }, 1));
    CHECK_FALSE(isValidReplyHead(200, { { "Transfer-Encoding", "xchunked" } }, 1));
    CHECK_FALSE(isValidReplyHead(200, { { "Transfer-Encoding", "gzip, chunked" } }, 1));
    CHECK_FALSE(isValidReplyHead(200, { { "Transfer-Encoding", "chunked" }, { "Content-Length", "4" } }, 1));
    CHECK_FALSE(isValidReplyHead(200, { { "Content-Length", "4" }, { "content-length", "5" } }, 1));
}
