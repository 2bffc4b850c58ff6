/// Outlier detection: failure rates of endpoints and of classes at endpoints, ejection, probation and
/// silence.
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
  /// Outcomes that say nothing about the endpoint are ignored.
  static bool isEvidence(Outcome outcome) {
    return outcome != Outcome::cancelled && outcome != Outcome::abandoned && outcome != Outcome::localFailure;
  }

  /// Records an outcome for which `isEvidence` holds.
  void recordResult(EndpointRecord& record, HostId host, RequestClass& requestClass, Outcome outcome,
                    Time now, RandomSource& random, ActionList& actions) const;

  /// Whether a further rejection shows that the pool is full, and not only this endpoint.
  static bool rejectionIndicatesPoolOverload(const EndpointRecord& record) {
    return record.health.consecutiveRejections < kMaxConsecutiveRejections;
  }

  /// The steps of a sweep, in this order.
  void beginSweep(EndpointRegistry& endpoints, double gain, Time now);
  void detectSilence(EndpointRegistry& endpoints, const RequestTable& requests, double expectedServiceTime,
                     Time now) const;
  void ejectOutliers(EndpointRegistry& endpoints, Time now, RandomSource& random, ActionList& actions) const;

  /// Part of its draws that an endpoint keeps for a class, 0.03 to 1: less as it fails that class more than
  /// its peers do. An endpoint may fail one class and serve the others; its mean over all would hide that.
  double selectionFraction(HostId host, const RequestClass& requestClass) const {
    const auto failures = requestClass.endpointFailureRates.find(host);
    if (failures == requestClass.endpointFailureRates.end())
      return 1;
    const double excess = std::max(failures->second - kPeerTolerance * requestClass.failureRate, 0.0);
    const double healthy = 1 - excess;
    return std::max(healthy * healthy * healthy, kMinSelectionFraction);
  }

 private:
  static constexpr int kMaxConsecutiveRejections = 3;    // not a short peak: the endpoint rests
  static constexpr double kPeerTolerance = 1.5;          // multiple of the peers' rate that is noise
  static constexpr double kMinSelectionFraction = 0.03;  // a trickle shows when it is healthy again

  static void eject(EndpointRecord& record, const char* reason, Time now, RandomSource& random,
                    ActionList& actions);
  static void recordHostResponse(EndpointHealth& health, Outcome outcome, Time now, RandomSource& random);
  static void recordClassResult(HostId host, RequestClass& requestClass, bool lost);

  double unhealthyCount_ = 0;  // ejected or in probation, as the sweep began
};

}  // namespace hollyrun::balancer
