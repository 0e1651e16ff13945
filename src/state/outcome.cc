#include "limpetpier/state/outcome.h"

namespace limpetpier {

std::string_view toText(outcome value)
{
    switch (value) {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not_run";
    case outcome::outcome_unknown:
        return "outcome_unknown";
    }
    return "outcome_unknown";
}

std::string_view toText(reason value)
{
    switch (value) {
    case reason::none:
        return "none";
    case reason::queue_full:
        return "queue_full";
    case reason::overloaded:
        return "overloaded";
    case reason::deadline_passed:
        return "deadline_passed";
    case reason::not_owner:
        return "not_owner";
    case reason::right_stale:
        return "right_stale";
    case reason::withdrawn:
        return "withdrawn";
    case reason::target_shed:
        return "target_shed";
    case reason::target_cold:
        return "target_cold";
    case reason::version_gone:
        return "version_gone";
    case reason::connect_failed:
        return "connect_failed";
    case reason::connection_lost:
        return "connection_lost";
    case reason::bad_reply:
        return "bad_reply";
    case reason::target_error:
        return "target_error";
    case reason::no_owner:
        return "no_owner";
    case reason::link_lost:
        return "link_lost";
    case reason::key_reused:
        return "key_reused";
    case reason::key_from_future:
        return "key_from_future";
    case reason::key_too_old:
        return "key_too_old";
    case reason::in_progress:
        return "in_progress";
    case reason::coverage_short:
        return "coverage_short";
    case reason::cancelled:
        return "cancelled";
    }
    return "none";
}

} // namespace limpetpier
