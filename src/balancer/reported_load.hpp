/// Derives the load of endpoints from endpoint weights that fall with load.
///
/// Such weights show, with a delay, the load that all gateways together put on an endpoint. If all gateways
/// avoided a loaded endpoint at the same time, it would become idle and then attract all of them, and the
/// load would oscillate. Each report therefore changes the endpoint's selection fraction only a little.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/endpoint_registry.hpp"

namespace hollyrun::balancer {

class ReportedLoad {
 public:
  /// Applies an endpoint's weight from a new list.
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
  // Load from which an endpoint is overloaded, as a multiple of the median load.
  static constexpr double kOverloaded = 1.5;
  // Exponent of the excess load in the factor by which a report reduces the fraction.
  static constexpr double kReduction = 0.5;
  // Factor by which a report without excess load raises the fraction.
  static constexpr double kRecovery = 1.1;
  // Keeps some traffic at the endpoint, to detect an improvement.
  static constexpr double kMinFraction = 0.05;

  double medianLoad_ = 1;
};

}  // namespace hollyrun::balancer
