#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>

#include "document_editor.h"
#include "limpetpier/state/errors.h"
#include "limpetpier/transport/http.h"
#include "limpetpier/transport/settings.h"
#include "log_analysis.h"
#include "node_status.h"

namespace limpetpier {

namespace json = boost::json;

namespace {

// Exit codes.
constexpr int exitUsage = 2;
constexpr int exitInvalid = 3;
constexpr int exitConflict = 4;
constexpr int exitCredential = 5;
constexpr int exitUnavailable = 6;
constexpr int exitNotInForce = 7;

constexpr milliseconds statusTimeout { 500 };
constexpr milliseconds statusPollInterval { 50 };

constexpr const char* usage = R"(Commands:
  validate SECTION FILE        check a section's body against the stored document without changing it
  apply SECTION FILE           replace a section's body
  show [SECTION]               print the document or one section
  diff SECTION FILE            print the fields that a file would change
  history                      print the ids of the recent edits, newest last
  data-centre NAME out|in      take a data centre out of service or return it to service
  drain SEARCHER [undo]        send a searcher no new requests, or undo that
  status                       print epoch and revision of the nodes in --nodes; --format json prints their whole status
  explain REQUEST FILE...      print what happened to one request and why, from the logs of processes
  summary FILE...              count outcomes in the logs of processes; --plot FILE plots them over time as SVG
The credential of the section is read from LIMPET_CREDENTIAL. FILE may be - for standard input.
Exit codes: 0 done, 2 usage, 3 invalid document, 4 conflict, 5 credential, 6 store or node unavailable,
7 accepted but not in force on every node in time.)";

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "store", "", "IP:port of the platform's key-value service", setting_kind::address, false, 0, 0, false },
        { "nodes", "", "IP:port list of the HTTP ports of nodes", setting_kind::text, false, 0, 0, false },
        { "based-on", "", "Version of the section that the edit is based on; the current version if empty", setting_kind::number, false, 0, INT32_MAX, false },
        { "wait-ms", "0", "Maximum time to wait until the edit is in force on all --nodes, in milliseconds", setting_kind::number, true, 0, 600'000, false },
        { "plot", "", "File for the SVG plot of summary", setting_kind::text, false, 0, 0, false },
        { "format", "text", "text or json", setting_kind::text, true, 0, 0, false },
        { "credential", "", "Credential of the section's team", setting_kind::text, false, 0, 0, true },
    };
    return table;
}

class usage_error : public settings_error {
public:
    using settings_error::settings_error;
};

std::string readFile(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream in(path);
    if (!in)
        throw usage_error("file " + path + " cannot be read; check the path");
    text << in.rdbuf();
    return text.str();
}

json::object readBody(const std::string& section, const std::string& path)
{
    boost::system::error_code error;
    const auto value = json::parse(readFile(path), error);
    if (error || !value.is_object())
        throw document_error(section, "", error ? "malformed JSON: " + error.message() : "no object", "one JSON object", "check commas, quotes and brackets");
    return value.get_object();
}

edit_id newEditId()
{
    std::random_device random;
    std::ostringstream text;
    text << std::hex << wallNow().time_since_epoch().count() << "-" << random() << random();
    return edit_id { text.str() };
}

// Runs one command of limpetctl.
class control_tool {
public:
    control_tool(asio::io_context& io, const program_settings& settings)
        : m_io(io)
        , m_settings(settings)
        , m_json(settings.text("format") == "json")
    {
        if (!m_json && settings.text("format") != "text")
            throw usage_error("--format: found '" + settings.text("format") + "', allowed is text or json");
    }

    awaitable<int> run()
    {
        const auto command = argument(0, "a command");
        if (command == "validate")
            co_return co_await validate();
        if (command == "apply")
            co_return co_await apply(argument(1, "a section"), readBody(argument(1, "a section"), argument(2, "a file")));
        if (command == "show")
            co_return co_await show();
        if (command == "diff")
            co_return co_await diff();
        if (command == "history")
            co_return co_await history();
        if (command == "data-centre")
            co_return co_await setDataCentreService();
        if (command == "drain")
            co_return co_await drain();
        if (command == "status")
            co_return co_await status();
        if (command == "explain") {
            std::cout << explainRequest(readLogs(2), argument(1, "a request id"));
            co_return EXIT_SUCCESS;
        }
        if (command == "summary")
            co_return summary();
        throw usage_error("unknown command '" + command + "'\n" + usage);
    }

private:
    std::string argument(std::size_t position, const std::string& what) const
    {
        if (m_settings.positional().size() <= position)
            throw usage_error("missing " + what + "\n" + usage);
        return m_settings.positional()[position];
    }

    document_editor editor() const
    {
        if (m_settings.text("store").empty())
            throw usage_error("--store or LIMPET_STORE: found nothing, allowed is IP:port");
        return { m_io.get_executor(), m_settings.text("store") };
    }

    std::vector<log_entry> readLogs(std::size_t firstFile) const
    {
        argument(firstFile, "a log file");
        std::vector<log_entry> entries;
        for (std::size_t position = firstFile; position < m_settings.positional().size(); ++position) {
            std::istringstream text(readFile(m_settings.positional()[position]));
            auto read = readLog(text);
            std::move(read.begin(), read.end(), std::back_inserter(entries));
        }
        return entries;
    }

    int summary() const
    {
        const auto entries = readLogs(1);
        std::cout << summarizeOutcomes(entries);
        if (const auto& path = m_settings.text("plot"); !path.empty() && !(std::ofstream(path) << plotOutcomes(entries)))
            throw usage_error("--plot: file " + path + " cannot be written; check the path");
        return EXIT_SUCCESS;
    }

    void print(const std::string& text, const json::object& structured) const
    {
        std::cout << (m_json ? json::serialize(structured) : text) << "\n";
    }

    awaitable<int> validate()
    {
        const auto section = argument(1, "a section");
        auto document = co_await editor().read();
        document.sections[section].body = readBody(section, argument(2, "a file"));
        updateDerivedFields(document);
        print("section " + section + " is valid", json::object { { "valid", true }, { "section", section } });
        co_return EXIT_SUCCESS;
    }

    section_version versionOf(const operator_document& document, const std::string& section) const
    {
        if (!m_settings.text("based-on").empty())
            return section_version { static_cast<std::uint64_t>(m_settings.number("based-on")) };
        const auto found = document.sections.find(section);
        return found == document.sections.end() ? section_version {} : found->second.version;
    }

    awaitable<int> apply(std::string section, json::object body)
    {
        auto store = editor();
        const auto current = co_await store.read();
        section_edit edit { newEditId(), section, versionOf(current, section), m_settings.text("credential"), std::move(body) };
        const auto result = co_await store.apply(std::move(edit));
        print("section " + section + " is at version " + std::to_string(result.version.value()) + ", document at revision " + std::to_string(result.revision.value()),
            json::object { { "section", section }, { "version", result.version.value() }, { "revision", result.revision.value() }, { "answer_was_lost", result.wasAlreadyApplied } });
        co_return co_await waitInForce(result.revision);
    }

    awaitable<int> waitInForce(revision_number revision)
    {
        const auto nodes = m_settings.list("nodes");
        const milliseconds wait { m_settings.number("wait-ms") };
        if (wait.count() == 0 || nodes.empty())
            co_return EXIT_SUCCESS;
        const auto startedAt = monotonic_clock::now();
        std::size_t inForce = 0;
        while (monotonic_clock::now() < startedAt + wait) {
            inForce = 0;
            for (const auto& node : nodes) {
                const auto state = co_await statusOf(node);
                if (state && state->revision >= revision.value())
                    ++inForce;
            }
            if (inForce == nodes.size())
                break;
            asio::steady_timer timer(m_io, statusPollInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - startedAt).count();
        print("in force on " + std::to_string(inForce) + " of " + std::to_string(nodes.size()) + " nodes after " + std::to_string(elapsed) + " ms",
            json::object { { "in_force", inForce }, { "nodes", nodes.size() }, { "ms", elapsed } });
        co_return inForce == nodes.size() ? EXIT_SUCCESS : exitNotInForce;
    }

    awaitable<int> show()
    {
        const auto document = co_await editor().read();
        if (m_settings.positional().size() > 1) {
            const auto found = document.sections.find(m_settings.positional()[1]);
            if (found == document.sections.end())
                throw usage_error("no section '" + m_settings.positional()[1] + "'; limpetctl show lists them");
            std::cout << json::serialize(found->second.body) << "\n";
            co_return EXIT_SUCCESS;
        }
        json::object sections;
        std::string text = "revision " + std::to_string(document.revision.value());
        for (const auto& [name, section] : document.sections) {
            text += "\n" + name + " version " + std::to_string(section.version.value());
            sections[name] = json::object { { "version", section.version.value() }, { "body", section.body } };
        }
        print(text, json::object { { "revision", document.revision.value() }, { "sections", std::move(sections) } });
        co_return EXIT_SUCCESS;
    }

    awaitable<int> diff()
    {
        const auto section = argument(1, "a section");
        const auto document = co_await editor().read();
        const auto body = readBody(section, argument(2, "a file"));
        const auto found = document.sections.find(section);
        const json::object before = found == document.sections.end() ? json::object {} : found->second.body;
        json::object changes;
        std::string text;
        const auto addChange = [&](const std::string& name, const json::value& from, const json::value& to) {
            changes[name] = json::object { { "from", from }, { "to", to } };
            text.append("- ").append(name).append(": ").append(json::serialize(from)).append("\n");
            text.append("+ ").append(name).append(": ").append(json::serialize(to)).append("\n");
        };
        for (const auto& member : body) {
            const auto* old = before.if_contains(member.key());
            if (!old || *old != member.value())
                addChange(std::string(member.key()), old ? *old : json::value(nullptr), member.value());
        }
        for (const auto& member : before) {
            if (!body.contains(member.key()))
                addChange(std::string(member.key()), member.value(), nullptr);
        }
        print(text.empty() ? "no difference" : text, changes);
        co_return EXIT_SUCCESS;
    }

    awaitable<int> history()
    {
        const auto document = co_await editor().read();
        json::array edits;
        std::string text = "revision " + std::to_string(document.revision.value());
        for (const auto& edit : document.recentEdits) {
            edits.emplace_back(edit.value());
            text.append("\n").append(edit.value());
        }
        print(text, json::object { { "revision", document.revision.value() }, { "edits", std::move(edits) } });
        co_return EXIT_SUCCESS;
    }

    awaitable<int> setDataCentreService()
    {
        const auto name = argument(1, "a data centre");
        const auto direction = argument(2, "out or in");
        if (direction != "out" && direction != "in")
            throw usage_error("data-centre: found '" + direction + "', allowed is out or in");
        const auto document = co_await editor().read();
        const auto found = document.sections.find("data_centres");
        if (found == document.sections.end() || !found->second.body.contains(name))
            throw usage_error("data centre '" + name + "' is not in section data_centres; limpetctl show data_centres lists them");
        auto body = found->second.body;
        body[name] = json::object { { "in", direction == "in" } };
        co_return co_await apply("data_centres", std::move(body));
    }

    awaitable<int> drain()
    {
        const auto name = argument(1, "a searcher");
        const bool undo = m_settings.positional().size() > 2 && m_settings.positional()[2] == "undo";
        const auto document = co_await editor().read();
        for (const auto& [section, content] : document.sections) {
            auto body = content.body;
            auto* searchers = body.if_contains("searchers");
            if (!searchers)
                continue;
            for (auto& searcher : searchers->as_array()) {
                if (json::value_to<std::string>(searcher.at("id")) != name)
                    continue;
                searcher.as_object()["leaving"] = !undo;
                co_return co_await apply(section, std::move(body));
            }
        }
        throw usage_error("searcher '" + name + "' is in no front; limpetctl show front.NAME lists them");
    }

    // Returns the status of a node; nothing if it doesn't respond or its response isn't a status.
    awaitable<std::optional<node_status>> statusOf(std::string address)
    {
        http_connection connection(m_io.get_executor());
        if (!co_await connection.connect(parseTcpEndpoint(address), statusTimeout))
            co_return std::nullopt;
        http_request request { "GET", "/status", {}, {} };
        const auto result = co_await connection.exchange(std::move(request), statusTimeout);
        if (result.stage != exchange_stage::replied || result.reply.status != 200)
            co_return std::nullopt;
        co_return readNodeStatus(result.reply.body);
    }

    awaitable<int> status()
    {
        if (m_settings.list("nodes").empty())
            throw usage_error("--nodes or LIMPET_NODES: found nothing, allowed is a list of IP:port");
        int result = EXIT_SUCCESS;
        for (const auto& node : m_settings.list("nodes")) {
            const auto state = co_await statusOf(node);
            if (!state)
                result = exitUnavailable;
            auto text = node;
            if (state)
                text.append(" epoch ").append(std::to_string(state->epoch)).append(" revision ").append(std::to_string(state->revision));
            else
                text.append(" doesn't report a status");
            print(text, json::object { { "node", node }, { "status", state ? json::value(state->document) : json::value(nullptr) } });
        }
        co_return result;
    }

    asio::io_context& m_io;
    const program_settings& m_settings;
    bool m_json;
};

int runTool(int argc, char** argv)
{
    const auto settings = program_settings::read("limpetctl", std::string("Operates limpetpier.\n\n") + usage, settingsTable(), argc, argv);
    asio::io_context io;
    int result = EXIT_FAILURE;
    std::exception_ptr failure;
    control_tool tool(io, settings);
    asio::co_spawn(io, tool.run(), [&](std::exception_ptr error, int code) {
        failure = error;
        result = code;
    });
    io.run();
    if (failure)
        std::rethrow_exception(failure);
    return result;
}

int fail(const std::exception& error, int code)
{
    std::cerr << "limpetctl: " << error.what() << "\n";
    return code;
}

} // namespace

} // namespace limpetpier

int main(int argc, char** argv)
{
    using namespace limpetpier;
    try {
        return runTool(argc, argv);
    } catch (const settings_error& error) {
        return fail(error, exitUsage);
    } catch (const document_error& error) {
        return fail(error, exitInvalid);
    } catch (const edit_conflict& error) {
        return fail(error, exitConflict);
    } catch (const credential_error& error) {
        return fail(error, exitCredential);
    } catch (const std::exception& error) {
        return fail(error, exitUnavailable);
    }
}
