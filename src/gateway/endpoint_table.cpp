#include "gateway/endpoint_table.hpp"

#include <cstddef>
#include <optional>
#include <utility>

namespace hollyrun::gateway {

using balancer::Endpoint;
using balancer::EndpointListKind;
using balancer::EndpointState;
using balancer::EndpointStatus;
using balancer::HostId;

EndpointTable::EndpointTable(GatewayState& state, UpstreamPool& upstream, DiscoveryMonitor& monitor)
    : state_(state), upstream_(upstream), monitor_(monitor), startTimes_(state.clock.readClocks()) {}

void EndpointTable::applyEndpointList(const EndpointList& list, EndpointListKind kind,
                                      balancer::Time changedSince) {
  const std::vector<EndpointState> previousStates = currentStates();
  const std::vector<Endpoint> endpoints = convert(list, kind);
  state_.balancer.onEndpoints(state_.clock.now(), kind, endpoints);
  // Only a delta keeps endpoints that it does not list. For any other list all endpoints are marked as
  // removed before the listed ones are updated.
  if (kind != EndpointListKind::delta)
    for (EndpointStatus& status : statuses_)
      takeOutOfService(status, EndpointState::removed, changedSince);
  for (std::size_t i = 0; i < list.endpoints.size(); ++i) {
    const ListedEndpoint& listed = list.endpoints[i];
    const HostId id = state_.balancer.findHost(listed.uid);
    updateEndpoint(id, endpoints[i], changedSince);
    if (listed.address.port() != 0)
      upstream_.setEndpoint(id, listed.address);
    if (listed.state != EndpointState::serving)
      upstream_.drain(id);
  }
  if (kind != EndpointListKind::cached)  // a cached list is what this process starts with, not a change
    reportStateChanges(previousStates, list.version);
  isReady_ = isReady_ || !list.endpoints.empty() || kind != EndpointListKind::cached;
}

std::vector<EndpointState> EndpointTable::currentStates() const {
  std::vector<EndpointState> states;
  states.reserve(statuses_.size());
  for (const EndpointStatus& status : statuses_)
    states.push_back(status.state);
  return states;
}

void EndpointTable::reportStateChanges(const std::vector<EndpointState>& previous,
                                       std::int64_t listVersion) const {
  for (std::size_t i = 0; i < statuses_.size(); ++i) {
    const EndpointStatus& status = statuses_[i];
    const bool isNew = i >= previous.size();
    if (!isNew && previous[i] == status.state)
      continue;
    monitor_.recordStateChange({.uid = state_.balancer.address(status.id),
                                .from = isNew ? std::nullopt : std::optional(previous[i]),
                                .to = status.state,
                                .listVersion = listVersion});
  }
}

std::vector<Endpoint> EndpointTable::convert(const EndpointList& list, EndpointListKind kind) {
  const auto source = kind == EndpointListKind::cached ? ServerStartTimes::Source::cached
                                                       : ServerStartTimes::Source::discovery;
  const std::vector<balancer::Time> startTimes =
      startTimes_.startTimesOf(list, source, state_.clock.readClocks());
  std::vector<Endpoint> endpoints;
  for (const ListedEndpoint& listed : list.endpoints) {
    Endpoint endpoint;
    // The balancer identifies a host by its uid, which is the same at all gateways and does not change with
    // the address.
    endpoint.address = listed.uid;
    endpoint.zone = listed.zone;
    endpoint.machineType = listed.machineType;
    endpoint.cell = listed.cell;
    endpoint.weight = listed.weight;
    endpoint.upSince = startTimes[endpoints.size()];
    endpoint.state = listed.state;
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

// After a gap in the watch, a drain may have been announced long before this process learned of it. Counted
// from now, an attempt that is still connecting would be sent later than the grace.
void EndpointTable::takeOutOfService(EndpointStatus& status, EndpointState state, balancer::Time since) {
  if (status.state == EndpointState::serving)
    status.stateSince = since;
  status.state = state;
}

void EndpointTable::updateEndpoint(HostId id, const Endpoint& endpoint, balancer::Time changedSince) {
  if (statuses_.size() <= id)
    statuses_.resize(id + std::size_t{1});
  EndpointStatus& status = statuses_[id];
  status.id = id;
  status.zone = endpoint.zone;
  status.cell = endpoint.cell;
  status.upSince = endpoint.upSince;
  if (endpoint.state == EndpointState::serving)
    status.state = EndpointState::serving;
  else
    takeOutOfService(status, endpoint.state, changedSince);
}

}  // namespace hollyrun::gateway
