/// Load shedding: requests whose score lies below a threshold are rejected unsent.
///
/// A score, 1 to 100, ranks a request by priority within the recent traffic, so that a threshold of t rejects
/// about t per cent. The threshold is 100 x^3, x being the larger of the error and in-flight overloads.
#pragma once

#include <string>
#include <vector>

#include "balancer/endpoint_registry.hpp"

namespace hollyrun::balancer {

/// The recent traffic by priority weight.
class PriorityRanking {
 public:
  /// Records a request; returns the fraction of the traffic, 0 to 1, that ranks below it. The draw, 0 to 1,
  /// spreads each weight over its own band, so that equal weights share the loss and a higher one is never
  /// shed first.
  double rank(double priorityWeight, double draw);
  void decay(double gain);

 private:
  struct Level {
    double priorityWeight = 0;
    double seen = 0;  // decayed count
  };
  std::vector<Level> levels_;  // in order of weight
};

class LoadShedder {
 public:
  /// The score of a request, 1 to 100; `draw` uniform in [0, 1).
  double score(double priorityWeight, double draw) { return 1 + 99 * ranking_.rank(priorityWeight, draw); }

  /// Scores below it are rejected, 0 to 100.
  double threshold() const { return threshold_; }
  /// Little or nothing is shed.
  bool hasSpareCapacity() const { return threshold_ <= 1; }
  /// Whether a text about the threshold is due: it has moved to another fifth of its range.
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
