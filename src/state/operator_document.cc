#include "limpetpier/state/operator_document.h"

#include <boost/json.hpp>
#include <set>

#include "limpetpier/state/errors.h"

namespace limpetpier {

namespace json = boost::json;

namespace {

constexpr std::uint64_t documentFormat = 1;

// Connections of a searcher beyond its slots, for cancellations and refreshes.
constexpr std::uint32_t spareConnections = 2;

constexpr std::string_view dataCentresSection = "data_centres";
constexpr std::string_view frontSectionPrefix = "front.";

// Reads typed members of one JSON object and reports each fault with its path.
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
            fail(name, show(value), "a non-empty string", "write \"" + name + "\": \"...\"");
        return std::string(value->get_string());
    }

    std::uint64_t number(const std::string& name, std::uint64_t fallback, std::uint64_t least, std::uint64_t most) const
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
            fail(name, show(value), range(least, most), "write a whole number");
        if (result < least || result > most)
            fail(name, show(value), range(least, most), "choose a value in that range");
        return result;
    }

    double share(const std::string& name, double fallback) const
    {
        const auto* value = m_object.if_contains(name);
        if (!value)
            return fallback;
        if (!value->is_number())
            fail(name, show(value), "a number from 0 to 1", "write a decimal fraction");
        const auto result = value->to_number<double>();
        if (result < 0 || result > 1)
            fail(name, show(value), "a number from 0 to 1", "write a decimal fraction");
        return result;
    }

    bool flag(const std::string& name, bool fallback) const
    {
        const auto* value = m_object.if_contains(name);
        if (!value)
            return fallback;
        if (!value->is_bool())
            fail(name, show(value), "true or false", "remove the quotes or numbers around it");
        return value->get_bool();
    }

    // Refuses members that no rule knows, so a misspelt name is never silently ignored.
    void onlyMembers(const std::set<std::string>& allowed) const
    {
        for (const auto& member : m_object) {
            const std::string name(member.key());
            if (!allowed.contains(name))
                fail(name, "an unknown member", "one of the members in docs/CONFIGURATION.md", "correct the spelling or remove it");
        }
    }

    static std::string show(const json::value* value)
    {
        return value ? json::serialize(*value) : "nothing";
    }

private:
    static std::string range(std::uint64_t least, std::uint64_t most)
    {
        return "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
    }

    std::string m_section;
    std::string m_path;
    const json::object& m_object;
};

searcher_spec readSearcher(const object_reader& reader)
{
    reader.onlyMembers({ "id", "data_centre", "address", "instance", "leaving" });
    searcher_spec searcher;
    searcher.id = searcher_id { reader.text("id") };
    searcher.dataCentre = data_centre_id { reader.text("data_centre") };
    searcher.address = reader.text("address");
    searcher.instance = static_cast<std::uint32_t>(reader.number("instance", 0, 0, 1'000'000));
    searcher.leaving = reader.flag("leaving", false);
    if (searcher.address.find(':') == std::string::npos)
        reader.fail("address", searcher.address, "IP:port", "add the port");
    return searcher;
}

front_kind readKind(const object_reader& reader)
{
    const auto kind = reader.text("kind");
    if (kind == "fan_out")
        return front_kind::fan_out;
    if (kind == "single")
        return front_kind::single;
    reader.fail("kind", kind, "fan_out or single", "choose one of the two");
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
    reader.fail("shortfall", policy, "answer_early or refuse", "choose one of the two");
}

front_spec readFront(const std::string& section, const json::object& body)
{
    const object_reader reader(section, "", body);
    reader.onlyMembers({ "tenant", "kind", "deadline_ms", "least_coverage", "shortfall", "priority", "slots", "connections", "cold_allowance", "hedge_budget", "searchers" });
    front_spec front;
    front.id = front_id { section.substr(frontSectionPrefix.size()) };
    front.tenant = tenant_id { reader.text("tenant") };
    front.kind = readKind(reader);
    front.deadline = milliseconds { reader.number("deadline_ms", 200, 1, maxDeadline.count()) };
    front.minCoverage = reader.share("least_coverage", 0);
    front.shortfall = readShortfall(reader, body);
    front.priority = static_cast<std::uint32_t>(reader.number("priority", 1, 0, 9));
    front.slots = static_cast<std::uint32_t>(reader.number("slots", 2, 1, 1000));
    front.connections = static_cast<std::uint32_t>(reader.number("connections", 25, front.slots + spareConnections, 10'000));
    front.coldAllowance = static_cast<std::uint32_t>(reader.number("cold_allowance", 1, 1, front.slots));
    front.hedgeBudget = reader.share("hedge_budget", 0.05);

    const auto* searchers = body.if_contains("searchers");
    if (!searchers || !searchers->is_array() || searchers->get_array().empty())
        reader.fail("searchers", object_reader::show(searchers), "a list with at least one searcher", "name the searchers of the front");
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
        reader.onlyMembers({ "in" });
        const data_centre_id id { name };
        document.dataCentres[id] = { id, reader.flag("in", true) };
    }
}

void checkReferences(const operator_document& document)
{
    std::set<searcher_id> seen;
    for (const auto& [id, front] : document.fronts) {
        for (const auto& searcher : front.searchers) {
            const auto section = std::string { frontSectionPrefix } + id.value();
            if (!document.dataCentres.contains(searcher.dataCentre))
                throw document_error(section, "searchers." + searcher.id.value() + ".data_centre", searcher.dataCentre.value(), "a data centre of section data_centres", "add it there first");
            if (!seen.insert(searcher.id).second)
                throw document_error(section, "searchers." + searcher.id.value(), "the id twice", "an id that no other searcher has", "rename one of them");
        }
    }
}

document_section readSection(const std::string& name, const json::value& value)
{
    if (!value.is_object())
        throw document_error(name, "", json::serialize(value), "an object", "restore the section");
    const auto& object = value.get_object();
    const object_reader reader(name, "", object);
    reader.onlyMembers({ "version", "salt", "credential_hash", "body" });
    document_section section;
    section.version = section_version { reader.number("version", 0, 0, UINT64_MAX) };
    section.salt = reader.text("salt");
    section.credentialHash = reader.text("credential_hash");
    const auto* body = object.if_contains("body");
    if (!body || !body->is_object())
        reader.fail("body", object_reader::show(body), "an object", "restore the section's body");
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
    checkReferences(document);
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
        throw document_error("(whole)", "", error ? "malformed JSON: " + error.message() : "no object", "one JSON object", "check commas, quotes and brackets");
    const object_reader reader("(whole)", "", value.get_object());
    reader.onlyMembers({ "format", "revision", "edits", "sections" });
    if (reader.number("format", 0, 0, UINT64_MAX) != documentFormat)
        reader.fail("format", "another format", "1", "use a limpetctl of the matching release");

    operator_document document;
    document.revision = revision_number { reader.number("revision", 0, 0, UINT64_MAX) };
    if (const auto* edits = value.get_object().if_contains("edits"); edits && edits->is_array()) {
        for (const auto& edit : edits->get_array())
            document.recentEdits.emplace_back(edit.is_string() ? std::string(edit.get_string()) : std::string());
    }
    const auto* sections = value.get_object().if_contains("sections");
    if (!sections || !sections->is_object())
        reader.fail("sections", object_reader::show(sections), "an object of sections", "add \"sections\": {}");
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
