#include "balancer/load_shedder.hpp"

#include <algorithm>

namespace hollyrun::balancer {
namespace {

constexpr double kInFlightThreshold = 0.5;  // fraction of the maximum in flight below which nothing is shed
// What one of many gateways has in flight varies by its square root, and the cubic would turn the variation
// into rejections. With sparse samples full shedding comes this much later, and its beginning this much
// earlier, so that the variation lies about the same maximum.
constexpr double kSparseRangeExtension = 0.5;
constexpr double kSparseStartShift = 0.25;
constexpr double kErrorThreshold = 0.1;  // fraction of failed attempts: a few per cent is everyday noise
constexpr double kErrorMaximum = 0.7;
constexpr double kErrorPrior = 10;  // attempts assumed good, so that a handful of samples proves nothing

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
