/// Slow start: an endpoint that started lately is sent a growing part of what a warm one carries.
#pragma once

#include <algorithm>
#include <functional>
#include <numeric>
#include <vector>

#include "balancer/duration.hpp"
#include "balancer/endpoint_registry.hpp"

namespace hollyrun::balancer {

/// The capacity that endpoints in their slow start lack, in endpoints. It is summed as they are added and
/// become warm, so that reading it costs the same whatever their number.
class RampDeficit {
 public:
  /// `starts` in seconds.
  void assign(std::vector<double> starts) {
    starts_ = std::move(starts);
    std::sort(starts_.begin(), starts_.end(), std::greater<>());
    sum_ = std::accumulate(starts_.begin(), starts_.end(), 0.0);
  }

  /// Sum of the fractions of the slow start that lie ahead; `now` and `slowStartDuration` in seconds.
  double at(double now, double slowStartDuration) {
    for (; !starts_.empty() && now - starts_.back() >= slowStartDuration; starts_.pop_back())
      sum_ -= starts_.back();
    const double cold = static_cast<double>(starts_.size());
    return starts_.empty() ? 0 : cold - (cold * now - sum_) / slowStartDuration;
  }

 private:
  std::vector<double> starts_;  // the latest first
  double sum_ = 0;
};

class SlowStart {
 public:
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  bool isCold(const EndpointRecord& record, Time now) const {
    return record.endpoint.upSince > Time{} && now - record.endpoint.upSince < settings_.slowStartDuration;
  }

  /// Part of a warm endpoint's capacity that it has now, 0 to 1.
  double rampFraction(const EndpointRecord& record, Time now) const {
    if (!isCold(record, now))
      return 1;
    const Duration age = std::max(now - record.endpoint.upSince, Duration{});
    return settings_.slowStartInitialFraction +
           (1 - settings_.slowStartInitialFraction) * toSeconds(age) / toSeconds(settings_.slowStartDuration);
  }

  /// Refills the endpoint's tokens; whether they allow one more attempt. `fallbackRate` stands for the
  /// throughput of a warm endpoint (answers a second) where none of its machine type was seen, as after this
  /// gateway's start.
  bool allows(EndpointRecord& record, double fallbackRate, Time now) const {
    if (!isCold(record, now))
      return true;
    return refill(record, fallbackRate, now) >= 1;
  }
  void spend(EndpointRecord& record, Time now) const {
    if (isCold(record, now))
      record.slowStart.tokens -= 1;
  }

  /// A first request from every gateway at the same moment would be a burst; a random phase in [0, 1) spreads
  /// them.
  void resetForNewProcess(EndpointRecord& record, double phase, Time now) const {
    record.slowStart.tokens = phase;
    record.slowStart.refilledAt = now;
  }

  /// After the list of endpoints has changed.
  void trackColdEndpoints(const EndpointRegistry& endpoints, Time now);
  /// Serving endpoints, a cold one counted by its ramp fraction.
  double warmCount(const EndpointRegistry& endpoints, Time now);
  /// Updates what warm endpoints of each machine type carry, and starts a new count of answers.
  void sweepThroughput(EndpointRegistry& endpoints, double gain, Time now) const;

 private:
  double refill(EndpointRecord& record, double fallbackRate, Time now) const;

  const Settings& settings_;
  RampDeficit deficit_;
};

}  // namespace hollyrun::balancer
