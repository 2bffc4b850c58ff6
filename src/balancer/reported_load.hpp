/// What endpoint weights that fall with load say about how busy the endpoints are.
///
/// Such weights show what an endpoint holds for all gateways together, some time ago. An endpoint that all
/// gateways avoid at the same time empties and looks best next, so that the load would oscillate; for this
/// reason each report changes its selection fraction only a little.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/endpoint_registry.hpp"

namespace hollyrun::balancer {

class ReportedLoad {
 public:
  /// Applies a new list's weight of an endpoint.
  void applyReport(EndpointRecord& record, double weight) const {
    EndpointReportedLoad& reported = record.reportedLoad;
    reported.load = record.machineType->largestWeight / std::max(weight, 0.001);
    const double excess = reported.load / (kOverloaded * medianLoad_);
    const double factor = excess > 1 ? std::pow(excess, -kReduction) : kRecovery;
    reported.selectionFraction = std::clamp(reported.selectionFraction * factor, kMinFraction, 1.0);
  }

  void updateMedian(const EndpointRegistry& endpoints) {
    medianLoad_ =
        endpoints.quantile([](const EndpointRecord& record) { return record.reportedLoad.load; }, 0.5, 1);
  }

 private:
  static constexpr double kOverloaded = 1.5;    // times the median load: too much
  static constexpr double kReduction = 0.5;     // power of the excess by which each report cuts the fraction
  static constexpr double kRecovery = 1.1;      // and the factor of its way back
  static constexpr double kMinFraction = 0.05;  // a trickle, or an improvement would never be noticed

  double medianLoad_ = 1;
};

}  // namespace hollyrun::balancer
