#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/routing_table.h"
#include "limpetpier/state/searcher_directory.h"

namespace limpetpier {

// A client's request, decoded.
struct client_request {
    std::string id; // of this attempt of the client; empty if it gave none
    std::optional<milliseconds> timeLeft; // how long the client waits
    std::string host;
    http_request message; // as received
    std::string forwardedHead; // request line and fields that every call of it carries
};

enum class reply_kind : std::uint8_t {
    success, // ran, whole result with its signature
    failure, // ran, or may have run, without a result
    not_executed, // the searcher says that it did not run the request
    misdirected, // another searcher has the address; it did not run the request
};

// A searcher's reply, decoded.
struct searcher_reply {
    reply_kind kind = reply_kind::failure;
    std::string signature; // the searcher's mark of a result; empty if there was none
    http_reply message; // as received
};

// A searcher's answer to a health check.
struct health_report {
    bool healthy = false;
    searcher_id searcher;
    milliseconds coldTimeLeft { 0 };
};

// Answer to a query over many shards.
struct merged_answer {
    std::vector<std::string> signatures; // of the parts that are in
    std::size_t missingParts = 0;
    std::string records;
};

// What the gateway speaks with clients and searchers, and how the platform's store names and writes what it holds. The
// product decides; an implementation only translates.
class gateway_protocol {
public:
    gateway_protocol() = default;
    virtual ~gateway_protocol() = default;
    gateway_protocol(const gateway_protocol&) = delete;
    gateway_protocol& operator=(const gateway_protocol&) = delete;

    [[nodiscard]] virtual client_request decodeRequest(http_request request) const = 0;

    // Bytes of a request to a searcher, which must reject it unless it is the one named.
    [[nodiscard]] virtual std::string encodeCall(const client_request& request, const searcher_id& searcher, milliseconds timeLeft) const = 0;

    // False for a reply that names another request than this one.
    [[nodiscard]] virtual bool isReplyTo(const client_request& request, const http_reply& reply) const = 0;
    [[nodiscard]] virtual searcher_reply decodeReply(http_reply reply) const = 0;

    [[nodiscard]] virtual http_reply encodeAnswer(const client_request& request, const searcher_reply& reply) const = 0;
    [[nodiscard]] virtual http_reply encodeMerged(const merged_answer& answer) const = 0;

    // A refusal or failure of our own. retryAfter is given only where the request did not run and never will.
    [[nodiscard]] virtual http_reply encodeFailure(unsigned status, const std::string& message, std::optional<milliseconds> retryAfter) const = 0;

    [[nodiscard]] virtual std::string encodeHealthCheck(const std::string& path) const = 0;
    [[nodiscard]] virtual health_report decodeHealth(const http_reply& reply) const = 0;

    // Key of the configuration, and prefixes of the searchers' entries and of the zones to be emptied.
    [[nodiscard]] virtual std::string tableKey() const = 0;
    [[nodiscard]] virtual std::string operatorPrefix() const = 0;
    [[nodiscard]] virtual std::string searcherPrefix() const = 0;
    [[nodiscard]] virtual std::string evacuationPrefix() const = 0;

    // Throw document_error for what cannot be read.
    [[nodiscard]] virtual routing_table decodeTable(const std::string& text) const = 0;
    [[nodiscard]] virtual searcher_entry decodeSearcher(const std::string& key, const std::string& text) const = 0;
};

} // namespace limpetpier
