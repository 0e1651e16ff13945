#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "limpetpier/state/operator_document.h"

namespace limpetpier {

// A team's change to its own section of the operator document.
struct section_edit {
    edit_id id; // unique per edit; shows whether an edit whose reply was lost has been applied
    std::string section;
    section_version basedOn; // version of the section that the edit was made from; 0 for a new section
    std::string credential;
    boost::json::object body;
};

// Maximum number of edit ids that a document keeps.
constexpr std::size_t maxRecentEdits = 64;

// Returns true if the edit is among the recent edits of the document.
bool containsEdit(const operator_document& document, const edit_id& id);

// Returns the document with the edit applied and the revision incremented by one.
//
// Only the version of the edited section is checked; other sections may have changed since. Throws edit_conflict if the
// section is not at version basedOn, credential_error if the credential is missing or is not the section's,
// document_error if the resulting document is invalid, and limpet_error if no random bytes are available for the salt of
// a new section.
operator_document applyEdit(const operator_document& current, const section_edit& edit);

// Returns the SHA-256 of "salt:credential" as lower-case hexadecimal digits.
std::string hashCredential(const std::string& salt, const std::string& credential);

// What a process does with an offered document, so that it never goes back to an earlier revision.
enum class revision_decision : std::uint8_t {
    adopt,
    same,
    older, // from a stale read or a store restored from backup; never adopted
};

// Compares the revision of an offered document with the revision in force.
inline revision_decision decideRevision(revision_number inForce, revision_number offered)
{
    if (offered > inForce)
        return revision_decision::adopt;
    return offered == inForce ? revision_decision::same : revision_decision::older;
}

} // namespace limpetpier
