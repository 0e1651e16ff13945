#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpetpier/protocol/http_message.h"
#include "limpetpier/state/routing_table.h"
#include "limpetpier/state/searcher_directory.h"
#include "limpetpier/state/searcher_notice.h"

namespace limpetpier {

// A decoded client request.
struct client_request {
    std::string id; // identifies this attempt of the client; empty if not given
    std::optional<milliseconds> timeLeft; // time until the client gives up
    std::string host;
    http_request message; // as received, without the fields that credential_policy::check takes out
    std::optional<key_digest> key; // that the request presents; empty if it has none or credentials are not checked
    workspace_id workspace; // named to the searchers; empty if none is
    std::string forwardedHead; // encoded request line and header fields common to all calls made for it
};

// What happens to the header fields of a request that present a key or name a workspace.
enum class credential_policy : std::uint8_t {
    forward, // forwarded like other fields, for a configuration without workspaces
    check, // removed from the request; the key is decoded
};

// Whether a searcher ran a request.
enum class reply_kind : std::uint8_t {
    success, // ran; the complete result has a signature
    failure, // ran or may have run; there is no result
    not_executed, // not run, as stated by the searcher
    misdirected, // not run; the address belongs to another searcher
};

// A decoded reply of a searcher.
struct searcher_reply {
    reply_kind kind = reply_kind::failure;
    std::string signature; // the searcher's signature of its result; empty if there is none
    http_reply message; // as received
};

// A decoded reply to a health check.
struct health_report {
    bool healthy = false;
    searcher_id searcher;
    milliseconds coldTimeLeft { 0 }; // remaining time for which the searcher is cold
};

// The merged answer to a query over several shards.
struct merged_answer {
    std::vector<std::string> signatures; // of the parts included in the answer
    std::size_t missingParts = 0;
    std::string records;
};

// Translates between the gateway's types and the wire formats of clients, searchers and the platform's store.
// Implementations contain no decision logic.
class gateway_protocol {
public:
    gateway_protocol() = default;
    virtual ~gateway_protocol() = default;
    gateway_protocol(const gateway_protocol&) = delete;
    gateway_protocol& operator=(const gateway_protocol&) = delete;

    // Decodes a client's request. One that presents more than one key, or a malformed one, gets a key that names no
    // workspace.
    [[nodiscard]] virtual client_request decodeRequest(http_request request, credential_policy credentials) const = 0;

    // Encodes a request to a searcher. It names the searcher, so that any other one rejects it, and the request's
    // workspace if there is one.
    [[nodiscard]] virtual std::string encodeCall(const client_request& request, const searcher_id& searcher, milliseconds timeLeft) const = 0;

    // Returns false if the reply identifies a different request.
    [[nodiscard]] virtual bool isReplyTo(const client_request& request, const http_reply& reply) const = 0;

    // Decodes and classifies a searcher's reply.
    [[nodiscard]] virtual searcher_reply decodeReply(http_reply reply) const = 0;

    // Decodes what the searcher states about further requests in any reply, including one to a health check or to an
    // earlier request.
    [[nodiscard]] virtual searcher_notice decodeNotice(const http_reply& reply) const = 0;

    // Encodes the response to a client from a single searcher's reply.
    [[nodiscard]] virtual http_reply encodeAnswer(const client_request& request, const searcher_reply& reply) const = 0;

    // Encodes the response to a client from a merged answer.
    [[nodiscard]] virtual http_reply encodeMerged(const merged_answer& answer) const = 0;

    // Encodes an error response of the gateway itself. retryAfter is set only if the request has not run and will not run.
    [[nodiscard]] virtual http_reply encodeFailure(unsigned status, const std::string& message, std::optional<milliseconds> retryAfter) const = 0;

    // Encodes a health check for this path.
    [[nodiscard]] virtual std::string encodeHealthCheck(const std::string& path) const = 0;

    // Decodes the reply to a health check.
    [[nodiscard]] virtual health_report decodeHealth(const http_reply& reply) const = 0;

    // Store keys: the key of the routing table, and the prefixes of all operator keys, of the searchers' entries and of the
    // zones being evacuated.
    [[nodiscard]] virtual std::string tableKey() const = 0;
    [[nodiscard]] virtual std::string operatorPrefix() const = 0;
    [[nodiscard]] virtual std::string searcherPrefix() const = 0;
    [[nodiscard]] virtual std::string evacuationPrefix() const = 0;

    // Decode values of the store. Throw document_error, which quotes no key, if a value is invalid.
    [[nodiscard]] virtual routing_table decodeTable(const std::string& text) const = 0;
    [[nodiscard]] virtual searcher_entry decodeSearcher(const std::string& key, const std::string& text) const = 0;

    // Replaces the keys in a valid stored table by their digests. decodeTable() returns the same table for the result.
    [[nodiscard]] virtual std::string redactTable(const std::string& text) const = 0;
};

} // namespace limpetpier
