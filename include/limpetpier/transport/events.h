#pragma once

#include <concepts>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "limpetpier/coordination/log_budget.h"
#include "limpetpier/state/clock.h"

namespace limpetpier {

// Severity of an event.
enum class event_level : std::uint8_t {
    info,
    warning,
    error,
};

// Event that a log line reports. The numbers and names are stable; docs/EVENTS.md lists what an operator does on each.
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
    searcher_restricted = 511,
    pushback_ignored = 512,
    searcher_removal_delayed = 513,
    reply_given_up = 514,
    request_beyond_limit = 515,
    members_changed = 208,
    table_adopted = 310,
    table_unreadable = 311,
    evacuation_changed = 312,
    entry_unreadable = 313,
    workspace_key_ambiguous = 330,
    store_restored = 331,
    store_answer_unreadable = 314,
    watch_lost = 316,
    view_from_peer = 315,
    rollout_ordered = 340,
    rollout_changed = 341,
    rollout_bad = 342,
    rollout_unreadable = 343,
    rollout_write_failed = 344,
    request_begun = 600,
    request_ended = 601,
    request_failed = 602,
    request_resent = 603,
    call_failed = 604,
    part_missing = 605,
    request_unrouted = 606,
    request_unauthorized = 630,
    client_given_up = 608,
    part_failed = 607,
    request_held_back = 631,
    readiness_changed = 105,
    log_left_out = 106,
};

// Catalogue entry of an event: the severity, name and importance of its log lines.
struct event_entry {
    event id;
    event_level level;
    std::string_view name;
    log_importance importance = log_importance::important;
};

// Returns the entries of all events.
std::span<const event_entry> eventCatalogue();

// Builds the "name=value" fields of an event, in the order in which they are added. Empty values and values that contain
// a space, quote, equals sign, backslash or line break are quoted, so that a log line can be split at the spaces outside
// quotes. Line breaks become spaces.
//
//     logEvent(event::request_ended, event_fields().add("request", id).add("status", 503));
class event_fields {
public:
    // Adds a field; a duration is written as a number of milliseconds.
    event_fields& add(std::string_view name, std::string_view value);
    event_fields& add(std::string_view name, std::integral auto value) { return addPlain(name, std::to_string(value)); }
    event_fields& add(std::string_view name, milliseconds value) { return add(name, value.count()); }

    // Returns the fields added so far, separated by spaces.
    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    event_fields& addPlain(std::string_view name, const std::string& value);

    std::string m_text;
};

// Limits of the log of a process. Routine events are left out first when a limit is near.
struct log_limits {
    std::uint32_t linesPerSecond = 2000;
    std::uint32_t bytesPerSecond = 400'000;
    bool flushEachLine = true; // false: lines are buffered until flushLog()
};

// Starts writing the log of this process to standard output, one line per event: time, level, node, event, name and
// fields. Writing never blocks: output that a stalled reader does not consume is dropped and counted.
void startLog(const std::string& node, const log_limits& limits = {});

// Writes the buffered lines, and logs event::log_left_out with the number of lines left out since the last call, if any.
void flushLog();

// Returns whether a line of this event would be written now; if not, the line is counted as left out. Check it before
// building details that are expensive to build.
bool isLogged(event id);

// Writes an event unless the limits leave it out. The details are "name=value" pairs separated by spaces.
void logEvent(event id, const std::string& details);
inline void logEvent(event id, const event_fields& fields) { logEvent(id, fields.text()); }

// Returns the number of lines left out since the start, by the limits or because a reader stalled. Lines left out by the
// limits are counted at the next flushLog().
std::uint64_t logLinesLeftOut();

} // namespace limpetpier
