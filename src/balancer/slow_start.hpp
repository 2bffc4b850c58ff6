/// Slow start: a recently started endpoint receives a growing fraction of the load of a warm one.
#pragma once

#include <algorithm>
#include <functional>
#include <numeric>
#include <vector>

#include "balancer/duration.hpp"
#include "balancer/endpoint_registry.hpp"

namespace hollyrun::balancer {

/// Sums the remaining fractions of the slow start over the cold endpoints. The capacity that these endpoints
/// lack, in units of a warm endpoint, is proportional to the sum. The sum is updated as endpoints are added
/// and become warm, so the cost of reading it does not depend on their number.
class RampDeficit {
 public:
  /// Replaces the start times of the cold endpoints, in seconds.
  void assign(std::vector<double> starts) {
    starts_ = std::move(starts);
    std::sort(starts_.begin(), starts_.end(), std::greater<>());
    sum_ = std::accumulate(starts_.begin(), starts_.end(), 0.0);
  }

  /// Sum over the endpoints of the fraction of the slow start that remains; `now` and `slowStartDuration` in
  /// seconds.
  double at(double now, double slowStartDuration) {
    for (; !starts_.empty() && now - starts_.back() >= slowStartDuration; starts_.pop_back())
      sum_ -= starts_.back();
    const double cold = static_cast<double>(starts_.size());
    return starts_.empty() ? 0 : cold - (cold * now - sum_) / slowStartDuration;
  }

 private:
  std::vector<double> starts_;  // in descending order
  double sum_ = 0;
};

class SlowStart {
 public:
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  bool isCold(const EndpointRecord& record, Time now) const {
    return record.endpoint.upSince > Time{} && now - record.endpoint.upSince < settings_.slowStartDuration;
  }

  /// The endpoint's current capacity as a fraction of its capacity when warm, 0 to 1.
  double rampFraction(const EndpointRecord& record, Time now) const {
    if (!isCold(record, now))
      return 1;
    const Duration age = std::max(now - record.endpoint.upSince, Duration{});
    return settings_.slowStartInitialFraction +
           (1 - settings_.slowStartInitialFraction) * toSeconds(age) / toSeconds(settings_.slowStartDuration);
  }

  /// Refills the endpoint's tokens and returns whether they allow one more attempt. `fallbackRate` (answers
  /// per second) replaces the throughput of a warm endpoint while none of the machine type has been measured,
  /// as after this gateway's start.
  bool allows(EndpointRecord& record, double fallbackRate, Time now) const {
    if (!isCold(record, now))
      return true;
    return refill(record, fallbackRate, now) >= 1;
  }
  void spend(EndpointRecord& record, Time now) const {
    if (isCold(record, now))
      record.slowStart.tokens -= 1;
  }

  /// Sets the initial number of tokens to `phase`, random in [0, 1), so that the gateways do not all send
  /// their first request at the same moment.
  void resetForNewProcess(EndpointRecord& record, double phase, Time now) const {
    record.slowStart.tokens = phase;
    record.slowStart.refilledAt = now;
  }

  /// Updates the set of cold endpoints after the endpoint list has changed.
  void trackColdEndpoints(const EndpointRegistry& endpoints, Time now);
  /// Number of serving endpoints, where a cold one counts as its ramp fraction.
  double warmCount(const EndpointRegistry& endpoints, Time now);
  /// Updates the throughput of warm endpoints per machine type and resets the counts of answers.
  void sweepThroughput(EndpointRegistry& endpoints, double gain, Time now) const;

 private:
  double refill(EndpointRecord& record, double fallbackRate, Time now) const;

  const Settings& settings_;
  RampDeficit deficit_;
};

}  // namespace hollyrun::balancer
