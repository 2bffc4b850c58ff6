/// When the steps of a graceful shutdown are due.
#pragma once

#include <algorithm>
#include <chrono>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// Connections are still accepted for this long after a shutdown was requested, because clients notice the
/// shutdown with a delay.
inline constexpr std::chrono::milliseconds kStopAcceptingDelay{700};
/// The platform kills a process no sooner than kStopAcceptingDelay and the longest client timeout after it
/// requested the shutdown. A longer client timeout counts as this one.
inline constexpr std::chrono::milliseconds kMaxCountedClientTimeout{3000};
/// Responses are due this long before the process may be killed. Covers a delay in the handling of the signal
/// and the 150 ms for which a process may be held up before it writes.
inline constexpr std::chrono::milliseconds kKillMargin{200};

struct ShutdownSchedule {
  using TimePoint = std::chrono::steady_clock::time_point;

  TimePoint stopAccepting;  ///< The listener and the idle connections are closed.
  TimePoint lastResponse;   ///< No request may be left unanswered, and none is accepted any longer.
};

/// `classes` are those whose client timeouts were in effect when the shutdown was requested.
inline ShutdownSchedule planShutdown(ShutdownSchedule::TimePoint requestedAt,
                                     const std::vector<balancer::ClassSettings>& classes) {
  balancer::Duration longestTimeout{};
  for (const balancer::ClassSettings& requestClass : classes)
    longestTimeout = std::max(longestTimeout, requestClass.clientTimeout);
  longestTimeout = std::min<balancer::Duration>(longestTimeout, kMaxCountedClientTimeout);
  const auto margin = std::min<balancer::Duration>(kKillMargin, longestTimeout / 2);
  const auto stopAccepting = requestedAt + kStopAcceptingDelay;
  return {.stopAccepting = stopAccepting, .lastResponse = stopAccepting + longestTimeout - margin};
}

}  // namespace hollyrun::gateway
