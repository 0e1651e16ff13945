#include "limpetpier/coordination/section_edit.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include "limpetpier/state/errors.h"

namespace limpetpier {

namespace {

constexpr std::size_t saltBytes = 16;

std::string toHex(const unsigned char* bytes, std::size_t byteCount)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(byteCount * 2);
    for (std::size_t position = 0; position < byteCount; ++position) {
        text.push_back(digits[bytes[position] >> 4]);
        text.push_back(digits[bytes[position] & 0xf]);
    }
    return text;
}

std::string makeSalt()
{
    std::array<unsigned char, saltBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw limpet_error("RAND_bytes returned no random bytes for the salt of a new section; check the machine's entropy source");
    return toHex(bytes.data(), bytes.size());
}

bool matchesCredential(const document_section& section, const std::string& credential)
{
    const auto hash = hashCredential(section.salt, credential);
    return hash.size() == section.credentialHash.size() && CRYPTO_memcmp(hash.data(), section.credentialHash.data(), hash.size()) == 0;
}

[[noreturn]] void throwConflict(const section_edit& edit, const document_section& current)
{
    throw edit_conflict("section " + edit.section + " is at version " + std::to_string(current.version.value()) + ", but the edit was made from version "
        + std::to_string(edit.basedOn.value()) + "; merge and apply again with --based-on " + std::to_string(current.version.value())
        + "\ncurrent: " + boost::json::serialize(current.body) + "\nedit: " + boost::json::serialize(edit.body));
}

} // namespace

std::string hashCredential(const std::string& salt, const std::string& credential)
{
    const std::string input = salt + ":" + credential;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(input.data(), input.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

bool containsEdit(const operator_document& document, const edit_id& id)
{
    return std::find(document.recentEdits.begin(), document.recentEdits.end(), id) != document.recentEdits.end();
}

operator_document applyEdit(const operator_document& current, const section_edit& edit)
{
    if (edit.credential.empty())
        throw credential_error("section " + edit.section + ": no credential given; set the environment variable LIMPET_CREDENTIAL");
    auto next = current;
    const auto existing = next.sections.find(edit.section);
    if (existing == next.sections.end()) {
        if (edit.basedOn != section_version {})
            throw edit_conflict("section " + edit.section + " does not exist, but the edit was made from version " + std::to_string(edit.basedOn.value()) + "; apply with --based-on 0 to create it");
        const auto salt = makeSalt();
        next.sections[edit.section] = { section_version { 1 }, salt, hashCredential(salt, edit.credential), edit.body };
    } else {
        auto& section = existing->second;
        if (!matchesCredential(section, edit.credential))
            throw credential_error("section " + edit.section + ": the credential does not match the section's credential; ask the team that owns the section for it");
        if (section.version != edit.basedOn)
            throwConflict(edit, section);
        section.version = section.version.next();
        section.body = edit.body;
    }
    next.revision = current.revision.next();
    next.recentEdits.push_back(edit.id);
    if (next.recentEdits.size() > maxRecentEdits)
        next.recentEdits.erase(next.recentEdits.begin());
    updateDerivedFields(next);
    return next;
}

} // namespace limpetpier
