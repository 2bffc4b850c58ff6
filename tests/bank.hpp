// A group of gateways that send requests to the same hosts at a low rate each. The gateways share no state;
// the group sums what they send.
#pragma once

#include <algorithm>
#include <memory>
#include <random>

#include "driver.hpp"

namespace hollyrun::balancer::testing {

class GatewayGroup {
 public:
  GatewayGroup(Settings settings, int gateways, int hosts) : hostCount(hosts) {
    settings.replicaCount = static_cast<std::uint32_t>(gateways);
    for (int gateway = 0; gateway < gateways; ++gateway) {
      settings.replicaIndex = static_cast<std::uint32_t>(gateway);
      settings.seed = static_cast<std::uint64_t>(gateway) + 1;
      drivers.push_back(std::make_unique<Driver>(settings, 0));
    }
    announceHosts(EndpointListKind::snapshot, 0, hosts);
  }
  // Reports the hosts numbered `from` to `to` - 1 to each gateway.
  void announceHosts(EndpointListKind kind, int from, int to, Time upSince = {}) {
    std::vector<Endpoint> list;
    for (int i = from; i < to; ++i) {
      list.push_back(makeHost(i));
      list.back().upSince = upSince;
    }
    for (auto& driver : drivers) {
      driver->balancer.onEndpoints(driver->now, kind, list);
      driver->collectActions();
    }
    hostCount = std::max(hostCount, to);
  }
  // Each gateway receives `requestsPerSecond` on average; hosts answer after `serviceTime`.
  void run(double durationSeconds, double requestsPerSecond, Duration serviceTime = milliseconds(40)) {
    const double chance = requestsPerSecond * 0.02;
    for (int i = 0; i < static_cast<int>(durationSeconds / 0.02); ++i)
      for (auto& driver : drivers) {
        if (std::uniform_real_distribution<>()(engine) < chance)
          driver->submitRequest(0);
        driver->advance(milliseconds(20), milliseconds(20));
        while (!driver->inFlight.empty() && driver->now - driver->inFlight.front().sentAt >= serviceTime)
          driver->serve(SentAttempt(driver->inFlight.front()));
      }
  }
  void clearHistory() {
    for (auto& driver : drivers)
      driver->clearHistory();
  }
  std::size_t attemptsTo(int host) const {
    std::size_t count = 0;
    for (const auto& driver : drivers)
      count += driver->attemptsTo(driver->hostId(host));
    return count;
  }
  // Number of gateways that have sent attempts to the host.
  std::size_t gatewaysUsing(int host) const {
    std::size_t count = 0;
    for (const auto& driver : drivers)
      count += driver->attemptsTo(driver->hostId(host)) > 0;
    return count;
  }
  Time now() const { return drivers.front()->now; }

  std::vector<std::unique_ptr<Driver>> drivers;  // one per gateway
  int hostCount;
  std::mt19937 engine{11};
};

}  // namespace hollyrun::balancer::testing
