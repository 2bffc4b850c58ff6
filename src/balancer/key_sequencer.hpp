/// Orders requests that must be executed one at a time per key.
///
/// A request stays in its key's queue until the request and all its attempts have ended; only the first
/// request of a queue is sent. After an attempt that may still be executing, the key pauses for a cooldown.
/// Without these two rules, two requests of one key could be executed concurrently or out of order.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

class KeySequencer {
 public:
  /// Appends a request's slot to its key's queue; returns the number of requests before it.
  std::size_t enqueue(std::uint64_t key, std::uint32_t slot) {
    std::deque<std::uint32_t>& waiting = queues_[key].slots;
    waiting.push_back(slot);
    return waiting.size() - 1;
  }

  void remove(std::uint64_t key, std::uint32_t slot) {
    std::erase(queues_[key].slots, slot);
    markDue(key);
  }

  /// Marks the key's queue to be visited by the next visitDue.
  void markDue(std::uint64_t key) { dueKeys_.push_back(key); }

  void startCooldown(std::uint64_t key, Time until) { queues_[key].cooldownUntil = until; }

  /// Calls `visit(slot, cooldownUntil)` for the first request of each key marked as due, including keys that
  /// the visits themselves mark.
  template <class Visit>
  void visitDue(Time now, Visit visit) {
    for (std::size_t i = 0; i < dueKeys_.size(); ++i) {
      const auto found = queues_.find(dueKeys_[i]);
      if (found == queues_.end())
        continue;
      const Queue& queue = found->second;
      if (!queue.slots.empty())
        visit(queue.slots.front(), queue.cooldownUntil);
      else if (now >= queue.cooldownUntil)
        queues_.erase(found);
    }
    dueKeys_.clear();
  }

  /// Removes keys that have no requests and whose cooldown is over.
  void removeIdle(Time now) {
    std::erase_if(queues_, [now](const auto& entry) {
      return entry.second.slots.empty() && now >= entry.second.cooldownUntil;
    });
  }

 private:
  struct Queue {
    std::deque<std::uint32_t> slots;  // in order of arrival
    Time cooldownUntil{};
  };
  std::unordered_map<std::uint64_t, Queue> queues_;
  std::vector<std::uint64_t> dueKeys_;
};

}  // namespace hollyrun::balancer
