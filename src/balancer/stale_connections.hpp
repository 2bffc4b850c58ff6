/// Estimates the idle time after which a connection is likely to be stale. A middlebox may drop idle
/// connections without a reset, and a request sent on such a connection is lost silently.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

/// Tracks the fraction of attempts lost by idle time of the connection, in buckets of doubling idle time.
class StaleConnectionEstimator {
 public:
  /// The bucket of an idle time; bucket 0 counts as fresh.
  static std::size_t bucketOf(Duration idle) {
    std::size_t bucket = 0;
    for (Duration limit = kFirstBucketLimit; bucket + 1 < kBucketCount && idle >= limit; limit *= 2)
      ++bucket;
    return bucket;
  }

  /// Whether attempts on connections of this bucket are lost often, and more often than on fresh ones. Such
  /// connections are closed instead of used.
  bool isStale(std::size_t bucket) const {
    return bucket > 0 && lossRate_[bucket] > kMinStaleLossRate + lossRate_[0];
  }

  /// Records an outcome. A loss on an idle connection also counts for all longer idle times, which are no
  /// safer; a response also counts for all shorter ones, which are no worse.
  void record(std::size_t bucket, Outcome outcome) {
    const bool lost = outcome == Outcome::timeout || outcome == Outcome::reset;
    if (!lost && outcome != Outcome::served && outcome != Outcome::error && outcome != Outcome::rejected)
      return;
    const std::size_t first = lost ? bucket : 0;
    const std::size_t end = lost && bucket > 0 ? kBucketCount : bucket + 1;
    for (std::size_t i = first; i < end; ++i)
      lossRate_[i] += kGain * ((lost ? 1 : 0) - lossRate_[i]);
  }

  /// Called once per sweep.
  void decay() {
    for (double& rate : lossRate_)
      rate *= 1 - kDecay;
  }

 private:
  static constexpr Duration kFirstBucketLimit = std::chrono::milliseconds(250);
  static constexpr std::size_t kBucketCount = 8;
  static constexpr double kGain = 0.2;  // per attempt: averages over the last five of a bucket
  static constexpr double kDecay =
      0.005;  // per sweep: stale buckets are tried again after about twenty seconds
  static constexpr double kMinStaleLossRate = 0.3;
  std::array<double, kBucketCount> lossRate_{};
};

}  // namespace hollyrun::balancer
