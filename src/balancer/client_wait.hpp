/// Estimates how long a client had already waited when its request arrived.
#pragma once

#include <algorithm>

#include "balancer/duration.hpp"

namespace hollyrun::balancer {

/// Clients allow the same time for each first try and, for a later try, the rest of their total timeout. A
/// remaining time that differs from the usual one (a running median) therefore shows how much of the total
/// timeout earlier tries have used.
class ClientWaitEstimator {
 public:
  /// Records a request's remaining time; returns the time that its client has already waited.
  Duration record(Duration remaining, Duration clientTimeout) {
    if (usualRemaining_ == Duration{})
      usualRemaining_ = remaining;
    const Duration tolerance = scaled(clientTimeout, kTolerance);
    const bool usual = remaining > usualRemaining_ - tolerance && remaining < usualRemaining_ + tolerance;
    const Duration waited = usual ? Duration{} : std::max(clientTimeout - remaining, Duration{});
    usualRemaining_ += remaining < usualRemaining_ ? -tolerance / 8 : tolerance / 8;
    return waited;
  }

  Duration usualRemaining() const { return usualRemaining_; }

 private:
  // Remaining times that differ by less than this fraction of clientTimeout count as equal.
  static constexpr double kTolerance = 0.02;

  Duration usualRemaining_{};
};

}  // namespace hollyrun::balancer
