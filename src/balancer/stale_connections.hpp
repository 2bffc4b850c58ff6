/// Estimates after which idle time a connection can no longer be trusted. A middlebox may drop idle
/// connections without a reset, and a request sent on such a connection is lost silently.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

/// The fraction of attempts lost, by how long the connection had been idle, in steps that double.
class StaleConnectionEstimator {
 public:
  /// The step of an idle time; 0 = as good as fresh.
  static std::size_t stepOf(Duration idle) {
    std::size_t step = 0;
    for (Duration limit = kFirstStep; step + 1 < kSteps && idle >= limit; limit *= 2)
      ++step;
    return step;
  }

  /// Whether connections of this step are lost often, and more often than fresh ones: they are closed unused.
  bool isStale(std::size_t step) const { return step > 0 && lossRate_[step] > kStaleLossRate + lossRate_[0]; }

  /// A longer idle time is no safer than one at which an attempt was lost, a shorter one no worse than one at
  /// which it was not.
  void record(std::size_t step, Outcome outcome) {
    const bool lost = outcome == Outcome::timeout || outcome == Outcome::reset;
    if (!lost && outcome != Outcome::served && outcome != Outcome::error && outcome != Outcome::rejected)
      return;
    const std::size_t first = lost ? step : 0;
    const std::size_t end = lost && step > 0 ? kSteps : step + 1;
    for (std::size_t i = first; i < end; ++i)
      lossRate_[i] += kGain * ((lost ? 1 : 0) - lossRate_[i]);
  }

  /// Called once a sweep.
  void decay() {
    for (double& rate : lossRate_)
      rate *= 1 - kDecay;
  }

 private:
  static constexpr Duration kFirstStep = std::chrono::milliseconds(250);
  static constexpr std::size_t kSteps = 8;
  static constexpr double kGain = 0.2;     // per attempt: over the last five of its step
  static constexpr double kDecay = 0.005;  // per sweep: tried again after some twenty seconds
  static constexpr double kStaleLossRate = 0.3;
  std::array<double, kSteps> lossRate_{};
};

}  // namespace hollyrun::balancer
