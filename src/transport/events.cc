#include "limpetpier/transport/events.h"

#include <algorithm>
#include <array>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <mutex>
#include <unistd.h>

#include "limpetpier/transport/bounded_writer.h"

namespace limpetpier {

namespace {

constexpr std::array catalogue {
    event_entry { event::started, event_level::info, "started" },
    event_entry { event::stopping, event_level::info, "stopping" },
    event_entry { event::stopped, event_level::info, "stopped" },
    event_entry { event::settings_reloaded, event_level::info, "settings_reloaded" },
    event_entry { event::settings_invalid, event_level::error, "settings_invalid" },
    event_entry { event::epoch_adopted, event_level::info, "epoch_adopted" },
    event_entry { event::epoch_proposed, event_level::info, "epoch_proposed" },
    event_entry { event::member_suspected, event_level::warning, "member_suspected" },
    event_entry { event::right_lost, event_level::warning, "right_lost" },
    event_entry { event::right_regained, event_level::info, "right_regained" },
    event_entry { event::handover_received, event_level::info, "handover_received" },
    event_entry { event::document_adopted, event_level::info, "document_adopted" },
    event_entry { event::document_older, event_level::warning, "document_older" },
    event_entry { event::document_invalid, event_level::error, "document_invalid" },
    event_entry { event::document_repaired, event_level::warning, "document_repaired" },
    event_entry { event::store_down, event_level::warning, "store_down" },
    event_entry { event::store_up, event_level::info, "store_up" },
    event_entry { event::bad_frame, event_level::warning, "bad_frame" },
    event_entry { event::link_closed, event_level::warning, "link_closed" },
    event_entry { event::searcher_cold, event_level::warning, "searcher_cold" },
    event_entry { event::searcher_warm, event_level::info, "searcher_warm" },
    event_entry { event::connection_silent, event_level::warning, "connection_silent" },
    event_entry { event::searcher_draining, event_level::info, "searcher_draining" },
    event_entry { event::searcher_doubted, event_level::warning, "searcher_doubted" },
    event_entry { event::members_changed, event_level::info, "members_changed" },
    event_entry { event::table_adopted, event_level::info, "table_adopted" },
    event_entry { event::table_unreadable, event_level::error, "table_unreadable" },
    event_entry { event::evacuation_changed, event_level::info, "evacuation_changed" },
    event_entry { event::workspace_key_ambiguous, event_level::warning, "workspace_key_ambiguous" },
    event_entry { event::store_restored, event_level::warning, "store_restored" },
    event_entry { event::rollout_ordered, event_level::info, "rollout_ordered" },
    event_entry { event::rollout_changed, event_level::info, "rollout_changed" },
    event_entry { event::rollout_bad, event_level::warning, "rollout_bad" },
    event_entry { event::rollout_unreadable, event_level::error, "rollout_unreadable" },
    event_entry { event::rollout_write_failed, event_level::warning, "rollout_write_failed" },
    event_entry { event::entry_unreadable, event_level::warning, "entry_unreadable" },
    event_entry { event::store_answer_unreadable, event_level::warning, "store_answer_unreadable" },
    event_entry { event::watch_lost, event_level::warning, "watch_lost" },
    event_entry { event::searcher_verified, event_level::info, "searcher_verified" },
    event_entry { event::searcher_listed, event_level::info, "searcher_listed" },
    event_entry { event::searcher_gone, event_level::info, "searcher_gone" },
    event_entry { event::searcher_ill, event_level::warning, "searcher_ill" },
    event_entry { event::searcher_crowded, event_level::info, "searcher_crowded", log_importance::routine },
    event_entry { event::searcher_failing, event_level::warning, "searcher_failing", log_importance::important },
    event_entry { event::searcher_restricted, event_level::info, "searcher_restricted", log_importance::routine },
    event_entry { event::pushback_ignored, event_level::warning, "pushback_ignored", log_importance::routine },
    event_entry { event::searcher_removal_delayed, event_level::info, "searcher_removal_delayed" },
    event_entry { event::reply_given_up, event_level::warning, "reply_given_up", log_importance::routine },
    event_entry { event::request_beyond_limit, event_level::info, "request_beyond_limit", log_importance::routine },
    event_entry { event::view_from_peer, event_level::info, "view_from_peer" },
    event_entry { event::request_begun, event_level::info, "request_begun", log_importance::routine },
    event_entry { event::request_ended, event_level::info, "request_ended", log_importance::routine },
    event_entry { event::request_failed, event_level::warning, "request_failed" },
    event_entry { event::request_resent, event_level::info, "request_resent", log_importance::routine },
    event_entry { event::call_failed, event_level::info, "call_failed", log_importance::routine },
    event_entry { event::part_missing, event_level::info, "part_missing", log_importance::routine },
    event_entry { event::part_failed, event_level::info, "part_failed" },
    event_entry { event::request_held_back, event_level::info, "request_held_back", log_importance::routine },
    event_entry { event::request_unrouted, event_level::info, "request_unrouted", log_importance::routine },
    event_entry { event::request_unauthorized, event_level::info, "request_unauthorized", log_importance::routine },
    event_entry { event::client_given_up, event_level::warning, "client_given_up", log_importance::routine },
    event_entry { event::readiness_changed, event_level::info, "readiness_changed" },
    event_entry { event::log_left_out, event_level::warning, "log_left_out" },
};

boost::log::trivial::severity_level severityOf(event_level level)
{
    switch (level) {
    case event_level::info:
        return boost::log::trivial::info;
    case event_level::warning:
        return boost::log::trivial::warning;
    case event_level::error:
        return boost::log::trivial::error;
    }
    return boost::log::trivial::error;
}

// State of the process's log, shared by all threads. No other lock is taken while its mutex is held.
struct log_state {
    std::mutex mutex;
    log_budget budget { 0, 0 };
    bounded_writer output { STDOUT_FILENO };
    bool started = false;
    bool flushEachLine = true;
    std::uint64_t leftOut = 0;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

// Sink that writes formatted lines to the output and charges them to the budget.
class output_backend : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
public:
    static void consume(const boost::log::record_view&, const std::string& line)
    {
        const std::lock_guard lock(state().mutex);
        state().budget.record(line.size());
        state().output.append(line + "\n");
        if (state().flushEachLine)
            state().output.flush();
    }
};

const event_entry& entryOf(event id)
{
    return *std::find_if(catalogue.begin(), catalogue.end(), [&](const event_entry& entry) { return entry.id == id; });
}

void write(const event_entry& entry, const std::string& details)
{
    BOOST_LOG_STREAM_WITH_PARAMS(::boost::log::trivial::logger::get(), (::boost::log::keywords::severity = severityOf(entry.level)))
        << "event=" << static_cast<int>(entry.id) << " name=" << entry.name << " " << details;
}

} // namespace

std::span<const event_entry> eventCatalogue()
{
    return catalogue;
}

event_fields& event_fields::add(std::string_view name, std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\\") == std::string_view::npos)
        return addPlain(name, std::string(value));
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\')
            quoted.push_back('\\');
        quoted.push_back(character == '\n' || character == '\r' ? ' ' : character);
    }
    return addPlain(name, quoted + "\"");
}

event_fields& event_fields::addPlain(std::string_view name, const std::string& value)
{
    m_text.append(m_text.empty() ? "" : " ").append(name).append("=").append(value);
    return *this;
}

void startLog(const std::string& node, const log_limits& limits)
{
    namespace expr = boost::log::expressions;
    state().budget = log_budget(limits.linesPerSecond, limits.bytesPerSecond);
    state().flushEachLine = limits.flushEachLine;
    state().started = true;
    auto core = boost::log::core::get();
    core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    core->add_global_attribute("Node", boost::log::attributes::constant<std::string>(node));
    auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<output_backend>>();
    sink->set_formatter(expr::stream
        << "time=" << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
        << " level=" << boost::log::trivial::severity
        << " node=" << expr::attr<std::string>("Node")
        << " " << expr::smessage);
    core->add_sink(sink);
}

void flushLog()
{
    std::uint64_t leftOut = 0;
    {
        const std::lock_guard lock(state().mutex);
        if (!state().started)
            return;
        leftOut = state().budget.takeSuppressedCount();
        state().leftOut += leftOut;
    }
    if (leftOut > 0)
        write(entryOf(event::log_left_out), event_fields().add("lines", leftOut).text());
    const std::lock_guard lock(state().mutex);
    state().output.flush();
}

bool isLogged(event id)
{
    const std::lock_guard lock(state().mutex);
    return state().budget.allows(entryOf(id).importance, monotonic_clock::now());
}

void logEvent(event id, const std::string& details)
{
    if (isLogged(id))
        write(entryOf(id), details);
}

std::uint64_t logLinesLeftOut()
{
    const std::lock_guard lock(state().mutex);
    return state().leftOut + state().output.droppedLines();
}

} // namespace limpetpier
