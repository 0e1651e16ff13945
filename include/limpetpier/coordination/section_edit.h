#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "limpetpier/state/operator_document.h"

namespace limpetpier {

// A team's change of its own section.
struct section_edit {
    edit_id id; // unique to the edit, so that a lost answer can be recognised
    std::string section;
    section_version basedOn; // version of the section that the team saw; 0 for a new section
    std::string credential;
    boost::json::object body;
};

// Edits that a document remembers.
constexpr std::size_t maxRecentEdits = 64;

// True if the document already contains the edit.
bool containsEdit(const operator_document& document, const edit_id& id);

// The document with the edit applied and the revision advanced by one.
//
// Changes of other sections since basedOn do not matter. Throws edit_conflict when the section itself has moved on,
// credential_error when the credential does not open it, document_error when the result would break a rule.
operator_document applyEdit(const operator_document& current, const section_edit& edit);

// Hex SHA-256 of salt and credential.
std::string hashCredential(const std::string& salt, const std::string& credential);

// Keeps the highest revision of the document that this process has seen.
enum class revision_decision : std::uint8_t {
    adopt,
    same,
    older, // a lagging read or a restored store; never taken
};

inline revision_decision decideRevision(revision_number inForce, revision_number offered)
{
    if (offered > inForce)
        return revision_decision::adopt;
    return offered == inForce ? revision_decision::same : revision_decision::older;
}

} // namespace limpetpier
