#pragma once

#include <string>
#include <string_view>

#include "limpetpier/protocol/messages.h"

namespace limpetpier {

// Largest frame between nodes, in bytes; it bounds what a peer can make this process buffer.
constexpr std::size_t maxFrameBytes = 4U << 20;

// Largest datagram between nodes, in bytes.
constexpr std::size_t maxDatagramBytes = 1400;

// Length field of a frame, in bytes.
constexpr std::size_t frameLengthBytes = 4;

// Authentication tag of a frame or datagram, in bytes.
constexpr std::size_t tagBytes = 16;

// Seals and opens what nodes of one deployment send to each other.
//
// Every frame and datagram carries an HMAC-SHA256 tag over its payload and the deployment's name, under the shared
// secret. open functions throw frame_error for anything that was not sealed by a node of the deployment.
class node_codec {
public:
    node_codec(std::string deployment, std::string secret);

    // A whole frame: length, tag, payload.
    [[nodiscard]] std::string sealFrame(const node_message& message) const;

    // Opens the part of a frame that follows the length.
    [[nodiscard]] node_message openFrame(std::string_view tagAndPayload) const;

    [[nodiscard]] std::string sealDatagram(const probe_message& message) const;
    [[nodiscard]] probe_message openDatagram(std::string_view datagram) const;

    // Length of what follows, from the first frameLengthBytes bytes. Throws frame_error beyond maxFrameBytes.
    static std::size_t parseLength(std::string_view lengthField);

private:
    [[nodiscard]] std::string tagOf(std::string_view payload) const;
    [[nodiscard]] std::string_view checkedPayload(std::string_view tagAndPayload) const;

    std::string m_deployment;
    std::string m_secret;
};

} // namespace limpetpier
