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

// A process of a target that serves requests at one address.
struct searcher_spec {
    searcher_id id;
    data_centre_id dataCentre;
    std::string address; // "IP:port"
    std::uint32_t instance = 0; // searchers with the same instance are replicas of each other
    bool leaving = false; // being removed by operators; gets no new requests
};

// How a request to a front is distributed over its searchers.
enum class front_kind : std::uint8_t {
    fan_out, // a search over all shards
    single, // a non-idempotent request to any one searcher
};

// What a front does if it cannot reach its minimum coverage before the deadline.
enum class shortfall_policy : std::uint8_t {
    answer_early, // answer on time with lower coverage and a label that states it
    refuse, // return no results below the minimum coverage
};

// A service that operators configure in front of a set of searchers.
struct front_spec {
    front_id id;
    tenant_id tenant;
    front_kind kind = front_kind::fan_out;
    milliseconds deadline { 200 };
    double minCoverage = 0; // share of the key space, from 0 to 1
    shortfall_policy shortfall = shortfall_policy::answer_early;
    std::uint32_t priority = 1; // 0 is the highest and shed last
    std::uint32_t slots = 2; // concurrent requests per searcher
    std::uint32_t connections = 25; // open connections per searcher
    std::uint32_t coldAllowance = 1; // concurrent requests on a cold searcher
    double hedgeBudget = 0.05; // hedged sub-requests as a share of first attempts, from 0 to 1
    std::vector<searcher_spec> searchers;
};

// A data centre that operators can take out of service.
struct data_centre_spec {
    data_centre_id id;
    bool inService = true;
};

// A section of the document as stored, owned by one team.
struct document_section {
    section_version version;
    std::string salt;
    std::string credentialHash; // SHA-256 of salt and credential, in hex
    boost::json::object body;
};

// The configuration document that operators edit one section at a time.
//
// Section names are "data_centres" and "front.NAME". parseDocument() validates the whole document; its
// document_error names the section, the path, the value found, the expected value and the remedy.
struct operator_document {
    revision_number revision;
    std::vector<edit_id> recentEdits; // newest last; identifies retries of an edit whose response was lost
    std::map<std::string, document_section> sections;

    // Computed from the sections by updateDerivedFields().
    std::map<data_centre_id, data_centre_spec> dataCentres;
    std::map<front_id, front_spec> fronts;
    std::set<searcher_id> eligibleSearchers; // searchers for which isEligible() holds

    // Returns whether the data centre exists and is in service.
    [[nodiscard]] bool isInService(const data_centre_id& id) const;

    // Returns whether the searcher may get new requests: it is not leaving and its data centre is in service.
    [[nodiscard]] bool isEligible(const searcher_spec& searcher) const;
};

// Parses and validates a whole document. Throws document_error.
operator_document parseDocument(const std::string& text);

// Serializes the document to the JSON text that parseDocument() accepts.
std::string formatDocument(const operator_document& document);

// Recomputes dataCentres, fronts and eligibleSearchers from the section bodies. Throws document_error.
void updateDerivedFields(operator_document& document);

} // namespace limpetpier
