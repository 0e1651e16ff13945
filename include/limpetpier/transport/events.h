#pragma once

#include <concepts>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "limpetpier/coordination/log_budget.h"
#include "limpetpier/state/clock.h"

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
    searcher_verified = 505,
    searcher_listed = 506,
    searcher_gone = 507,
    searcher_ill = 508,
    searcher_crowded = 509,
    searcher_failing = 510,
    members_changed = 208,
    table_adopted = 310,
    table_unreadable = 311,
    evacuation_changed = 312,
    entry_unreadable = 313,
    store_answer_unreadable = 314,
    watch_lost = 316,
    view_from_peer = 315,
    request_begun = 600,
    request_ended = 601,
    request_failed = 602,
    request_resent = 603,
    call_failed = 604,
    part_missing = 605,
    request_unrouted = 606,
    part_failed = 607,
    readiness_changed = 105,
    log_left_out = 106,
};

struct event_entry {
    event id;
    event_level level;
    std::string_view name;
    log_importance importance = log_importance::important;
};

// All events, for the log and for the check of the catalogue.
std::span<const event_entry> eventCatalogue();

// Named values of one event, in the order they were added. Values with blanks or quotes are quoted, so that a line splits
// at blanks outside quotes.
//
//     logEvent(event::request_ended, event_fields().add("request", id).add("status", 503));
class event_fields {
public:
    event_fields& add(std::string_view name, std::string_view value);
    event_fields& add(std::string_view name, std::integral auto value) { return addPlain(name, std::to_string(value)); }
    event_fields& add(std::string_view name, milliseconds value) { return add(name, value.count()); }

    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    event_fields& addPlain(std::string_view name, const std::string& value);

    std::string m_text;
};

// Bounds of the log of one process.
struct log_limits {
    std::uint32_t linesPerSecond = 2000;
    std::uint32_t bytesPerSecond = 400'000;
    bool flushEachLine = true; // otherwise by flushLog()
};

// Sends the log of this process to standard output, one line an event: time, level, node, event, name and its fields.
// A reader that stands still never holds up the process; what it does not take is dropped and counted.
void startLog(const std::string& node, const log_limits& limits = {});

// Passes on what is gathered, and tells how many lines were left out since the last time.
void flushLog();

// True if a line of this event would be written now. A line that is costly to build is built only then.
bool isLogged(event id);

// Writes one event. details are "name=value" pairs.
void logEvent(event id, const std::string& details);
inline void logEvent(event id, const event_fields& fields) { logEvent(id, fields.text()); }

// Lines left out since the start, by the limits or by a reader that stood still.
std::uint64_t logLinesLeftOut();

} // namespace limpetpier
