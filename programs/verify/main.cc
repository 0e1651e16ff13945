#include <fstream>
#include <iostream>

#include "history_checker.h"
#include "limpetpier/state/errors.h"
#include "limpetpier/transport/program.h"
#include "limpetpier/transport/settings.h"

namespace limpetpier {

namespace {

constexpr std::size_t maxShownViolations = 20;

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "cuts", "0", "1: count a request without a reply as a violation", setting_kind::number, true, 0, 1, false },
        { "withdrawal-ms", "3000", "Time after a withdrawal until which a searcher may still get work, in milliseconds", setting_kind::number, true, 0, 600'000, false },
        { "shards", "0", "Shards of the searched front; 0: do not check the number of hits", setting_kind::number, true, 0, 100'000, false },
    };
    return table;
}

int run(int argc, char** argv)
{
    const auto settings = program_settings::read("limpet-verify", "Checks recorded histories, given as files, for violations.", settingsTable(), argc, argv);
    checker_options options;
    options.cutsAreViolations = settings.number("cuts") == 1;
    options.withdrawalMs = settings.number("withdrawal-ms");
    options.shards = static_cast<std::uint64_t>(settings.number("shards"));
    history_checker checker(options);
    for (const auto& path : settings.positional()) {
        std::ifstream in(path);
        if (!in)
            throw settings_error("cannot read history file " + path + "; check the path and its permissions");
        std::string line;
        while (std::getline(in, line))
            checker.add(line);
    }
    const auto violations = checker.check();
    for (std::size_t position = 0; position < std::min(violations.size(), maxShownViolations); ++position)
        std::cerr << toText(violations[position].kind) << ": " << violations[position].details << "\n";
    std::cout << checker.operations() << " " << violations.size() << "\n";
    return violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace limpetpier

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-verify", limpetpier::run, argc, argv);
}
