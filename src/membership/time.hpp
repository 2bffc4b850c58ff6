/// Durations and points in time of the membership module.
#pragma once

#include <chrono>

namespace hollyrun::membership {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  ///< of a monotonic clock; its origin means nothing

}  // namespace hollyrun::membership
