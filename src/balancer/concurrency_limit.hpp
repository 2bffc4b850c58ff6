/// Limits the attempts in flight and measures how many there are.
///
/// By Little's law the mean time in flight is (attempts in flight) / rate. For answers to meet the latency
/// objective, the pool may have at most rate x objective attempts in flight.
#pragma once

#include "balancer/arrival_rate.hpp"
#include "balancer/endpoint_registry.hpp"
#include "balancer/service_time.hpp"

namespace hollyrun::balancer {

class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const Settings& settings, const ArrivalRate& arrivals,
                   const ServiceTimeModel& serviceTimes, Time now);

  /// Records the arrival of a request whose answer has value for `objectiveTime`.
  void recordArrival(Duration objectiveTime);
  /// Records an answer. `work` is relative to the mean request; `value` is the fraction of the full value, 0
  /// to 1.
  void recordServed(double work, double value) { timelyWork_ += work * value; }
  /// Records a rejection. `weight` is the endpoint's selection fraction for the request's class, 0 to 1.
  void recordRejection(double weight) { rejections_ += weight; }
  void recordOutcome() { outcomes_ += 1; }

  /// Attempts in flight now, without those in flight for so long that they do not indicate queueing.
  double inFlightNow(const EndpointRegistry& endpoints, const RequestTable& requests, Time now) const;
  void smoothAtArrival(double inFlight);
  void smoothAtSweep(double inFlight);
  double smoothedInFlight() const { return smoothedInFlight_; }

  /// Maximum number of attempts in flight. `warmEndpoints` counts a cold endpoint by its ramp fraction.
  double maximum(double warmEndpoints, Time now) const;

  /// The steps of a sweep. sweepRate must precede the sweep of the ArrivalRate.
  void sweepRate();
  void sweepBaseline(bool hasSpareCapacity, const EndpointRegistry& endpoints);

 private:
  double allowedTime() const;

  const Settings& settings_;
  const ArrivalRate& arrivals_;
  const ServiceTimeModel& serviceTimes_;
  Time startedAt_;
  double timelyWork_ = 0;        // work answered in time since the last sweep
  double timelyRate_ = 0;        // work answered in time per second
  double rejections_ = 0;        // decayed count
  double outcomes_;              // decayed count
  double baselineInFlight_ = 0;  // attempts per endpoint while nothing is shed
  double smoothedInFlight_ = 0;
  double meanObjective_ = 0;  // seconds, mean over the recent arrivals
};

}  // namespace hollyrun::balancer
