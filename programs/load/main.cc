#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>

#include "limpetpier/state/errors.h"
#include "limpetpier/transport/program.h"
#include "limpetpier/transport/settings.h"
#include "load_generator.h"

namespace limpetpier {

namespace {

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "fronts", "", "IP:port list of limpet-front processes, or of searchers with --direct 1", setting_kind::text, true, 0, 0, false },
        { "front", "comptoir", "Name of the front in the document", setting_kind::text, true, 0, 0, false },
        { "kind", "search", "Kind of requests: search or order", setting_kind::text, true, 0, 0, false },
        { "rate", "50", "Mean number of requests per second", setting_kind::number, true, 1, 100'000, false },
        { "duration-ms", "2000", "Duration of the load, in milliseconds", setting_kind::number, true, 1, 3'600'000, false },
        { "seed", "1", "Seed of the send times and keys", setting_kind::number, true, 0, INT32_MAX, false },
        { "limit", "1000", "Maximum number of results per search", setting_kind::number, true, 1, 1000, false },
        { "max-attempts", "4", "Maximum number of attempts per order, all with the same key", setting_kind::number, true, 1, 100, false },
        { "deadline-ms", "0", "Deadline sent with each request, in milliseconds; 0: the default of the front", setting_kind::number, true, 0, 2000, false },
        { "balanced", "0", "1: send only to fronts whose readiness check passes", setting_kind::number, true, 0, 1, false },
        { "direct", "0", "1: send target protocol requests to searchers, as a baseline", setting_kind::number, true, 0, 1, false },
        { "watch", "", "IP:port list of nodes whose configuration revision is recorded", setting_kind::text, false, 0, 0, false },
        { "records", "", "File to append one line of JSON per attempt and revision sample to", setting_kind::text, false, 0, 0, false },
    };
    return table;
}

load_options readOptions(const program_settings& settings)
{
    load_options options;
    options.fronts = settings.list("fronts");
    options.front = settings.text("front");
    options.orders = settings.text("kind") == "order";
    if (!options.orders && settings.text("kind") != "search")
        throw settings_error("--kind: found '" + settings.text("kind") + "', allowed is search or order");
    options.rate = static_cast<double>(settings.number("rate"));
    options.duration = milliseconds { settings.number("duration-ms") };
    options.seed = static_cast<std::uint64_t>(settings.number("seed"));
    options.limit = static_cast<std::uint32_t>(settings.number("limit"));
    options.maxAttempts = static_cast<std::uint32_t>(settings.number("max-attempts"));
    options.deadline = milliseconds { settings.number("deadline-ms") };
    options.balanced = settings.number("balanced") == 1;
    options.direct = settings.number("direct") == 1;
    options.watchedNodes = settings.list("watch");
    options.recordsPath = settings.text("records");
    return options;
}

int run(int argc, char** argv)
{
    const auto settings = program_settings::read("limpet-load", "Sends open-loop load and prints a summary as one line of JSON.", settingsTable(), argc, argv);
    asio::io_context io(1);
    load_generator load(io.get_executor(), readOptions(settings));
    asio::co_spawn(io, load.run(), [&](std::exception_ptr) { io.stop(); });
    io.run();
    auto& summary = load.summary();
    const auto answered = static_cast<double>(std::max<std::uint64_t>(1, summary.answered));
    std::cout << boost::json::serialize(boost::json::object {
        { "requests", summary.requests },
        { "answered", summary.answered },
        { "not_run", summary.notRun },
        { "unknown", summary.unknown },
        { "cut", summary.cut },
        { "p50_ms", summary.quantileMs(0.5) },
        { "p99_ms", summary.quantileMs(0.99) },
        { "p999_ms", summary.quantileMs(0.999) },
        { "coverage", summary.coverageSum / answered },
        { "sub_requests", summary.subRequests },
        { "hedges", summary.hedges },
    })
              << std::endl;
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

} // namespace limpetpier

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-load", limpetpier::run, argc, argv);
}
