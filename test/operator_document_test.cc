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

boost::json::object bodyOf(const std::string& text)
{
    return boost::json::parse(text).as_object();
}

section_edit edit(const std::string& id, const std::string& section, std::uint64_t basedOn, const std::string& body, const std::string& credential = "team")
{
    return { edit_id { id }, section, section_version { basedOn }, credential, bodyOf(body) };
}

const std::string centres = R"({"qc-laval":{"in":true}})";
const std::string comptoir = R"({"tenant":"tranchet","kind":"fan_out","searchers":[{"id":"a","data_centre":"qc-laval","address":"127.0.0.1:1","instance":0}]})";

operator_document twoSections()
{
    return applyEdit(applyEdit({}, edit("1", "data_centres", 0, centres)), edit("2", "front.comptoir", 0, comptoir));
}

std::string readSample(const std::string& name)
{
    std::ifstream in(std::string(LIMPETPIER_SOURCE_DIR) + "/samples/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("Teams edit their own sections")
{
    const auto document = twoSections();
    REQUIRE(document.revision == revision_number { 2 });

    SECTION("a change of another section does not matter")
    {
        const auto next = applyEdit(document, edit("3", "data_centres", 1, R"({"qc-laval":{"in":false}})"));
        const auto after = applyEdit(next, edit("4", "front.comptoir", 1, comptoir));
        REQUIRE(after.revision == revision_number { 4 });
        REQUIRE_FALSE(after.isInService(data_centre_id { "qc-laval" }));
        REQUIRE(document.eligibleSearchers.contains(searcher_id { "a" }));
        REQUIRE(after.eligibleSearchers.empty());
    }

    SECTION("a change of the same section is a conflict")
    {
        const auto next = applyEdit(document, edit("3", "front.comptoir", 1, comptoir));
        REQUIRE_THROWS_AS(applyEdit(next, edit("4", "front.comptoir", 1, comptoir)), edit_conflict);
    }

    SECTION("another team's credential does not open the section")
    {
        REQUIRE_THROWS_AS(applyEdit(document, edit("3", "front.comptoir", 1, comptoir, "other")), credential_error);
    }

    SECTION("an edit is recognised after its answer was lost")
    {
        REQUIRE(containsEdit(document, edit_id { "2" }));
        REQUIRE_FALSE(containsEdit(document, edit_id { "3" }));
    }

    SECTION("the stored form reads back as the same document")
    {
        const auto read = parseDocument(formatDocument(document));
        REQUIRE(formatDocument(read) == formatDocument(document));
        REQUIRE(read.fronts.size() == 1);
    }
}

TEST_CASE("A wrong document is refused before it is accepted")
{
    const auto document = twoSections();
    const auto refuses = [&](const std::string& body, const std::string& part) {
        REQUIRE_THROWS_WITH(applyEdit(document, edit("3", "front.comptoir", 1, body)), Catch::Contains(part));
    };

    SECTION("a value of the wrong type names its path") { refuses(R"({"tenant":"t","kind":"fan_out","slots":"two","searchers":[]})", "slots"); }
    SECTION("an unknown member") { refuses(R"({"tenant":"t","kind":"fan_out","slot":2,"searchers":[]})", "unknown member"); }
    SECTION("a front without searchers") { refuses(R"({"tenant":"t","kind":"fan_out","searchers":[]})", "at least one searcher"); }
    SECTION("a searcher in an unknown data centre") { refuses(R"({"tenant":"t","kind":"fan_out","searchers":[{"id":"a","data_centre":"x","address":"1:1"}]})", "a data centre of section"); }
    SECTION("a deadline beyond what successors wait for") { refuses(R"({"tenant":"t","kind":"fan_out","deadline_ms":99999,"searchers":[]})", "deadline_ms"); }
}

TEST_CASE("A node never goes back to an earlier revision")
{
    REQUIRE(decideRevision(revision_number { 3 }, revision_number { 4 }) == revision_decision::adopt);
    REQUIRE(decideRevision(revision_number { 3 }, revision_number { 3 }) == revision_decision::same);
    REQUIRE(decideRevision(revision_number { 3 }, revision_number { 2 }) == revision_decision::older);
}

TEST_CASE("Racing operators lose no accepted edit")
{
    const bool holds = rc::check("every accepted edit is one revision", [] {
        auto document = twoSections();
        std::uint64_t accepted = 2;
        const auto attempts = *rc::gen::container<std::vector<std::pair<bool, int>>>(rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 4)));
        for (std::size_t number = 0; number < attempts.size(); ++number) {
            const auto& [isFront, lag] = attempts[number];
            const std::string section = isFront ? "front.comptoir" : "data_centres";
            const auto version = document.sections.at(section).version.value();
            const auto basedOn = version - std::min<std::uint64_t>(version, static_cast<std::uint64_t>(lag));
            try {
                document = applyEdit(document, edit("e" + std::to_string(number), section, basedOn, isFront ? comptoir : centres));
                RC_ASSERT(lag == 0);
                ++accepted;
            } catch (const edit_conflict&) {
                RC_ASSERT(lag > 0);
            }
        }
        RC_ASSERT(document.revision == revision_number { accepted });
    });
    REQUIRE(holds);
}

TEST_CASE("The sample deployments are valid")
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
