/// The state of one endpoint and of one machine type. Each is a single block, so that examining an endpoint
/// touches little memory. Each group of fields is written only by the component that its comment names.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/request_table.hpp"

namespace hollyrun::balancer {

enum class HealthState {
  healthy,
  ejected,    ///< receives no attempts until the ejection ends, unless no other endpoint is available
  probation,  ///< receives one attempt at a time, whose outcome decides about the next state
};

/// Written by OutlierDetector.
struct EndpointHealth {
  HealthState state = HealthState::healthy;
  double failureRate = 0;  // of recent attempts, 0 to 1
  bool silent = false;     // has attempts in flight and has not responded for too long
  int ejections = 0;       // consecutive, up to a limit
  int consecutiveRejections = 0;
  double outcomes = 0;  // decayed count, for the pool's error rate
  double errors = 0;    // decayed count of failures and rejections
  Time ejectedUntil{};
  Time lastResponseAt{};
  Time pausedUntil{};  // no attempt is sent before this time, unless no other endpoint is available

  bool isUnhealthy() const { return state != HealthState::healthy || silent; }
  void resetForNewProcess() {
    state = HealthState::healthy;
    failureRate = 0;
    silent = false;
    ejections = 0;
    consecutiveRejections = 0;
  }
};

/// Written by ServiceTimeModel.
struct EndpointServiceTime {
  double relative = 1;  // service time divided by the class's expected service time
  double answers = 0;   // number of samples, including rejections and timeouts
};

/// Written by ReportedLoad.
struct EndpointReportedLoad {
  double load = 1;               // 1 + requests in flight per core, as last reported
  double selectionFraction = 1;  // factor on the selection probability
};

/// Written by ConnectionTracker.
struct EndpointConnections {
  std::uint32_t open = 0;  // estimated number of open connections
  int failedDials = 0;     // consecutive, up to a limit
  Time lastUsedAt{};
  Time dialAfter{};  // no new connection is opened before this time
};

/// Written by SlowStart.
struct SlowStartBudget {
  double tokens = 0;  // number of attempts that may be sent
  Time refilledAt{};
};

/// Written by SlowStart.
struct MachineTypeThroughput {
  double answers = 0;        // answers of warm endpoints since the last sweep
  double endpointCount = 0;  // number of those endpoints
  double rate = 0;           // answers per second and warm endpoint
  double peakRate = 0;       // recent maximum of the rate
};

/// The endpoints of one machine type.
struct MachineTypeRecord {
  double answers = 0;              // ServiceTimeModel: number of samples of relativeServiceTime
  double relativeServiceTime = 1;  // ServiceTimeModel: mean, assumed for endpoints without samples
  double largestWeight = 0;        // EndpointRegistry: weight of an endpoint without load
  MachineTypeThroughput throughput;
};

struct EndpointRecord {
  // EndpointRegistry
  Endpoint endpoint;
  std::uint64_t addressHash = 0;
  MachineTypeRecord* machineType = nullptr;
  bool indexed = false;                    // contained in the registry's ordered lists
  std::uint32_t inFlight = 0;              // attempts of requests whose upload is complete
  double servedSinceSweep = 0;             // answers since the last sweep
  std::vector<RequestReference> attempts;  // in order of sending; may include ended attempts

  EndpointHealth health;
  EndpointServiceTime serviceTime;
  EndpointReportedLoad reportedLoad;
  EndpointConnections connections;
  SlowStartBudget slowStart;

  bool isServing() const { return endpoint.state == EndpointState::serving; }
};

}  // namespace hollyrun::balancer
