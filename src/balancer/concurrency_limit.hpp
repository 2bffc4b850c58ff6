/// The limit on attempts in flight, and how many are in flight compared with it.
///
/// By Little's law the mean time in flight is in flight / rate, so the pool carries rate x objective at most
/// if answers are to be in time.
#pragma once

#include "balancer/arrival_rate.hpp"
#include "balancer/endpoint_registry.hpp"
#include "balancer/service_time.hpp"

namespace hollyrun::balancer {

class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const Settings& settings, const ArrivalRate& arrivals,
                   const ServiceTimeModel& serviceTimes, Time now);

  /// A request whose answer has value for `objectiveTime` has arrived.
  void recordArrival(Duration objectiveTime);
  /// An answer of so much work, in units of the mean request, and of this part of its full value.
  void recordServed(double work, double value) { timelyWork_ += work * value; }
  /// A rejection, weighted by how far the endpoint is trusted.
  void recordRejection(double weight) { rejections_ += weight; }
  void recordOutcome() { outcomes_ += 1; }

  /// Attempts in flight now, without those that are in flight so long that they say nothing of a queue.
  double inFlightNow(const EndpointRegistry& endpoints, const RequestTable& requests, Time now) const;
  void smoothAtArrival(double inFlight);
  void smoothAtSweep(double inFlight);
  double smoothedInFlight() const { return smoothedInFlight_; }

  /// Attempts in flight at most; `warmEndpoints` counts a cold one by its ramp fraction.
  double maximum(double warmEndpoints, Time now) const;

  /// The steps of a sweep: the rate goes before the ArrivalRate's sweep.
  void sweepRate();
  void sweepBaseline(bool hasSpareCapacity, const EndpointRegistry& endpoints);

 private:
  double allowedTime() const;

  const Settings& settings_;
  const ArrivalRate& arrivals_;
  const ServiceTimeModel& serviceTimes_;
  Time startedAt_;
  double timelyWork_ = 0;  // answered in time since the last sweep
  double timelyRate_ = 0;  // a second
  double rejections_ = 0;  // decayed counts
  double outcomes_;
  double baselineInFlight_ = 0;  // an endpoint, while nothing is shed
  double smoothedInFlight_ = 0;
  double meanObjective_ = 0;  // seconds, over the recent arrivals
};

}  // namespace hollyrun::balancer
