#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetpier {

// Type of the value of a setting.
enum class setting_kind : std::uint8_t {
    text,
    address, // IP:port
    number, // whole number from minimum to maximum
};

// Declares one setting of a program. The flags, the environment variables and the --help text are derived from the table
// of settings.
struct setting {
    std::string flag; // name without "--"; the environment variable is LIMPET_<FLAG> with "_" for "-"
    std::string defaultValue;
    std::string help; // description with the unit
    setting_kind kind = setting_kind::text;
    bool required = false; // an empty value is an error
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    bool secret = false; // read from the environment only, and never printed
};

// Validated settings of a process.
//
//     const auto settings = program_settings::read("limpet-front", "Serves callers.", table, argc, argv);
//     settings.number("workers");
class program_settings {
public:
    // What read() does for --check once the flags and environment variables are valid.
    enum class check_mode : std::uint8_t {
        exit_after_flags, // prints that the settings are good and exits with status 0
        continue_after_flags, // returns, so that the program can check further input and then exit
    };

    // Reads each setting from its flag, else its environment variable, else its default. Throws settings_error for a value
    // that is missing or not allowed. Prints and exits with status 0 for --help, and for --check according to the mode.
    static program_settings read(const std::string& program, const std::string& summary, const std::vector<setting>& table, int argc, char** argv, check_mode mode = check_mode::exit_after_flags);

    // Returns whether --check was given: the program validates its settings and exits.
    [[nodiscard]] bool isCheck() const { return m_isCheck; }

    // Return the value of a setting of the table. list() splits a comma-separated value and drops empty items.
    [[nodiscard]] const std::string& text(const std::string& flag) const;
    [[nodiscard]] std::int64_t number(const std::string& flag) const;
    [[nodiscard]] std::vector<std::string> list(const std::string& flag) const;

    // Returns the arguments that are not flags.
    [[nodiscard]] const std::vector<std::string>& positional() const { return m_positional; }

private:
    std::map<std::string, std::string> m_values;
    std::vector<std::string> m_positional;
    bool m_isCheck = false;
};

} // namespace limpetpier
