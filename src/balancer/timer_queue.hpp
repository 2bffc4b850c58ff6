/// Timers of the open requests, in order of time.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

enum class TimerKind {
  deadline,  ///< last moment to answer the client
  hedge,     ///< a hedged request is due
  keyQueue,  ///< the queue of the request's key is to be visited
};

struct Timer {
  Time at{};
  std::uint32_t slot = 0;  ///< the request's slot in the RequestTable
  RequestId request = 0;   ///< the timer is ignored if this request no longer exists
  TimerKind kind = TimerKind::deadline;
  bool operator>(const Timer& other) const { return at != other.at ? at > other.at : slot > other.slot; }
};

class TimerQueue {
 public:
  void schedule(const Timer& timer) { timers_.push(timer); }

  /// Removes and returns the first timer if it is due.
  std::optional<Timer> popDue(Time now) {
    if (timers_.empty() || timers_.top().at > now)
      return std::nullopt;
    const Timer timer = timers_.top();
    timers_.pop();
    return timer;
  }

  /// Returns the time of the first timer for whose request `isOpen` holds, and removes the timers before it.
  template <class IsOpen>
  std::optional<Time> nextTime(IsOpen isOpen) {
    while (!timers_.empty() && !isOpen(timers_.top().request))
      timers_.pop();
    if (timers_.empty())
      return std::nullopt;
    return timers_.top().at;
  }

 private:
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
};

}  // namespace hollyrun::balancer
