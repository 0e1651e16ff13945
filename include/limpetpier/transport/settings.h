#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetpier {

enum class setting_kind : std::uint8_t {
    text,
    address, // IP:port
    number,
};

// One setting of a program; the table of them yields the flags, the environment variables and --help.
struct setting {
    std::string flag; // --flag; its environment variable is LIMPET_FLAG with _ for -
    std::string defaultValue; // empty and required: must be given
    std::string help; // with the unit
    setting_kind kind = setting_kind::text;
    bool required = false;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    bool secret = false; // environment only, never a flag, never shown
};

// Checked settings of a process.
//
//     const auto settings = program_settings::read("limpet-front", "Serves callers.", table, argc, argv);
//     settings.number("workers");
class program_settings {
public:
    // What --check does once the flags are known to be good: the program ends, or reads more and ends by itself.
    enum class check_mode : std::uint8_t {
        exit_after_flags,
        continue_after_flags,
    };

    // Reads flags, then the environment, then defaults. Throws settings_error; prints and exits 0 for --help and --check.
    static program_settings read(const std::string& program, const std::string& summary, const std::vector<setting>& table, int argc, char** argv, check_mode mode = check_mode::exit_after_flags);

    // True if the program is only to say whether its settings are good.
    [[nodiscard]] bool isCheck() const { return m_isCheck; }

    [[nodiscard]] const std::string& text(const std::string& flag) const;
    [[nodiscard]] std::int64_t number(const std::string& flag) const;
    [[nodiscard]] std::vector<std::string> list(const std::string& flag) const; // comma-separated
    [[nodiscard]] const std::vector<std::string>& positional() const { return m_positional; }

private:
    std::map<std::string, std::string> m_values;
    std::vector<std::string> m_positional;
    bool m_isCheck = false;
};

} // namespace limpetpier
