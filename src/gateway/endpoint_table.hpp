/// Applies endpoint lists to the balancer and the upstream pool, and keeps the status of each upstream host.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/dispatch_guard.hpp"
#include "gateway/discovery_monitor.hpp"
#include "gateway/endpoint_list.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/server_start_times.hpp"
#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

class EndpointTable {
 public:
  EndpointTable(GatewayState& state, UpstreamPool& upstream, DiscoveryMonitor& monitor);

  /// Applies a list to the balancer first, then to the statuses and the pool. `changedSince` is the earliest
  /// time at which its changes may have been announced to this gateway.
  void applyEndpointList(const EndpointList& list, balancer::EndpointListKind kind,
                         balancer::Time changedSince);

  /// Throws std::out_of_range if no list has ever named this host.
  const balancer::EndpointStatus& status(balancer::HostId host) const { return statuses_.at(host); }
  /// Whether discovery has sent a list, or a cached list has named an endpoint.
  bool isReady() const { return isReady_; }

 private:
  std::vector<balancer::Endpoint> convert(const EndpointList& list, balancer::EndpointListKind kind);
  void updateEndpoint(balancer::HostId id, const balancer::Endpoint& endpoint, balancer::Time changedSince);
  static void takeOutOfService(balancer::EndpointStatus& status, balancer::EndpointState state,
                               balancer::Time since);

  std::vector<balancer::EndpointState> currentStates() const;
  void reportStateChanges(const std::vector<balancer::EndpointState>& previous,
                          std::int64_t listVersion) const;

  GatewayState& state_;
  UpstreamPool& upstream_;
  DiscoveryMonitor& monitor_;
  ServerStartTimes startTimes_;
  std::vector<balancer::EndpointStatus> statuses_;  // by HostId
  bool isReady_ = false;
};

}  // namespace hollyrun::gateway
