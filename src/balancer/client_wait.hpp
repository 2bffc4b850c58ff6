/// Estimates how long a client had waited before the request arrived here.
#pragma once

#include <algorithm>

#include "balancer/duration.hpp"

namespace hollyrun::balancer {

/// Clients grant each first try the same time, and a later try what is left of their total wait. A remaining
/// time that differs from the usual one (a running median) therefore shows how much was spent before.
class ClientWaitEstimator {
 public:
  /// Records the remaining time of a request; returns the time that its client has already waited.
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
  static constexpr double kTolerance = 0.02;  // of the client's total wait: closer times are the same

  Duration usualRemaining_{};
};

}  // namespace hollyrun::balancer
