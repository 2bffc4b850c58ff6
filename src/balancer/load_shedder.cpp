#include "balancer/load_shedder.hpp"

#include <algorithm>

namespace hollyrun::balancer {
namespace {

constexpr double kInFlightThreshold = 0.5;  // fraction of the maximum in flight below which nothing is shed
// The number of attempts that one of many gateways has in flight varies by about its square root, and the
// cubic threshold would turn that variation into rejections. With sparse samples, the range from no to full
// shedding is therefore wider and starts earlier, by these fractions of the maximum, so that the variation is
// centred on the same maximum.
constexpr double kSparseRangeExtension = 0.5;
constexpr double kSparseStartShift = 0.25;
// Fractions of failed attempts at which shedding starts and is total. A few percent are normal.
constexpr double kErrorThreshold = 0.1;
constexpr double kErrorMaximum = 0.7;
// Attempts assumed successful, so that the fraction of failures among a handful of attempts is not taken at
// face value.
constexpr double kErrorPrior = 10;

}  // namespace

double PriorityRanking::rank(double priorityWeight, double draw) {
  std::size_t index = 0;
  while (index < levels_.size() && levels_[index].priorityWeight < priorityWeight * 0.999)
    ++index;
  if (index == levels_.size() || levels_[index].priorityWeight > priorityWeight * 1.001 + 1e-12)
    levels_.insert(levels_.begin() + static_cast<std::ptrdiff_t>(index), Level{priorityWeight, 0});
  levels_[index].seen += 1;
  double below = 0;
  double all = 0;
  for (std::size_t i = 0; i < levels_.size(); ++i) {
    all += levels_[i].seen;
    if (i < index)
      below += levels_[i].seen;
  }
  return (below + draw * levels_[index].seen) / all;
}

void PriorityRanking::decay(double gain) {
  for (Level& level : levels_)
    level.seen *= 1 - gain;
  std::erase_if(levels_, [](const Level& level) { return level.seen < 0.01; });
}

void LoadShedder::updateThreshold(double inFlight, double maximum, double sampleConfidence) {
  const double sparseness = 1 - sampleConfidence;
  const double inFlightOverload = (inFlight / maximum - kInFlightThreshold + kSparseStartShift * sparseness) /
                                  (1 - kInFlightThreshold + kSparseRangeExtension * sparseness);
  const double overload = std::clamp(std::max(inFlightOverload, errorOverload_), 0.0, 1.0);
  threshold_ = 100 * overload * overload * overload;
}

void LoadShedder::sweepErrors(const EndpointRegistry& endpoints) {
  double outcomes = kErrorPrior;
  double errors = 0;
  for (HostId host : endpoints.serving()) {
    const EndpointHealth& health = endpoints.record(host).health;
    if (health.isUnhealthy())
      continue;
    outcomes += health.outcomes;
    errors += health.errors;
  }
  errorOverload_ = (errors / outcomes - kErrorThreshold) / (kErrorMaximum - kErrorThreshold);
}

}  // namespace hollyrun::balancer
