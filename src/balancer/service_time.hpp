/// Estimates service times: the expected time of each class, the relative time of each endpoint and the trend
/// of the pool.
#pragma once

#include <cmath>

#include "balancer/duration.hpp"
#include "balancer/endpoint_registry.hpp"
#include "balancer/slow_start.hpp"

namespace hollyrun::balancer {

class ServiceTimeModel {
 public:
  explicit ServiceTimeModel(const SlowStart& slowStart) : slowStart_(slowStart) {}

  /// Records a cost hint; returns the request's cost relative to the mean of its class, 0.2 to 5, or 1
  /// without a hint.
  double recordCost(RequestClass& requestClass, Duration cost);
  /// Adds the request's expected work to the mean over the recent arrivals; called after recordCost.
  void recordArrival(const PendingRequest& request);

  /// Record an attempt's outcome. `cost` is PendingRequest::cost, `seconds` the time that the attempt took
  /// and `confidence` ArrivalRate::sampleConfidence.
  void recordServed(EndpointRecord& record, RequestClass& requestClass, double cost, double seconds,
                    double confidence);
  void recordRejected(EndpointRecord& record, double confidence);
  void recordTimeout(EndpointRecord& record, const RequestClass& requestClass, double cost, double seconds,
                     double confidence);

  /// Decays the relative service time of endpoints without requests to the value assumed for an endpoint
  /// without samples. A high value measured during a failure keeps requests away, and would otherwise never
  /// change.
  void decayUnused(EndpointRegistry& endpoints, double confidence, Time now) const;
  void updateMedian(const EndpointRegistry& endpoints);
  void sweepClasses(const RequestClassTable& classes);

  /// Relative service time assumed for an endpoint without samples: the mean of its machine type, divided by
  /// the fourth root of the endpoint's ramp fraction while it is cold. The selection weight is the inverse
  /// square of the relative service time, so a cold endpoint's weight falls by the square root of the ramp
  /// fraction.
  double assumedRelative(const EndpointRecord& record, Time now) const {
    return record.machineType->relativeServiceTime /
           std::sqrt(std::sqrt(slowStart_.rampFraction(record, now)));
  }

  /// Expected work of the request in units of the mean request, 0.1 to 10. With a plain count of answers, a
  /// gateway that is left with a class of heavy requests would consider the pool slow and shed too much.
  double workOf(const PendingRequest& request) const;

  double medianRelative() const { return medianRelative_; }
  /// Mean of the expected service time over the classes, in seconds; 0 before the first answer.
  double expected() const { return expected_; }
  /// Recent minimum of the expected service time's average over two seconds; in seconds.
  double minExpected() const { return minExpected_; }

 private:
  static void recordSample(EndpointRecord& record, double sample, double confidence);

  const SlowStart& slowStart_;
  double meanWork_ = 0;  // seconds, mean over the recent arrivals
  double medianRelative_ = 1;
  double expected_ = 0;
  double meanExpected_ = 0;
  double minExpected_ = 0;
};

/// Expected service time of the request at an average endpoint.
inline Duration expectedTime(const PendingRequest& request) {
  return scaled(std::chrono::seconds(1), request.requestClass->expectedServiceTime * request.cost);
}

// Per sample: averages over the last fifty, at first over all.
inline constexpr double kServiceTimeGain = 0.02;

}  // namespace hollyrun::balancer
