/// Load shedding: requests whose score is below a threshold are rejected without being sent.
///
/// A score, 1 to 100, ranks a request by priority within the recent traffic, so that a threshold of t rejects
/// about t percent of it. The threshold is 100 x^3, where x is the larger of the error overload and the
/// in-flight overload, limited to the range from 0 (nothing is shed) to 1.
#pragma once

#include <string>
#include <vector>

#include "balancer/endpoint_registry.hpp"

namespace hollyrun::balancer {

/// Ranks requests by priority weight within the recent traffic.
class PriorityRanking {
 public:
  /// Records a request; returns the fraction of the traffic, 0 to 1, that ranks below it. `draw`, 0 to 1,
  /// spreads requests of equal weight over the band of that weight, so that equal weights share the
  /// rejections and a higher weight is never shed first. Weights that differ by less than 0.1 percent count
  /// as equal.
  double rank(double priorityWeight, double draw);
  void decay(double gain);

 private:
  struct Level {
    double priorityWeight = 0;
    double seen = 0;  // decayed count
  };
  std::vector<Level> levels_;  // in ascending order of weight
};

class LoadShedder {
 public:
  /// The score of a request, 1 to 100; `draw` must be uniform in [0, 1).
  double score(double priorityWeight, double draw) { return 1 + 99 * ranking_.rank(priorityWeight, draw); }

  /// Requests with a lower score are rejected; 0 to 100.
  double threshold() const { return threshold_; }
  /// Whether little or nothing is shed.
  bool hasSpareCapacity() const { return threshold_ <= 1; }
  /// Whether a log line is due: the threshold has moved to another fifth of its range since the last one.
  bool hasChangedBand() const { return band() != loggedBand_; }
  void markLogged() { loggedBand_ = band(); }
  double errorOverload() const { return errorOverload_; }

  void updateThreshold(double inFlight, double maximum, double sampleConfidence);
  void sweepErrors(const EndpointRegistry& endpoints);
  void decayRanking(double gain) { ranking_.decay(gain); }

 private:
  int band() const { return static_cast<int>(threshold_ / 20); }

  PriorityRanking ranking_;
  double threshold_ = 0;
  double errorOverload_ = 0;
  int loggedBand_ = 0;
};

}  // namespace hollyrun::balancer
