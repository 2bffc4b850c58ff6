/// A gateway that the simulator has enlisted: a Balancer, the request, class and tenant names that its events
/// use, and its reply lines of the current batch.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hollyrun/balancer.hpp"
#include "simulator_adapter/request_ids.hpp"
#include "simulator_adapter/text_map.hpp"

namespace hollyrun::simulator_adapter {

/// Event handlers that take a line's fields throw LineError if the fields are malformed or incomplete, or if
/// a request uses the name of one that is still open.
class SimulatedGateway {
 public:
  /// Throws std::invalid_argument if the balancer rejects the settings.
  SimulatedGateway(std::string_view name, const balancer::Settings& settings, balancer::Time now);

  const std::string& name() const { return name_; }

  void onEndpoints(balancer::Time now, balancer::EndpointListKind kind,
                   const std::vector<balancer::Endpoint>& endpoints);
  /// Answers a malformed request with an error line if its name can be read.
  void onRequest(balancer::Time now, std::string_view fields);
  void onResult(balancer::Time now, std::string_view fields);
  void onResponseStarted(balancer::Time now, std::string_view fields);
  void onClientDisconnected(balancer::Time now, std::string_view fields);
  void onWake(balancer::Time now);

  /// Whether this gateway has had an event in the current batch. The adapter collects the replies of such
  /// gateways.
  bool inBatch() const { return inBatch_; }
  void enterBatch() { inBatch_ = true; }
  /// Appends the gateway's reply lines of this batch to `reply` and leaves the batch.
  void finishBatch(std::string& reply);

 private:
  /// Appends the balancer's new actions to the gateway's reply.
  void collectActions();

  std::string name_;
  balancer::Balancer balancer_;
  RequestIds requests_;
  TextMap<std::uint32_t> classIndexes_;
  TextMap<std::uint32_t> tenantIndexes_;
  std::string reply_;
  bool inBatch_ = false;
};

}  // namespace hollyrun::simulator_adapter
