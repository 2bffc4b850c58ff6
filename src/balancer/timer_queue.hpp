/// Timers of the requests under way, in order of time.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

enum class TimerKind {
  deadline,  ///< last moment for an answer
  hedge,     ///< a hedged request is due
  keyQueue,  ///< the queue of the request's key has to be looked at
};

struct Timer {
  Time at{};
  std::uint32_t slot = 0;  ///< of the request in the RequestTable
  RequestId request = 0;   ///< a timer of a request that has left its slot is ignored
  TimerKind kind = TimerKind::deadline;
  bool operator>(const Timer& other) const { return at != other.at ? at > other.at : slot > other.slot; }
};

class TimerQueue {
 public:
  void schedule(const Timer& timer) { timers_.push(timer); }

  /// Removes and returns the first timer that is due; none if no timer is.
  std::optional<Timer> popDue(Time now) {
    if (timers_.empty() || timers_.top().at > now)
      return std::nullopt;
    const Timer timer = timers_.top();
    timers_.pop();
    return timer;
  }

  /// The time of the first timer whose request `isOpen`; the timers before it are removed.
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
