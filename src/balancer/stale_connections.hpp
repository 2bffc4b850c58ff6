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
  /// The bucket of an idle time; 0 = as good as fresh.
  static std::size_t bucketOf(Duration idle) {
    std::size_t bucket = 0;
    for (Duration limit = kFirstBucketLimit; bucket + 1 < kBucketCount && idle >= limit; limit *= 2)
      ++bucket;
    return bucket;
  }

  /// Whether connections of this bucket are lost often, and more often than fresh ones: they are closed
  /// unused.
  bool isStale(std::size_t bucket) const {
    return bucket > 0 && lossRate_[bucket] > kMinStaleLossRate + lossRate_[0];
  }

  /// A longer idle time is no safer than one at which an attempt was lost, a shorter one no worse than one at
  /// which it was not.
  void record(std::size_t bucket, Outcome outcome) {
    const bool lost = outcome == Outcome::timeout || outcome == Outcome::reset;
    if (!lost && outcome != Outcome::served && outcome != Outcome::error && outcome != Outcome::rejected)
      return;
    const std::size_t first = lost ? bucket : 0;
    const std::size_t end = lost && bucket > 0 ? kBucketCount : bucket + 1;
    for (std::size_t i = first; i < end; ++i)
      lossRate_[i] += kGain * ((lost ? 1 : 0) - lossRate_[i]);
  }

  /// Called once a sweep.
  void decay() {
    for (double& rate : lossRate_)
      rate *= 1 - kDecay;
  }

 private:
  static constexpr Duration kFirstBucketLimit = std::chrono::milliseconds(250);
  static constexpr std::size_t kBucketCount = 8;
  static constexpr double kGain = 0.2;     // per attempt: over the last five of its bucket
  static constexpr double kDecay = 0.005;  // per sweep: tried again after some twenty seconds
  static constexpr double kMinStaleLossRate = 0.3;
  std::array<double, kBucketCount> lossRate_{};
};

}  // namespace hollyrun::balancer
