/// What is kept for one endpoint and for one machine type, in one block so that a look at an endpoint touches
/// little memory. Each component is written by the part that its comment names; all others only read it.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/request_table.hpp"

namespace hollyrun::balancer {

enum class HealthState {
  healthy,
  ejected,    ///< sent nothing until the ejection ends
  probation,  ///< sent one attempt at a time; its outcome decides
};

/// Written by OutlierDetector.
struct EndpointHealth {
  HealthState state = HealthState::healthy;
  double failureRate = 0;  // of the recent attempts
  bool silent = false;     // holds attempts and nothing was heard of it for too long
  int ejections = 0;       // in a row
  int consecutiveRejections = 0;
  double outcomes = 0;  // decayed counts, for the pool's error rate
  double errors = 0;
  Time ejectedUntil{};
  Time lastHeardAt{};
  Time restUntil{};  // nothing is sent before

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
  double relative = 1;  // time taken divided by the class's expected service time
  double answers = 0;   // and losses from which it was estimated
};

/// Written by ReportedLoad.
struct EndpointReportedLoad {
  double load = 1;               // one and what it holds a core, as last reported
  double selectionFraction = 1;  // of its draws that it keeps
};

/// Written by ConnectionTracker.
struct EndpointConnections {
  std::uint32_t open = 0;  // that should be open
  int failedDials = 0;     // in a row
  Time lastUsedAt{};
  Time dialAfter{};  // no new connection is opened before
};

/// Written by SlowStart.
struct SlowStartBudget {
  double tokens = 0;
  Time refilledAt{};
};

/// Written by SlowStart.
struct MachineTypeThroughput {
  double served = 0;  // by warm endpoints since the last sweep,
  double count = 0;   // and how many they are
  double rate = 0;    // answers a second from a warm endpoint
  double proven = 0;  // the highest rate lately
};

/// Endpoints of one machine type.
struct MachineTypeRecord {
  double answers = 0;              // ServiceTimeModel: and losses from which the next was estimated
  double relativeServiceTime = 1;  // ServiceTimeModel: mean of its endpoints; assumed for one not measured
  double largestWeight = 0;        // EndpointRegistry: of an endpoint without load
  MachineTypeThroughput throughput;
};

struct EndpointRecord {
  // EndpointRegistry
  Endpoint endpoint;
  std::uint64_t addressHash = 0;
  MachineTypeRecord* machineType = nullptr;
  bool indexed = false;                    // in the lists that are kept in order
  std::uint32_t inFlight = 0;              // attempts of requests whose upload is complete
  double servedSinceSweep = 0;             // answers
  std::vector<RequestReference> attempts;  // in order of sending; those that have ended are removed later

  EndpointHealth health;
  EndpointServiceTime serviceTime;
  EndpointReportedLoad reportedLoad;
  EndpointConnections connections;
  SlowStartBudget slowStart;

  bool isServing() const { return endpoint.state == EndpointState::serving; }
};

}  // namespace hollyrun::balancer
