/// Admission of attempts: checks each connect and each first write against the state at that moment.
#pragma once

#include <utility>
#include <vector>

#include "balancer/dispatch_guard.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/endpoint_table.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/upstream_observer.hpp"

namespace hollyrun::gateway {

class AttemptAdmission {
 public:
  AttemptAdmission(GatewayState& state, const EndpointTable& endpoints, const DownstreamServer& downstream);

  /// Must be called before an attempt connects and before it writes its first byte.
  AdmissionResult admit(const AttemptStart& start);

  /// Returns and clears the clients that were found disconnected when an attempt was about to start.
  std::vector<DownstreamRequestId> takeDisconnectedClients() {
    return std::exchange(disconnectedClients_, {});
  }
  bool hasDisconnectedClients() const { return !disconnectedClients_.empty(); }
  /// Returns and clears the requests that must not be executed because their id may have been executed.
  std::vector<balancer::RequestId> takeRepeatedRequests() { return std::exchange(repeatedRequests_, {}); }
  bool hasRepeatedRequests() const { return !repeatedRequests_.empty(); }
  const balancer::DispatchGuard& guard() const { return guard_; }

 private:
  bool isClientPresent(const RequestContext& context);
  bool claim(RequestContext& context);
  balancer::Duration timeLeftForUpload(const RequestContext& context) const;
  AdmissionResult deny(const RequestContext& context, const AttemptStart& start,
                       balancer::DenialReason reason);

  GatewayState& state_;
  const EndpointTable& endpoints_;
  const DownstreamServer& downstream_;
  balancer::DispatchGuard guard_;
  std::vector<DownstreamRequestId> disconnectedClients_;
  std::vector<balancer::RequestId> repeatedRequests_;
};

}  // namespace hollyrun::gateway
