/// Selects the endpoint of an attempt: candidates, key affinity, weighted random selection, power of two
/// choices.
///
/// A request is sent to a random available endpoint that is idle for this gateway; if there is none, to the
/// less loaded of two random ones.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/arrival_rate.hpp"
#include "balancer/connection_tracker.hpp"
#include "balancer/endpoint_registry.hpp"
#include "balancer/key_frequency.hpp"
#include "balancer/outlier_detector.hpp"
#include "balancer/random_source.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/service_time.hpp"
#include "balancer/slow_start.hpp"

namespace hollyrun::balancer {

class EndpointSelector {
 public:
  /// The components that a selection depends on.
  struct Inputs {
    const Settings& settings;
    const ArrivalRate& arrivals;
    const KeyFrequency& keyFrequency;
    const SlowStart& slowStart;
    const ServiceTimeModel& serviceTimes;
    const OutlierDetector& outliers;
    const ConnectionTracker& connections;
    const RetryPolicy& retries;
  };
  explicit EndpointSelector(const Inputs& inputs) : inputs_(inputs) {}

  /// Returns kNone if the rules allow no endpoint. Refills the slow-start tokens of cold candidates.
  HostId select(const PendingRequest& request, EndpointRegistry& endpoints, RandomSource& random, Time now);

  /// Whether the endpoint receives no attempts while others are available.
  bool isUnavailable(const EndpointRecord& record, Time now) const {
    return now < record.health.pausedUntil || !inputs_.connections.isReachable(record, now) ||
           record.health.silent || record.health.state == HealthState::ejected ||
           (record.health.state == HealthState::probation && record.inFlight > 0);
  }

 private:
  /// The order in which endpoints are examined: circularly from `start` through the first `primaryCount`
  /// nodes, then the other nodes.
  struct CandidateScan {
    const std::vector<VirtualNode>& nodes;
    std::size_t primaryCount;
    std::size_t start;
    std::size_t wanted;  // number of candidates, one of them idle, that ends the scan

    HostId at(std::size_t index) const {
      if (index >= primaryCount)
        return nodes[index].host;
      const std::size_t shifted = index + start;
      return nodes[shifted < primaryCount ? shifted : shifted - primaryCount].host;
    }
  };
  enum class Availability { required, ignored };

  CandidateScan startScan(const PendingRequest& request, const EndpointRegistry& endpoints,
                          RandomSource& random) const;
  void collectCandidates(const PendingRequest& request, Availability availability,
                         EndpointRegistry& endpoints, RandomSource& random, Time now);
  HostId selectByKey(const PendingRequest& request, const EndpointRegistry& endpoints, RandomSource& random,
                     Time now);
  void sortByAffinity(const PendingRequest& request, const EndpointRegistry& endpoints, std::size_t count);
  HostId selectIdle(const PendingRequest& request, const EndpointRegistry& endpoints,
                    RandomSource& random) const;
  HostId selectLessLoaded(const PendingRequest& request, const EndpointRegistry& endpoints,
                          RandomSource& random) const;
  std::size_t endpointsForKey(std::uint64_t key, const EndpointRegistry& endpoints) const;

  double selectionWeight(HostId host, const RequestClass& requestClass,
                         const EndpointRegistry& endpoints) const;
  bool isIdle(const EndpointRecord& record) const;

  Inputs inputs_;
  std::vector<HostId> candidates_;  // of the current selection
  std::uint64_t scans_ = 0;
  std::vector<std::uint64_t> lastScan_;  // by HostId: number of the last scan that examined the endpoint
  std::vector<double> affinityRank_;     // by HostId: rank of a candidate for the request's key
};

}  // namespace hollyrun::balancer
