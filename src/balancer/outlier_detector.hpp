/// Outlier detection: tracks failure rates per endpoint and per class at an endpoint, ejects outliers,
/// readmits them through probation and detects endpoints that have stopped responding.
#pragma once

#include <algorithm>
#include <unordered_map>

#include "balancer/action_list.hpp"
#include "balancer/endpoint_registry.hpp"
#include "balancer/random_source.hpp"
#include "balancer/service_time.hpp"

namespace hollyrun::balancer {

class OutlierDetector {
 public:
  /// Whether the outcome says anything about the endpoint.
  static bool isEvidence(Outcome outcome) {
    return outcome != Outcome::cancelled && outcome != Outcome::abandoned && outcome != Outcome::localFailure;
  }

  /// Records an outcome for which `isEvidence` holds.
  void recordResult(EndpointRecord& record, HostId host, RequestClass& requestClass, Outcome outcome,
                    Time now, RandomSource& random, ActionList& actions) const;

  /// Whether a further rejection indicates that the whole pool is full, and not only this endpoint.
  static bool rejectionIndicatesPoolOverload(const EndpointRecord& record) {
    return record.health.consecutiveRejections < kMaxConsecutiveRejections;
  }

  /// The steps of a sweep, in this order.
  void beginSweep(EndpointRegistry& endpoints, double gain, Time now);
  void detectSilence(EndpointRegistry& endpoints, const RequestTable& requests, double expectedServiceTime,
                     Time now) const;
  void ejectOutliers(EndpointRegistry& endpoints, Time now, RandomSource& random, ActionList& actions) const;

  /// Factor on the probability of selecting an endpoint for a class, 0.03 to 1: the more often the endpoint
  /// fails or rejects this class compared with its peers, the lower the factor. An endpoint may fail one
  /// class and serve the others, which its mean over all classes would hide.
  double selectionFraction(HostId host, const RequestClass& requestClass) const {
    const auto failures = requestClass.endpointFailureRates.find(host);
    if (failures == requestClass.endpointFailureRates.end())
      return 1;
    const double excess = std::max(failures->second - kPeerTolerance * requestClass.failureRate, 0.0);
    const double healthy = 1 - excess;
    return std::max(healthy * healthy * healthy, kMinSelectionFraction);
  }

 private:
  // After this many consecutive rejections the endpoint is paused: so many are not due to a short load peak.
  static constexpr int kMaxConsecutiveRejections = 3;
  // Multiple of the peers' failure rate that is tolerated as noise.
  static constexpr double kPeerTolerance = 1.5;
  // Keeps some traffic at the endpoint, to detect its recovery.
  static constexpr double kMinSelectionFraction = 0.03;

  static void eject(EndpointRecord& record, const char* reason, Time now, RandomSource& random,
                    ActionList& actions);
  static void recordHostResponse(EndpointHealth& health, Outcome outcome, Time now, RandomSource& random);
  static void recordClassResult(HostId host, RequestClass& requestClass, bool failed);

  double unhealthyCount_ = 0;  // endpoints ejected or in probation at the start of the sweep
};

}  // namespace hollyrun::balancer
