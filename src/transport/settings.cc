#include "limpetpier/transport/settings.h"

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

#include "limpetpier/state/errors.h"
#include "limpetpier/transport/endpoints.h"

namespace limpetpier {

namespace {

std::string environmentName(const std::string& flag)
{
    std::string name = "LIMPET_";
    for (const char character : flag)
        name.push_back(character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character))));
    return name;
}

std::string helpText(const setting& item)
{
    auto text = item.help + " [" + environmentName(item.flag) + "]";
    if (!item.defaultValue.empty())
        text += " (default " + item.defaultValue + ")";
    else if (item.required)
        text += " (required)";
    return text;
}

[[noreturn]] void fail(const setting& item, const std::string& found, const std::string& allowed)
{
    const auto shown = item.secret ? std::string("a value") : "'" + found + "'";
    const auto flag = item.secret ? std::string() : "--" + item.flag + " or ";
    throw settings_error(flag + environmentName(item.flag) + ": found " + (found.empty() ? "nothing" : shown) + ", allowed is " + allowed);
}

// Throws settings_error if the value is not allowed for the setting.
void validate(const setting& item, const std::string& value)
{
    if (value.empty()) {
        if (item.required)
            fail(item, value, item.kind == setting_kind::address ? "IP:port" : "a non-empty value");
        return;
    }
    if (item.kind == setting_kind::address) {
        try {
            parseTcpEndpoint(value);
        } catch (const settings_error&) {
            fail(item, value, "IP:port with a numeric IP address and a port from 0 to 65535");
        }
    }
    if (item.kind == setting_kind::number) {
        const auto allowed = "a whole number from " + std::to_string(item.minimum) + " to " + std::to_string(item.maximum);
        const bool isNumeric = value.find_first_not_of("0123456789") == std::string::npos && value.size() < 18;
        if (!isNumeric || std::stoll(value) < item.minimum || std::stoll(value) > item.maximum)
            fail(item, value, allowed);
    }
}

} // namespace

program_settings program_settings::read(const std::string& program, const std::string& summary, const std::vector<setting>& table, int argc, char** argv, check_mode mode)
{
    cxxopts::Options options(program, summary);
    for (const auto& item : table) {
        if (!item.secret)
            options.add_options()(item.flag, helpText(item), cxxopts::value<std::string>(), "VALUE");
    }
    options.add_options()("help", "Show this help")("check", "Validate the settings and exit")("positional", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "positional" });

    program_settings settings;
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << options.help();
            for (const auto& item : table) {
                if (item.secret)
                    std::cout << "  environment only: " << helpText(item) << "\n";
            }
            std::exit(EXIT_SUCCESS);
        }
        for (const auto& item : table) {
            std::string value = item.defaultValue;
            if (const char* fromEnvironment = std::getenv(environmentName(item.flag).c_str()))
                value = fromEnvironment;
            if (!item.secret && parsed.count(item.flag))
                value = parsed[item.flag].as<std::string>();
            validate(item, value);
            settings.m_values[item.flag] = value;
        }
        settings.m_isCheck = parsed.count("check") > 0;
        if (parsed.count("positional"))
            settings.m_positional = parsed["positional"].as<std::vector<std::string>>();
    } catch (const cxxopts::exceptions::exception& error) {
        throw settings_error(std::string(error.what()) + "; see " + program + " --help");
    }
    if (settings.m_isCheck && mode == check_mode::exit_after_flags) {
        std::cout << program << ": settings are good\n";
        std::exit(EXIT_SUCCESS);
    }
    return settings;
}

const std::string& program_settings::text(const std::string& flag) const
{
    return m_values.at(flag);
}

std::int64_t program_settings::number(const std::string& flag) const
{
    return std::stoll(m_values.at(flag));
}

std::vector<std::string> program_settings::list(const std::string& flag) const
{
    std::vector<std::string> items;
    std::istringstream text(m_values.at(flag));
    std::string item;
    while (std::getline(text, item, ',')) {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

} // namespace limpetpier
