#include "node_settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <unistd.h>

#include "limpetpier/state/errors.h"

using namespace limpetpier;

namespace {

const std::string sample = R"(nodeName = "front-1"
ip = "10.1.0.9"
zone = "z1"
internalPorts = [7380,7395]
heartbeatMs = 1200
seeds = ["10.1.0.9:8106","10.2.0.21:8106"]
somethingNew = { a = 1 }

[listenAddrs]
front = "10.1.0.9:8104"
readyAddr = "10.1.0.9:8108"
[bounds]
drainMs = 3000
configApplyMs = 3000
graceS = 6
retryBudget = 0.2
budgetWindowS = 10
budgetSlack = 58
coldOvershoot = 1.5
coldSlack = 5
[platform]
address = "10.200.1.7:8102"
ttlMinMs = 1000
)";

platform::node_settings readText(const std::string& text)
{
    const auto path = std::filesystem::temp_directory_path() / ("node_settings_test." + std::to_string(getpid()) + ".toml");
    std::ofstream(path) << text;
    const std::shared_ptr<void> fileRemoval(nullptr, [&](void*) { std::filesystem::remove(path); });
    return platform::readNodeSettings(path.string());
}

std::string errorFor(const std::string& text)
{
    try {
        readText(text);
    } catch (const settings_error& error) {
        return error.what();
    }
    return {};
}

} // namespace

TEST_CASE("A settings file with unknown fields is read")
{
    const auto settings = readText(sample);
    CHECK(settings.node == node_id("front-1"));
    CHECK(settings.clientAddress == "10.1.0.9:8104");
    CHECK(settings.firstPeerPort == 7380);
    CHECK(settings.seedHosts == std::vector<std::string> { "10.1.0.9", "10.2.0.21" });
    CHECK(settings.retrySlack == 58);
    CHECK(settings.retryWindow == milliseconds(10'000));
    CHECK(settings.stopGrace == milliseconds(6000));
}

TEST_CASE("The error for an invalid field names the field, the value found and the type expected")
{
    auto text = sample;
    text.replace(text.find("graceS = 6"), 10, "graceS = \"six\"");
    const auto error = errorFor(text);
    CHECK(error.find("bounds.graceS") != std::string::npos);
    CHECK(error.find("found \"six\"") != std::string::npos);
    CHECK(error.find("expected a number") != std::string::npos);
}

TEST_CASE("The error for a missing field names the field")
{
    auto text = sample;
    text.erase(text.find("address = "), 27);
    CHECK(errorFor(text).find("platform.address: found nothing") != std::string::npos);
}

TEST_CASE("Bounds for the limits of workspaces are read where the platform sets them")
{
    CHECK(readText(sample).limitWindow == milliseconds(0));
    auto text = std::string(sample);
    text.insert(text.find("coldSlack"), "quotaWindowS = 5\nquotaOvershoot = 0.1\nquotaSlack = 20\n");
    const auto settings = readText(text);
    CHECK(settings.limitWindow == milliseconds(5000));
    CHECK(settings.limitOvershoot == 0.1);
    CHECK(settings.limitSlack == 20);
}

TEST_CASE("Reading a missing settings file throws settings_error")
{
    CHECK_THROWS_AS(platform::readNodeSettings("nowhere.toml"), settings_error);
}

TEST_CASE("The limits of the machine are read if they are stated")
{
    CHECK(readText(sample).memoryBytes == 0);
    CHECK(readText(sample).maxFiles == 0);
    const auto settings = readText(sample + "[limits]\nmemoryMb = 160\nmaxFds = 4100\n");
    CHECK(settings.memoryBytes == 160U << 20U);
    CHECK(settings.maxFiles == 4100);
    CHECK(errorFor(sample + "[limits]\nmemoryMb = \"much\"\n").find("limits.memoryMb") != std::string::npos);
}
