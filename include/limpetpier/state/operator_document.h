#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "limpetpier/state/clock.h"
#include "limpetpier/state/ids.h"

namespace limpetpier {

// A process of a target that answers requests at one address.
struct searcher_spec {
    searcher_id id;
    data_centre_id dataCentre;
    std::string address; // "IP:port"
    std::uint32_t instance = 0; // searchers of one instance are replicas of each other
    bool leaving = false; // operators are taking this searcher away
};

// What one request of a front asks of its searchers.
enum class front_kind : std::uint8_t {
    fan_out, // a search over every shard
    single, // one non-idempotent request to any one searcher
};

// What to do when the deadline and the least coverage cannot both be had.
enum class shortfall_policy : std::uint8_t {
    answer_early, // give the label and less coverage on time
    refuse, // give no answer below the least coverage
};

// A service that operators put before a set of searchers.
struct front_spec {
    front_id id;
    tenant_id tenant;
    front_kind kind = front_kind::fan_out;
    milliseconds deadline { 200 };
    double minCoverage = 0;
    shortfall_policy shortfall = shortfall_policy::answer_early;
    std::uint32_t priority = 1; // 0 is shed last
    std::uint32_t slots = 2; // requests that one searcher runs at a time
    std::uint32_t connections = 25; // open connections that one searcher accepts
    std::uint32_t coldAllowance = 1; // requests that a cold searcher bears at a time
    double hedgeBudget = 0.05; // extra sub-requests as a share of first tries
    std::vector<searcher_spec> searchers;
};

// A zone that operators can take out of service.
struct data_centre_spec {
    data_centre_id id;
    bool inService = true;
};

// One team's part of the document, as stored.
struct document_section {
    section_version version;
    std::string salt;
    std::string credentialHash; // SHA-256 of salt and credential, in hex
    boost::json::object body;
};

// The document that operators edit, section by section.
//
// Section names are "data_centres" and "front.NAME". Parse it with parseDocument(), which checks every rule
// before it returns; a document_error names section, path, found, expected and the remedy.
struct operator_document {
    revision_number revision;
    std::vector<edit_id> recentEdits; // newest last; recognises an edit whose answer was lost
    std::map<std::string, document_section> sections;

    // Derived from the sections.
    std::map<data_centre_id, data_centre_spec> dataCentres;
    std::map<front_id, front_spec> fronts;
    std::set<searcher_id> eligibleSearchers; // neither leaving nor in a data centre that is out

    [[nodiscard]] bool isInService(const data_centre_id& id) const;
    [[nodiscard]] bool isEligible(const searcher_spec& searcher) const;
};

// Reads and checks a whole document. Throws document_error.
operator_document parseDocument(const std::string& text);

// Writes the document in the form that parseDocument() reads.
std::string formatDocument(const operator_document& document);

// Recomputes the typed parts from the section bodies. Throws document_error.
void updateDerivedFields(operator_document& document);

} // namespace limpetpier
