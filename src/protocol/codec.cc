#include "limpetpier/protocol/codec.h"

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <sstream>

#include "limpetpier/state/errors.h"

namespace limpetpier {

namespace {

template <typename Message>
std::string encode(const Message& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message);
    }
    return std::move(out).str();
}

template <typename Message>
Message decode(std::string_view payload)
{
    try {
        std::istringstream in { std::string(payload) };
        cereal::PortableBinaryInputArchive archive(in);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception& error) {
        throw frame_error(std::string("cannot decode message payload: ") + error.what() + "; run the same release on every node");
    }
}

} // namespace

node_codec::node_codec(std::string deployment, std::string secret)
    : m_deployment(std::move(deployment))
    , m_secret(std::move(secret))
{
}

std::string node_codec::sealFrame(const node_message& message) const
{
    const auto payload = encode(message);
    const auto size = static_cast<std::uint32_t>(tagBytes + payload.size());
    std::string frame;
    frame.reserve(frameLengthBytes + size);
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<char>(size >> shift));
    frame += computeTag(payload);
    frame += payload;
    return frame;
}

node_message node_codec::openFrame(std::string_view tagAndPayload) const
{
    return decode<node_message>(authenticatedPayload(tagAndPayload));
}

std::string node_codec::sealDatagram(const probe_message& message) const
{
    const auto payload = encode(message);
    return computeTag(payload) + payload;
}

probe_message node_codec::openDatagram(std::string_view datagram) const
{
    return decode<probe_message>(authenticatedPayload(datagram));
}

std::string node_codec::sealDatagram(const permit_message& message) const
{
    const auto payload = encode(message);
    return computeTag(payload) + payload;
}

permit_message node_codec::openPermitDatagram(std::string_view datagram) const
{
    return decode<permit_message>(authenticatedPayload(datagram));
}

std::size_t node_codec::parseLength(std::string_view lengthField)
{
    std::size_t length = 0;
    for (const char byte : lengthField.substr(0, frameLengthBytes))
        length = (length << 8) | static_cast<unsigned char>(byte);
    if (length < tagBytes || length > maxFrameBytes)
        throw frame_error("invalid frame length: found " + std::to_string(length) + " bytes, expected " + std::to_string(tagBytes) + " to " + std::to_string(maxFrameBytes) + "; check that the peer is a limpetpier node");
    return length;
}

std::string node_codec::computeTag(std::string_view payload) const
{
    std::string input = m_deployment;
    input.push_back('\0');
    input += payload;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()), reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data(), &size);
    return { reinterpret_cast<const char*>(digest.data()), tagBytes };
}

std::string_view node_codec::authenticatedPayload(std::string_view tagAndPayload) const
{
    if (tagAndPayload.size() < tagBytes)
        throw frame_error("message too short: found " + std::to_string(tagAndPayload.size()) + " bytes, expected at least " + std::to_string(tagBytes) + "; check that the peer is a limpetpier node");
    const auto payload = tagAndPayload.substr(tagBytes);
    const auto expected = computeTag(payload);
    if (CRYPTO_memcmp(expected.data(), tagAndPayload.data(), tagBytes) != 0)
        throw frame_error("authentication tag does not match; set the same --deployment and LIMPET_NODE_SECRET on every node");
    return payload;
}

} // namespace limpetpier
