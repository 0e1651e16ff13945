#pragma once

#include <string>
#include <string_view>

#include "limpetpier/protocol/messages.h"

namespace limpetpier {

// Maximum size of a frame between nodes, in bytes. Limits the memory that a peer can make this process allocate.
constexpr std::size_t maxFrameBytes = 4U << 20;

// Maximum size of a datagram between nodes, in bytes.
constexpr std::size_t maxDatagramBytes = 1400;

// Size of a frame's length field, in bytes.
constexpr std::size_t frameLengthBytes = 4;

// Size of the authentication tag of a frame or datagram, in bytes.
constexpr std::size_t tagBytes = 16;

// Encodes and authenticates the messages between the nodes of a deployment.
//
// Every frame and datagram carries an HMAC-SHA256 tag over the deployment's name and the payload, keyed with the shared
// secret. The open functions throw frame_error if the tag does not match or the payload cannot be decoded.
class node_codec {
public:
    node_codec(std::string deployment, std::string secret);

    // Encodes a message as a frame: length (4 bytes, big-endian), tag, payload.
    [[nodiscard]] std::string sealFrame(const node_message& message) const;

    // Verifies and decodes the part of a frame after the length field.
    [[nodiscard]] node_message openFrame(std::string_view tagAndPayload) const;

    // Encodes a probe as a datagram: tag, payload.
    [[nodiscard]] std::string sealDatagram(const probe_message& message) const;

    // Verifies and decodes a datagram.
    [[nodiscard]] probe_message openDatagram(std::string_view datagram) const;

    // The same for messages about permits.
    [[nodiscard]] std::string sealDatagram(const permit_message& message) const;
    [[nodiscard]] permit_message openPermitDatagram(std::string_view datagram) const;

    // Decodes the length field: the size of the tag and the payload, in bytes. Throws frame_error if it is smaller than
    // tagBytes or greater than maxFrameBytes.
    static std::size_t parseLength(std::string_view lengthField);

private:
    [[nodiscard]] std::string computeTag(std::string_view payload) const;
    [[nodiscard]] std::string_view authenticatedPayload(std::string_view tagAndPayload) const;

    std::string m_deployment;
    std::string m_secret;
};

} // namespace limpetpier
