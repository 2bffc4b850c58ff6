/// One gateway that the simulator has enlisted: a Balancer, the names that its events use, and the lines that
/// it answers in this batch.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hollyrun/balancer.hpp"
#include "simulator_adapter/request_ids.hpp"
#include "simulator_adapter/text_map.hpp"

namespace hollyrun::simulator_adapter {

/// Each event passes its line's fields and throws LineError if they are malformed or refer to an unknown
/// object.
class SimulatedGateway {
 public:
  /// Throws std::invalid_argument if the balancer rejects the settings.
  SimulatedGateway(std::string_view name, const balancer::Settings& settings, balancer::Time now);

  const std::string& name() const { return name_; }

  void onEndpoints(balancer::Time now, balancer::EndpointListKind kind,
                   const std::vector<balancer::Endpoint>& endpoints);
  /// A request whose id can be read is answered with an error line if the rest is malformed.
  void onRequest(balancer::Time now, std::string_view fields);
  void onResult(balancer::Time now, std::string_view fields);
  void onResponseStarted(balancer::Time now, std::string_view fields);
  void onClientDisconnected(balancer::Time now, std::string_view fields);
  void onWake(balancer::Time now);

  /// Whether an event of this batch is the gateway's. The adapter collects the replies of those that have
  /// one.
  bool inBatch() const { return inBatch_; }
  void enterBatch() { inBatch_ = true; }
  /// Appends the gateway's lines of this batch to `reply` and ends the batch.
  void finishBatch(std::string& reply);

 private:
  /// Encodes the balancer's new actions.
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
