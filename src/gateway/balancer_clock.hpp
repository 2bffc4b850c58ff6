/// The monotonic clock that the balancer's times refer to.
#pragma once

#include <chrono>

#include "gateway/server_start_times.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

class BalancerClock {
 public:
  using Steady = std::chrono::steady_clock;

  balancer::Time now() const { return toBalancer(Steady::now()); }
  balancer::Time toBalancer(Steady::time_point time) const { return kTimeAtStart + (time - startedAt_); }
  Steady::time_point toSteady(balancer::Time time) const { return startedAt_ + (time - kTimeAtStart); }
  /// Reads the monotonic and the wall clock together.
  ServerStartTimes::Clocks readClocks() const {
    return {now(), std::chrono::system_clock::now().time_since_epoch()};
  }

 private:
  // Above zero, so that the start of an upstream host up to a day before this process is representable.
  static constexpr balancer::Time kTimeAtStart = std::chrono::hours(24);

  const Steady::time_point startedAt_ = Steady::now();
};

}  // namespace hollyrun::gateway
