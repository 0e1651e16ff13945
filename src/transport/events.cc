#include "limpetpier/transport/events.h"

#include <algorithm>
#include <array>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

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
    event_entry { event::entry_unreadable, event_level::warning, "entry_unreadable" },
    event_entry { event::store_answer_unreadable, event_level::warning, "store_answer_unreadable" },
    event_entry { event::request_ended, event_level::info, "request_ended" },
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

} // namespace

std::span<const event_entry> eventCatalogue()
{
    return catalogue;
}

void startLog(const std::string& node)
{
    namespace expr = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::core::get()->add_global_attribute("Node", boost::log::attributes::constant<std::string>(node));
    boost::log::add_console_log(std::clog,
        boost::log::keywords::auto_flush = true,
        boost::log::keywords::format = expr::stream
            << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
            << " level=" << boost::log::trivial::severity
            << " node=" << expr::attr<std::string>("Node")
            << " " << expr::smessage);
}

void logEvent(event id, const std::string& details)
{
    const auto entry = std::find_if(catalogue.begin(), catalogue.end(), [&](const event_entry& item) { return item.id == id; });
    BOOST_LOG_STREAM_WITH_PARAMS(::boost::log::trivial::logger::get(), (::boost::log::keywords::severity = severityOf(entry->level)))
        << "event=" << static_cast<int>(id) << " name=" << entry->name << " " << details;
}

} // namespace limpetpier
