#include "limpetpier/state/workspace.h"

#include <algorithm>
#include <charconv>
#include <openssl/evp.h>
#include <stdexcept>

namespace limpetpier {

namespace {

constexpr std::size_t shortNameDigits = 8;

} // namespace

key_digest key_digest::of(std::string_view key)
{
    key_digest result;
    if (EVP_Digest(key.data(), key.size(), result.m_bytes.data(), nullptr, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available; check the installation of OpenSSL");
    return result;
}

std::optional<key_digest> key_digest::parse(std::string_view hex)
{
    constexpr int base = 16;
    key_digest result;
    if (hex.size() != 2 * result.m_bytes.size())
        return {};
    for (std::size_t index = 0; index < result.m_bytes.size(); ++index) {
        const auto* begin = hex.data() + 2 * index;
        if (std::from_chars(begin, begin + 2, result.m_bytes[index], base).ptr != begin + 2)
            return {};
    }
    if (result == key_digest {})
        return {};
    return result;
}

std::string key_digest::hex() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : m_bytes)
        text.append(1, digits[byte >> 4U]).append(1, digits[byte & 15U]);
    return text;
}

std::string key_digest::shortName() const { return hex().substr(0, shortNameDigits); }

bool isPresentableKey(std::string_view key)
{
    return !key.empty() && std::all_of(key.begin(), key.end(), [](char character) { return character > ' ' && character <= '~'; });
}

bool workspace_directory::add(workspace entry, const std::vector<key_digest>& keys)
{
    const auto id = entry.id;
    if (!m_workspaces.emplace(id, std::move(entry)).second)
        return false;
    for (const auto& key : keys) {
        const auto [known, isNew] = m_keys.emplace(key, id);
        if (!isNew && known->second != id)
            m_ambiguousKeys.insert(key);
    }
    return true;
}

const workspace* workspace_directory::find(const workspace_id& id) const
{
    const auto found = m_workspaces.find(id);
    return found == m_workspaces.end() ? nullptr : &found->second;
}

const workspace* workspace_directory::find(const key_digest& key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() || m_ambiguousKeys.contains(key) ? nullptr : find(found->second);
}

} // namespace limpetpier
