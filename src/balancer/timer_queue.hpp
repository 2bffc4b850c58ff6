/// Timers of the open requests, in order of time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
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
  void schedule(const Timer& timer) {
    timers_.push_back(timer);
    std::push_heap(timers_.begin(), timers_.end(), std::greater<>());
  }

  /// Removes and returns the first timer if it is due.
  std::optional<Timer> popDue(Time now) {
    if (timers_.empty() || timers_.front().at > now)
      return std::nullopt;
    return popFirst();
  }

  /// Returns the time of the first timer for whose request `isOpen` holds, and removes the timers before it.
  template <class IsOpen>
  std::optional<Time> nextTime(IsOpen isOpen) {
    while (!timers_.empty() && !isOpen(timers_.front().request))
      popFirst();
    if (timers_.empty())
      return std::nullopt;
    return timers_.front().at;
  }

  /// Removes the timers of ended requests once they may be most of all. A client that states a distant
  /// deadline could otherwise fill the memory with the timers of requests that have long ended.
  template <class IsOpen>
  void removeEnded(std::size_t openRequests, IsOpen isOpen) {
    if (timers_.size() <= kMinTimersToCompact + kTimersPerRequest * openRequests)
      return;
    std::erase_if(timers_, [&](const Timer& timer) { return !isOpen(timer.request); });
    std::make_heap(timers_.begin(), timers_.end(), std::greater<>());
  }

  std::size_t size() const { return timers_.size(); }

 private:
  // Twice as many timers as a request usually has: so the removal costs little for each timer.
  static constexpr std::size_t kTimersPerRequest = 6;
  static constexpr std::size_t kMinTimersToCompact = 4096;

  Timer popFirst() {
    std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
    const Timer first = timers_.back();
    timers_.pop_back();
    return first;
  }

  std::vector<Timer> timers_;  // A heap.
};

}  // namespace hollyrun::balancer
