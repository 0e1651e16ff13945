#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace limpetpier {

enum class event_level : std::uint8_t {
    info,
    warning,
    error,
};

// Every log line names one of these events; docs/EVENTS.md says what to do on each.
enum class event : std::uint16_t {
    started = 100,
    stopping = 101,
    stopped = 102,
    settings_reloaded = 103,
    settings_invalid = 104,
    epoch_adopted = 200,
    epoch_proposed = 201,
    member_suspected = 202,
    right_lost = 203,
    right_regained = 204,
    handover_received = 207,
    document_adopted = 300,
    document_older = 301,
    document_invalid = 302,
    document_repaired = 303,
    store_down = 304,
    store_up = 305,
    bad_frame = 400,
    link_closed = 401,
    searcher_cold = 500,
    searcher_warm = 501,
    connection_silent = 502,
    searcher_draining = 503,
    searcher_doubted = 504,
    members_changed = 208,
    table_adopted = 310,
    table_unreadable = 311,
    evacuation_changed = 312,
    entry_unreadable = 313,
    store_answer_unreadable = 314,
    request_ended = 600,
};

struct event_entry {
    event id;
    event_level level;
    std::string_view name;
};

// All events, for the log and for the check of the catalogue.
std::span<const event_entry> eventCatalogue();

// Sends the log of this process to standard error, one line an event, with the node's name.
void startLog(const std::string& node);

// Writes one event. details are "name=value" pairs.
void logEvent(event id, const std::string& details);

} // namespace limpetpier
