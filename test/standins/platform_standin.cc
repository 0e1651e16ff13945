#include <boost/asio.hpp>
#include <fstream>
#include <iostream>

#include "limpetpier/transport/program.h"
#include "limpetpier/transport/settings.h"
#include "node_file.h"
#include "platform_searcher.h"
#include "platform_store.h"

// Fake platform on loopback for trying the gateway by hand: a store with a configuration of one query over all shards
// and one lookup, the searchers, and a settings file for the gateway.

namespace limpetpier::standins {

namespace {

constexpr int replicasPerShard = 2;

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "base-port", "", "First port; the store uses it, and the next ones are for clients, readiness, peers and searchers", setting_kind::number, true, 1024, 60'000, false },
        { "shards", "5", "Number of shards of the query", setting_kind::number, true, 1, 26, false },
        { "bulk-bytes", "0", "Size of the answers of one more searcher, which serves the route /bulk/; 0: no such route", setting_kind::number, true, 0, 8'000'000, false },
        { "memory-mb", "0", "Memory of the machine in the settings file; 0: not stated", setting_kind::number, true, 0, 1'000'000, false },
        { "max-files", "0", "Open files of the process in the settings file; 0: not stated", setting_kind::number, true, 0, 1'000'000, false },
        { "settings-file", "", "File to write the settings of the gateway to", setting_kind::text, true, 0, 0, false },
    };
    return table;
}

constexpr std::size_t recordBytes = 16;

std::string makeConfiguration(int shards, bool hasBulk)
{
    std::string names;
    std::string services;
    for (int shard = 0; shard < shards; ++shard) {
        const auto name = "\"shard-" + std::to_string(shard) + "\"";
        names.append(names.empty() ? "" : ",").append(name);
        services.append(services.empty() ? "" : ",").append(R"({"name":)").append(name).append(R"(,"healthPath":"/healthz","maxConns":20,"warmupS":3.0,"coldPerS":0.0})");
    }
    std::string bulkRoute;
    if (hasBulk) {
        services.append(R"(,{"name":"bulk","healthPath":"/healthz","maxConns":100,"warmupS":3.0,"coldPerS":0.0})");
        bulkRoute = R"(,{"name":"bulk","host":"search.example","prefix":"/bulk/","type":"safe","timeoutMs":5000,"targetLatencyMs":1000,"priority":3,"service":"bulk","maxAttempts":1})";
    }
    return R"({"version":1,"routes":[
        {"name":"query","host":"search.example","prefix":"/query/","type":"safe","timeoutMs":400,"targetLatencyMs":80,"priority":1,"gather":[)"
        + names + R"(],"maxAttempts":2,"topK":5,"minCoverage":0.75},
        {"name":"lookup","host":"search.example","prefix":"/lookup/","type":"safe","timeoutMs":1000,"targetLatencyMs":250,"priority":2,"service":"shard-0","maxAttempts":2})"
        + bulkRoute + R"(],
        "services":[)"
        + services + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":5000,"idleTimeoutMs":20000}})";
}

int run(int argc, char** argv)
{
    const auto settings = program_settings::read("platform-standin", "Runs a fake platform for trying the gateway by hand.", settingsTable(), argc, argv);
    const auto basePort = static_cast<int>(settings.number("base-port"));
    const auto shards = static_cast<int>(settings.number("shards"));
    boost::asio::io_context io { 1 };
    platform_store store(io, static_cast<unsigned short>(basePort));
    std::vector<std::unique_ptr<platform_searcher>> searchers;
    int port = basePort + 4;
    for (int shard = 0; shard < shards; ++shard) {
        for (int replica = 0; replica < replicasPerShard; ++replica, ++port) {
            const auto id = "i-" + std::to_string(shard) + "-" + std::to_string(replica);
            const std::string records { static_cast<char>('a' + shard), static_cast<char>('A' + shard) };
            searchers.push_back(std::make_unique<platform_searcher>(io, id, records, static_cast<unsigned short>(port)));
            store.put("servers/" + id, searchers.back()->entry("shard-" + std::to_string(shard), "zone-1"));
        }
    }
    const auto bulkBytes = static_cast<std::size_t>(settings.number("bulk-bytes"));
    if (bulkBytes > 0) {
        searchers.push_back(std::make_unique<platform_searcher>(io, "i-bulk", std::string(bulkBytes / recordBytes, 'b'), static_cast<unsigned short>(port)));
        store.put("servers/i-bulk", searchers.back()->entry("bulk", "zone-1"));
    }
    store.put("op/config", makeConfiguration(shards, bulkBytes > 0));
    std::ofstream(settings.text("settings-file")) << formatNodeFile({ "front-1", "127.0.0.1", basePort + 1, store.address(), static_cast<int>(settings.number("memory-mb")), static_cast<int>(settings.number("max-files")) });
    std::cout << "store " << store.address() << ", " << searchers.size() << " searchers" << std::endl;
    io.run();
    return EXIT_SUCCESS;
}

} // namespace

} // namespace limpetpier::standins

int main(int argc, char** argv)
{
    return limpetpier::runProgram("platform-standin", limpetpier::standins::run, argc, argv);
}
