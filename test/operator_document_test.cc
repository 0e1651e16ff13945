#include "limpetpier/state/operator_document.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

#include "limpetpier/coordination/section_edit.h"
#include "limpetpier/state/errors.h"

using namespace limpetpier;

namespace {

boost::json::object parseBody(const std::string& text)
{
    return boost::json::parse(text).as_object();
}

section_edit makeEdit(const std::string& id, const std::string& section, std::uint64_t basedOn, const std::string& body, const std::string& credential = "team")
{
    return { edit_id { id }, section, section_version { basedOn }, credential, parseBody(body) };
}

const std::string dataCentresBody = R"({"qc-laval":{"in":true}})";
const std::string comptoirBody = R"({"tenant":"tranchet","kind":"fan_out","searchers":[{"id":"a","data_centre":"qc-laval","address":"127.0.0.1:1","instance":0}]})";

operator_document makeDocument()
{
    return applyEdit(applyEdit({}, makeEdit("1", "data_centres", 0, dataCentresBody)), makeEdit("2", "front.comptoir", 0, comptoirBody));
}

std::string readSample(const std::string& name)
{
    std::ifstream in(std::string(LIMPETPIER_SOURCE_DIR) + "/samples/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("Edits are checked and versioned per section")
{
    const auto document = makeDocument();
    REQUIRE(document.revision == revision_number { 2 });

    SECTION("an edit is accepted after a change to another section")
    {
        const auto next = applyEdit(document, makeEdit("3", "data_centres", 1, R"({"qc-laval":{"in":false}})"));
        const auto after = applyEdit(next, makeEdit("4", "front.comptoir", 1, comptoirBody));
        REQUIRE(after.revision == revision_number { 4 });
        REQUIRE_FALSE(after.isInService(data_centre_id { "qc-laval" }));
        REQUIRE(document.eligibleSearchers.contains(searcher_id { "a" }));
        REQUIRE(after.eligibleSearchers.empty());
    }

    SECTION("an edit based on an outdated version of the section is a conflict")
    {
        const auto next = applyEdit(document, makeEdit("3", "front.comptoir", 1, comptoirBody));
        REQUIRE_THROWS_AS(applyEdit(next, makeEdit("4", "front.comptoir", 1, comptoirBody)), edit_conflict);
    }

    SECTION("an edit with another team's credential is rejected")
    {
        REQUIRE_THROWS_AS(applyEdit(document, makeEdit("3", "front.comptoir", 1, comptoirBody, "other")), credential_error);
    }

    SECTION("the document contains the ids of its recent edits, so that a retry can be recognized")
    {
        REQUIRE(containsEdit(document, edit_id { "2" }));
        REQUIRE_FALSE(containsEdit(document, edit_id { "3" }));
    }

    SECTION("formatting and parsing preserve the document")
    {
        const auto read = parseDocument(formatDocument(document));
        REQUIRE(formatDocument(read) == formatDocument(document));
        REQUIRE(read.fronts.size() == 1);
    }
}

TEST_CASE("An invalid section is rejected with an error that names the fault")
{
    const auto document = makeDocument();
    const auto expectRejected = [&](const std::string& body, const std::string& message) {
        REQUIRE_THROWS_WITH(applyEdit(document, makeEdit("3", "front.comptoir", 1, body)), Catch::Contains(message));
    };

    SECTION("a value of the wrong type") { expectRejected(R"({"tenant":"t","kind":"fan_out","slots":"two","searchers":[]})", "slots"); }
    SECTION("an unknown member") { expectRejected(R"({"tenant":"t","kind":"fan_out","slot":2,"searchers":[]})", "unknown member"); }
    SECTION("a front without searchers") { expectRejected(R"({"tenant":"t","kind":"fan_out","searchers":[]})", "at least one searcher"); }
    SECTION("a searcher in an unknown data centre") { expectRejected(R"({"tenant":"t","kind":"fan_out","searchers":[{"id":"a","data_centre":"x","address":"1:1"}]})", "a data centre of section"); }
    SECTION("a deadline above the maximum") { expectRejected(R"({"tenant":"t","kind":"fan_out","deadline_ms":99999,"searchers":[]})", "deadline_ms"); }
}

TEST_CASE("A node adopts only newer revisions")
{
    REQUIRE(decideRevision(revision_number { 3 }, revision_number { 4 }) == revision_decision::adopt);
    REQUIRE(decideRevision(revision_number { 3 }, revision_number { 3 }) == revision_decision::same);
    REQUIRE(decideRevision(revision_number { 3 }, revision_number { 2 }) == revision_decision::older);
}

TEST_CASE("Concurrent edits do not overwrite each other")
{
    const bool passed = rc::check("every accepted edit increments the revision by one; outdated edits are conflicts", [] {
        auto document = makeDocument();
        std::uint64_t acceptedEdits = 2;
        const auto attempts = *rc::gen::container<std::vector<std::pair<bool, int>>>(rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 4)));
        for (std::size_t number = 0; number < attempts.size(); ++number) {
            const auto& [isFront, lag] = attempts[number];
            const std::string section = isFront ? "front.comptoir" : "data_centres";
            const auto version = document.sections.at(section).version.value();
            const auto basedOn = version - std::min<std::uint64_t>(version, static_cast<std::uint64_t>(lag));
            try {
                document = applyEdit(document, makeEdit("e" + std::to_string(number), section, basedOn, isFront ? comptoirBody : dataCentresBody));
                RC_ASSERT(lag == 0);
                ++acceptedEdits;
            } catch (const edit_conflict&) {
                RC_ASSERT(lag > 0);
            }
        }
        RC_ASSERT(document.revision == revision_number { acceptedEdits });
    });
    REQUIRE(passed);
}

TEST_CASE("The sample documents are valid")
{
    for (const std::string name : { "tranchet.json", "hrafnsey.json" }) {
        operator_document document;
        const auto sections = boost::json::parse(readSample(name)).as_object();
        for (const auto& section : sections)
            document.sections[std::string(section.key())].body = section.value().as_object();
        INFO(name);
        REQUIRE_NOTHROW(updateDerivedFields(document));
        REQUIRE(document.fronts.size() == 4);
    }
}
