/// Decides when discovery is polled for the endpoint list.
#pragma once

#include <algorithm>
#include <chrono>

#include "balancer/duration.hpp"
#include "balancer/random_source.hpp"

namespace hollyrun::balancer {

class DiscoveryPoller {
 public:
  explicit DiscoveryPoller(const Settings& settings) : settings_(settings) {}

  /// Records a failed poll; the next one follows after an exponential backoff with jitter.
  void recordFailure(Time now, RandomSource& random) {
    failures_ = std::min(failures_ + 1, kMaxBackoffDoublings);
    polling_ = false;
    Duration backoff = kBackoff * (1 << failures_);
    // The limit is applied before the jitter. Applied after it, all gateways would poll at the same moment.
    if (settings_.maxDiscoverySilence > Duration{})
      backoff = std::min(backoff, settings_.maxDiscoverySilence / 5);
    nextPollAt_ = now + scaled(backoff, 0.5 + random.drawUnit());
  }

  /// Records a cached list. It may be stale, so a poll that waits for its backoff is sent at once.
  void recordCachedList(Time now) {
    if (settings_.pollDiscovery)
      nextPollAt_ = now;
  }

  void recordList() {
    failures_ = 0;
    answered_ = true;
  }

  /// Whether discovery is to be polled now; if so, records the poll as sent.
  bool startPollIfDue(Time now) {
    // Without this check a single lost answer would stop the gateway from ever polling again.
    const bool lost = !answered_ && settings_.maxDiscoverySilence > Duration{} &&
                      now - polledAt_ > settings_.maxDiscoverySilence / 2;
    if (!settings_.pollDiscovery || (polling_ && !lost) || now < nextPollAt_)
      return false;
    polling_ = true;
    answered_ = false;
    polledAt_ = now;
    return true;
  }

 private:
  static constexpr Duration kBackoff = std::chrono::milliseconds(500);
  static constexpr int kMaxBackoffDoublings = 4;

  const Settings& settings_;
  bool polling_ = false;   // from a poll until a failure: discovery pushes lists after a successful poll
  bool answered_ = false;  // a list has arrived since the last poll
  Time polledAt_{};
  Time nextPollAt_{};
  int failures_ = 0;
};

}  // namespace hollyrun::balancer
