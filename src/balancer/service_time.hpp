/// Service times: what is expected of each class, how endpoints compare with that, and the trend of the pool.
#pragma once

#include <cmath>

#include "balancer/duration.hpp"
#include "balancer/endpoint_registry.hpp"
#include "balancer/slow_start.hpp"

namespace hollyrun::balancer {

class ServiceTimeModel {
 public:
  explicit ServiceTimeModel(const SlowStart& slowStart) : slowStart_(slowStart) {}

  /// The request's cost relative to its class's mean, 0.2 to 5; 1 if the request has no cost hint.
  double recordCost(RequestClass& requestClass, Duration cost);
  /// After recordCost: its expected work enters the mean over the recent arrivals.
  void recordArrival(const PendingRequest& request);

  void recordServed(EndpointRecord& record, RequestClass& requestClass, double cost, double seconds,
                    double confidence);
  void recordRejected(EndpointRecord& record, double confidence);
  void recordTimeout(EndpointRecord& record, const RequestClass& requestClass, double cost, double seconds,
                     double confidence);

  /// A relative service time learned in trouble keeps requests away, and without requests it would never
  /// change: it fades to what is assumed for an endpoint not measured.
  void decayUnused(EndpointRegistry& endpoints, double confidence, Time now) const;
  void updateMedian(const EndpointRegistry& endpoints);
  void sweepClasses(const RequestClassTable& classes);

  /// Relative service time of an endpoint not measured yet. The draw goes by its square, and a cold
  /// endpoint's rate by about the fourth root.
  double assumedRelative(const EndpointRecord& record, Time now) const {
    return record.machineType->relativeServiceTime /
           std::sqrt(std::sqrt(slowStart_.rampFraction(record, now)));
  }

  /// Expected work of the request in units of the mean request, 0.1 to 10. If answers were counted one by
  /// one, heavy ones would make a gateway reduced to a heavy class take the pool for slow and shed too much.
  double workOf(const PendingRequest& request) const;

  double medianRelative() const { return medianRelative_; }
  /// Mean over the classes, in seconds; 0 before the first answer.
  double expected() const { return expected_; }
  /// The least that the expected time has lately been, in the mean over two seconds; seconds.
  double minExpected() const { return minExpected_; }

 private:
  static void recordSample(EndpointRecord& record, double sample, double confidence);

  const SlowStart& slowStart_;
  double meanWork_ = 0;  // seconds, over the recent arrivals
  double medianRelative_ = 1;
  double expected_ = 0;
  double meanExpected_ = 0;
  double minExpected_ = 0;
};

/// Time that the request is expected to take at a usual endpoint.
inline Duration expectedTime(const PendingRequest& request) {
  return scaled(std::chrono::seconds(1), request.requestClass->expectedServiceTime * request.cost);
}

inline constexpr double kServiceTimeGain = 0.02;  // per sample: a mean over the last fifty, at first over all

}  // namespace hollyrun::balancer
