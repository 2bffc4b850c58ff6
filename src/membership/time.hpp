/// Duration and time types of the membership module.
#pragma once

#include <chrono>

namespace hollyrun::membership {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  ///< reading of a monotonic clock with an arbitrary origin

}  // namespace hollyrun::membership
