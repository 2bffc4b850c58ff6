/// The rate of arriving requests, and how far statistics over so many samples can be trusted.
#pragma once

#include <algorithm>
#include <chrono>

#include "balancer/duration.hpp"

namespace hollyrun::balancer {

/// Statistics are updated this often: a few response times.
inline constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
inline constexpr double kFastGain = 0.2;    // per sweep: rates over about half a second
inline constexpr double kSlowGain = 0.008;  // per sweep: the traffic mix is remembered about ten seconds

class ArrivalRate {
 public:
  void recordArrival() { arrivals_ += 1; }

  void sweep() {
    ++sweeps_;
    perSecond_ += std::max(kSlowGain, 1 / sweeps_) * (arrivals_ / toSeconds(kSweepInterval) - perSecond_);
    arrivals_ = 0;
  }

  /// Requests a second.
  double perSecond() const { return perSecond_; }

  /// 0.05 to 1: below 1 the samples are sparse, and estimates over a fixed time are noisy.
  double sampleConfidence() const { return std::clamp(perSecond_ / kSteadyRate, 0.05, 1.0); }

  /// Gain per sweep: over half a second, and at least over some twenty requests, since fewer give only noise.
  double fastGain() const { return kFastGain * sampleConfidence(); }

 private:
  static constexpr double kSteadyRate = 80;  // requests a second that make half a second steady enough

  double arrivals_ = 0;  // since the last sweep
  double sweeps_ = 0;
  double perSecond_ = kSteadyRate;
};

}  // namespace hollyrun::balancer
