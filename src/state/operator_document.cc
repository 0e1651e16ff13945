#include "limpetpier/state/operator_document.h"

#include <boost/json.hpp>
#include <set>

#include "limpetpier/state/errors.h"

namespace limpetpier {

namespace json = boost::json;

namespace {

constexpr std::uint64_t documentFormat = 1;

// Connections per searcher in addition to its slots, for cancellations and state requests.
constexpr std::uint32_t extraConnections = 2;

constexpr std::string_view dataCentresSection = "data_centres";
constexpr std::string_view frontSectionPrefix = "front.";

// Reads typed members of a JSON object. Throws document_error with the member's path if a value is invalid.
class object_reader {
public:
    object_reader(std::string section, std::string path, const json::object& object)
        : m_section(std::move(section))
        , m_path(std::move(path))
        , m_object(object)
    {
    }

    [[noreturn]] void fail(const std::string& name, const std::string& found, const std::string& expected, const std::string& remedy) const
    {
        throw document_error(m_section, m_path + name, found, expected, remedy);
    }

    std::string text(const std::string& name) const
    {
        const auto* value = m_object.if_contains(name);
        if (!value || !value->is_string() || value->get_string().empty())
            fail(name, describe(value), "a non-empty string", "write \"" + name + "\": \"...\"");
        return std::string(value->get_string());
    }

    std::uint64_t number(const std::string& name, std::uint64_t fallback, std::uint64_t min, std::uint64_t max) const
    {
        const auto* value = m_object.if_contains(name);
        if (!value)
            return fallback;
        std::uint64_t result = 0;
        if (value->is_int64() && value->get_int64() >= 0)
            result = static_cast<std::uint64_t>(value->get_int64());
        else if (value->is_uint64())
            result = value->get_uint64();
        else
            fail(name, describe(value), expectedRange(min, max), "write an integer without quotes");
        if (result < min || result > max)
            fail(name, describe(value), expectedRange(min, max), "set a value in this range");
        return result;
    }

    double fraction(const std::string& name, double fallback) const
    {
        const auto* value = m_object.if_contains(name);
        if (!value)
            return fallback;
        if (!value->is_number())
            fail(name, describe(value), "a number from 0 to 1", "set a decimal fraction in this range, without quotes");
        const auto result = value->to_number<double>();
        if (result < 0 || result > 1)
            fail(name, describe(value), "a number from 0 to 1", "set a decimal fraction in this range, without quotes");
        return result;
    }

    bool flag(const std::string& name, bool fallback) const
    {
        const auto* value = m_object.if_contains(name);
        if (!value)
            return fallback;
        if (!value->is_bool())
            fail(name, describe(value), "true or false", "write true or false without quotes");
        return value->get_bool();
    }

    // Rejects unknown members, so that misspelt names are not silently ignored.
    void rejectUnknownMembers(const std::set<std::string>& allowed) const
    {
        for (const auto& member : m_object) {
            const std::string name(member.key());
            if (!allowed.contains(name))
                fail(name, "an unknown member", "one of the members listed in docs/CONFIGURATION.md", "correct the name or remove the member");
        }
    }

    static std::string describe(const json::value* value)
    {
        return value ? json::serialize(*value) : "nothing";
    }

private:
    static std::string expectedRange(std::uint64_t min, std::uint64_t max)
    {
        return "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    }

    std::string m_section;
    std::string m_path;
    const json::object& m_object;
};

searcher_spec readSearcher(const object_reader& reader)
{
    reader.rejectUnknownMembers({ "id", "data_centre", "address", "instance", "leaving" });
    searcher_spec searcher;
    searcher.id = searcher_id { reader.text("id") };
    searcher.dataCentre = data_centre_id { reader.text("data_centre") };
    searcher.address = reader.text("address");
    searcher.instance = static_cast<std::uint32_t>(reader.number("instance", 0, 0, 1'000'000));
    searcher.leaving = reader.flag("leaving", false);
    if (searcher.address.find(':') == std::string::npos)
        reader.fail("address", searcher.address, "IP:port", "append the port to the IP address");
    return searcher;
}

front_kind readKind(const object_reader& reader)
{
    const auto kind = reader.text("kind");
    if (kind == "fan_out")
        return front_kind::fan_out;
    if (kind == "single")
        return front_kind::single;
    reader.fail("kind", kind, "fan_out or single", "use one of these values");
}

shortfall_policy readShortfall(const object_reader& reader, const json::object& body)
{
    if (!body.contains("shortfall"))
        return shortfall_policy::answer_early;
    const auto policy = reader.text("shortfall");
    if (policy == "answer_early")
        return shortfall_policy::answer_early;
    if (policy == "refuse")
        return shortfall_policy::refuse;
    reader.fail("shortfall", policy, "answer_early or refuse", "use one of these values");
}

front_spec readFront(const std::string& section, const json::object& body)
{
    const object_reader reader(section, "", body);
    reader.rejectUnknownMembers({ "tenant", "kind", "deadline_ms", "least_coverage", "shortfall", "priority", "slots", "connections", "cold_allowance", "hedge_budget", "searchers" });
    front_spec front;
    front.id = front_id { section.substr(frontSectionPrefix.size()) };
    front.tenant = tenant_id { reader.text("tenant") };
    front.kind = readKind(reader);
    front.deadline = milliseconds { reader.number("deadline_ms", 200, 1, maxDeadline.count()) };
    front.minCoverage = reader.fraction("least_coverage", 0);
    front.shortfall = readShortfall(reader, body);
    front.priority = static_cast<std::uint32_t>(reader.number("priority", 1, 0, 9));
    front.slots = static_cast<std::uint32_t>(reader.number("slots", 2, 1, 1000));
    front.connections = static_cast<std::uint32_t>(reader.number("connections", 25, front.slots + extraConnections, 10'000));
    front.coldAllowance = static_cast<std::uint32_t>(reader.number("cold_allowance", 1, 1, front.slots));
    front.hedgeBudget = reader.fraction("hedge_budget", 0.05);

    const auto* searchers = body.if_contains("searchers");
    if (!searchers || !searchers->is_array() || searchers->get_array().empty())
        reader.fail("searchers", object_reader::describe(searchers), "a list with at least one searcher", "list the searchers of the front");
    std::size_t position = 0;
    for (const auto& item : searchers->get_array()) {
        const std::string path = "searchers[" + std::to_string(position++) + "].";
        if (!item.is_object())
            throw document_error(section, path, json::serialize(item), "an object", "write { \"id\": ..., ... }");
        front.searchers.push_back(readSearcher(object_reader(section, path, item.get_object())));
    }
    return front;
}

void readDataCentres(operator_document& document, const json::object& body)
{
    const std::string section { dataCentresSection };
    for (const auto& member : body) {
        const std::string name(member.key());
        if (!member.value().is_object())
            throw document_error(section, name, json::serialize(member.value()), "an object", "write { \"in\": true }");
        const object_reader reader(section, name + ".", member.value().get_object());
        reader.rejectUnknownMembers({ "in" });
        const data_centre_id id { name };
        document.dataCentres[id] = { id, reader.flag("in", true) };
    }
}

void validateReferences(const operator_document& document)
{
    std::set<searcher_id> searcherIds;
    for (const auto& [id, front] : document.fronts) {
        for (const auto& searcher : front.searchers) {
            const auto section = std::string { frontSectionPrefix } + id.value();
            if (!document.dataCentres.contains(searcher.dataCentre))
                throw document_error(section, "searchers." + searcher.id.value() + ".data_centre", searcher.dataCentre.value(), "a data centre of section data_centres", "add the data centre to that section first");
            if (!searcherIds.insert(searcher.id).second)
                throw document_error(section, "searchers." + searcher.id.value(), "a duplicate id", "a unique searcher id", "rename one of the searchers");
        }
    }
}

document_section readSection(const std::string& name, const json::value& value)
{
    if (!value.is_object())
        throw document_error(name, "", json::serialize(value), "an object", "restore the section from an earlier revision");
    const auto& object = value.get_object();
    const object_reader reader(name, "", object);
    reader.rejectUnknownMembers({ "version", "salt", "credential_hash", "body" });
    document_section section;
    section.version = section_version { reader.number("version", 0, 0, UINT64_MAX) };
    section.salt = reader.text("salt");
    section.credentialHash = reader.text("credential_hash");
    const auto* body = object.if_contains("body");
    if (!body || !body->is_object())
        reader.fail("body", object_reader::describe(body), "an object", "restore the section's body from an earlier revision");
    section.body = body->get_object();
    return section;
}

} // namespace

bool operator_document::isInService(const data_centre_id& id) const
{
    const auto found = dataCentres.find(id);
    return found != dataCentres.end() && found->second.inService;
}

bool operator_document::isEligible(const searcher_spec& searcher) const
{
    return !searcher.leaving && isInService(searcher.dataCentre);
}

void updateDerivedFields(operator_document& document)
{
    document.dataCentres.clear();
    document.fronts.clear();
    document.eligibleSearchers.clear();
    for (const auto& [name, section] : document.sections) {
        if (name == dataCentresSection) {
            readDataCentres(document, section.body);
            continue;
        }
        if (!name.starts_with(frontSectionPrefix) || name.size() == frontSectionPrefix.size())
            throw document_error(name, "", "an unknown section name", "data_centres or front.NAME", "rename the section");
        auto front = readFront(name, section.body);
        document.fronts[front.id] = std::move(front);
    }
    validateReferences(document);
    for (const auto& [id, front] : document.fronts) {
        for (const auto& searcher : front.searchers) {
            if (document.isEligible(searcher))
                document.eligibleSearchers.insert(searcher.id);
        }
    }
}

operator_document parseDocument(const std::string& text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error || !value.is_object())
        throw document_error("(document)", "", error ? "malformed JSON: " + error.message() : "no JSON object", "a single JSON object", "check commas, quotes and brackets");
    const object_reader reader("(document)", "", value.get_object());
    reader.rejectUnknownMembers({ "format", "revision", "edits", "sections" });
    if (reader.number("format", 0, 0, UINT64_MAX) != documentFormat)
        reader.fail("format", object_reader::describe(value.get_object().if_contains("format")), "1", "use limpetctl of the release that wrote the document");

    operator_document document;
    document.revision = revision_number { reader.number("revision", 0, 0, UINT64_MAX) };
    if (const auto* edits = value.get_object().if_contains("edits"); edits && edits->is_array()) {
        for (const auto& edit : edits->get_array())
            document.recentEdits.emplace_back(edit.is_string() ? std::string(edit.get_string()) : std::string());
    }
    const auto* sections = value.get_object().if_contains("sections");
    if (!sections || !sections->is_object())
        reader.fail("sections", object_reader::describe(sections), "an object of sections", "add \"sections\": {}");
    for (const auto& member : sections->get_object())
        document.sections[std::string(member.key())] = readSection(std::string(member.key()), member.value());
    updateDerivedFields(document);
    return document;
}

std::string formatDocument(const operator_document& document)
{
    json::array edits;
    for (const auto& edit : document.recentEdits)
        edits.emplace_back(edit.value());
    json::object sections;
    for (const auto& [name, section] : document.sections) {
        sections[name] = json::object {
            { "version", section.version.value() },
            { "salt", section.salt },
            { "credential_hash", section.credentialHash },
            { "body", section.body },
        };
    }
    return json::serialize(json::object {
        { "format", documentFormat },
        { "revision", document.revision.value() },
        { "edits", std::move(edits) },
        { "sections", std::move(sections) },
    });
}

} // namespace limpetpier
