/// Measures the rate of arriving requests and how reliable statistics are at that rate.
#pragma once

#include <algorithm>
#include <chrono>

#include "balancer/duration.hpp"

namespace hollyrun::balancer {

/// Interval between updates of the statistics: a few response times.
inline constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
inline constexpr double kFastGain = 0.2;    // per sweep: averages over about half a second
inline constexpr double kSlowGain = 0.008;  // per sweep: averages over about ten seconds, for the traffic mix

class ArrivalRate {
 public:
  void recordArrival() { arrivals_ += 1; }

  void sweep() {
    ++sweeps_;
    perSecond_ += std::max(kSlowGain, 1 / sweeps_) * (arrivals_ / toSeconds(kSweepInterval) - perSecond_);
    arrivals_ = 0;
  }

  /// Requests per second.
  double perSecond() const { return perSecond_; }

  /// Reliability of estimates over a fixed time, 0.05 to 1. Below 1 samples are sparse and the estimates
  /// noisy.
  double sampleConfidence() const { return std::clamp(perSecond_ / kSteadyRate, 0.05, 1.0); }

  /// Gain per sweep. The average extends over half a second, and over at least about twenty requests, since
  /// an average over fewer is mostly noise.
  double fastGain() const { return kFastGain * sampleConfidence(); }

 private:
  static constexpr double kSteadyRate = 80;  // requests per second at which half a second has enough samples

  double arrivals_ = 0;  // arrivals since the last sweep
  double sweeps_ = 0;
  double perSecond_ = kSteadyRate;
};

}  // namespace hollyrun::balancer
