#include "balancer/slow_start.hpp"

#include "balancer/arrival_rate.hpp"

namespace hollyrun::balancer {
namespace {

// Load allowed on a cold endpoint, as a fraction of the load that overloads it.
constexpr double kColdLoad = 0.45;
constexpr double kPeakRateDecay = 0.997;   // per sweep: peak rates decay over half a minute
constexpr double kMinWindowSeconds = 0.1;  // lower bound of the overload window

}  // namespace

// All gateways together can overload a cold endpoint. In every overload window each gateway therefore sends
// at most its own share, rejected attempts included: the ramp fraction of what it sends to a warm endpoint of
// the same machine type, times overloadMultiple and kColdLoad. The share may be less than one request; a
// minimum of one, times hundreds of gateways, would overload the endpoint.
double SlowStart::refill(EndpointRecord& record, double fallbackRate, Time now) const {
  SlowStartBudget& budget = record.slowStart;
  const double window = std::max(toSeconds(settings_.overloadWindow), kMinWindowSeconds);
  const double measuredRate = record.machineType->throughput.peakRate;
  const double peakRate = measuredRate > 0 ? measuredRate : fallbackRate;
  const double rate = peakRate * rampFraction(record, now) * kColdLoad * settings_.overloadMultiple;
  budget.tokens =
      std::min(budget.tokens + rate * toSeconds(now - budget.refilledAt), std::max(1.0, rate * window / 4));
  budget.refilledAt = now;
  return budget.tokens;
}

void SlowStart::trackColdEndpoints(const EndpointRegistry& endpoints, Time now) {
  std::vector<double> starts;
  for (HostId host : endpoints.serving()) {
    const EndpointRecord& record = endpoints.record(host);
    if (isCold(record, now))
      starts.push_back(toSeconds(record.endpoint.upSince));
  }
  deficit_.assign(std::move(starts));
}

double SlowStart::warmCount(const EndpointRegistry& endpoints, Time now) {
  const double missing = (1 - settings_.slowStartInitialFraction) *
                         deficit_.at(toSeconds(now), toSeconds(settings_.slowStartDuration));
  return endpoints.servingCount() - missing;
}

// The peak rate decays slowly because, when nearly all endpoints restart in a deployment, the last warm ones
// are overloaded; with their falling rates as the limit, the cold endpoints that could help would receive too
// few requests.
void SlowStart::sweepThroughput(EndpointRegistry& endpoints, double gain, Time now) const {
  for (auto& [name, machineType] : endpoints.machineTypes())
    machineType.throughput.answers = machineType.throughput.endpointCount = 0;
  const std::vector<VirtualNode>& order = endpoints.subsetOrder();
  for (std::size_t i = 0; i < order.size(); ++i) {
    EndpointRecord& record = endpoints.record(order[i].host);
    const bool inUse = i < endpoints.activeSize();
    if (inUse && !isCold(record, now) && !record.health.isUnhealthy()) {
      record.machineType->throughput.answers += record.servedSinceSweep;
      record.machineType->throughput.endpointCount += 1;
    }
    record.servedSinceSweep = 0;
  }
  for (auto& [name, machineType] : endpoints.machineTypes()) {
    MachineTypeThroughput& throughput = machineType.throughput;
    if (throughput.endpointCount > 0) {
      const double perEndpoint = throughput.answers / throughput.endpointCount / toSeconds(kSweepInterval);
      throughput.rate += gain * (perEndpoint - throughput.rate);
    }
    throughput.peakRate = std::max(throughput.rate, throughput.peakRate * kPeakRateDecay);
  }
}

}  // namespace hollyrun::balancer
