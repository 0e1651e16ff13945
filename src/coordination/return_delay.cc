#include "limpetpier/coordination/return_delay.h"

#include <algorithm>

namespace limpetpier {

milliseconds returnDelay(monotonic_time expectedReturn, monotonic_time now)
{
    if (expectedReturn == monotonic_time::max() || expectedReturn <= now)
        return minReturnDelay;
    return std::clamp(std::chrono::ceil<milliseconds>(expectedReturn - now), minReturnDelay, maxReturnDelay);
}

} // namespace limpetpier
