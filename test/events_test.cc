#include "limpetpier/transport/events.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace limpetpier;

namespace {

std::string levelText(event_level level)
{
    switch (level) {
    case event_level::info:
        return "info";
    case event_level::warning:
        return "warning";
    case event_level::error:
        return "error";
    }
    return "error";
}

std::string readEventsPage()
{
    std::ifstream file(std::string(LIMPETPIER_SOURCE_DIR) + "/docs/EVENTS.md");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("docs/EVENTS.md lists exactly the events of the code")
{
    const auto text = readEventsPage();

    SECTION("every event has a row with its number, name and level")
    {
        for (const auto& entry : eventCatalogue()) {
            const auto row = "| " + std::to_string(static_cast<int>(entry.id)) + " | " + std::string(entry.name) + " | " + levelText(entry.level) + " |";
            INFO("missing in docs/EVENTS.md: " << row);
            REQUIRE(text.find(row) != std::string::npos);
        }
    }

    SECTION("there are as many rows as events")
    {
        std::size_t rows = 0;
        std::istringstream lines(text);
        std::string line;
        while (std::getline(lines, line))
            rows += line.size() > 2 && line.starts_with("| ") && std::isdigit(static_cast<unsigned char>(line[2])) ? 1 : 0;
        REQUIRE(rows == eventCatalogue().size());
    }
}
