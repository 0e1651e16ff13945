#pragma once

#include <optional>
#include <string>

#include "limpetpier/state/clock.h"

namespace limpetpier {

// What a searcher stated in a reply about further requests from this process.
struct searcher_notice {
    bool leaving = false; // the searcher is about to stop
    std::optional<milliseconds> pushback; // time for which it wants no request
    std::string invalidPushback; // text of a pushback time that could not be used; empty if there is none
};

} // namespace limpetpier
