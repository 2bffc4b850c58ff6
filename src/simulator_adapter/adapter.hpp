/// Connects the simulator's line protocol to the balancer: assembles batches and endpoint lists and passes
/// each event to its gateway. Makes no load-balancing decisions.
///
/// A batch consists of a FRAME line with the current time, event lines and an EOF_BATCH line. The reply to
/// EOF_BATCH contains the actions of all gateways that had an event in the batch, ordered by their first
/// event, and an OK line. An endpoint list consists of a LEDGER line, which selects one of 16 lists, and as
/// many ROW lines as it announces. A MEMBERSHIP line sends a list to a gateway.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "hollyrun/balancer.hpp"
#include "simulator_adapter/simulated_gateway.hpp"
#include "simulator_adapter/text_map.hpp"

namespace hollyrun::simulator_adapter {

/// Hosts any number of gateways, each with its own Balancer. A line that can't be applied is reported and
/// skipped.
class Adapter {
 public:
  /// Writes one report for each skipped line, with its line number, to `errors`.
  explicit Adapter(std::ostream& errors);

  /// Applies one line, passed without its newline. If the line ends a batch, appends the reply to `reply` and
  /// returns true.
  bool feed(std::string_view line, std::string& reply);
  bool insideBatch() const { return insideBatch_; }
  /// Number of lines fed so far.
  std::size_t lineNumber() const { return lineNumber_; }

 private:
  static constexpr std::size_t kListCount = 16;

  struct EndpointList {
    bool known = false;
    std::vector<balancer::Endpoint> endpoints;
  };

  void checkListComplete(std::string_view line, std::string_view lineName);
  void beginBatch(std::string_view line, std::string_view fields);
  void endBatch(std::string_view line, std::string& reply);
  void applyEvent(std::string_view lineName, std::string_view fields);

  void enlist(std::string_view fields);
  void retire(std::string_view fields);
  void beginEndpointList(std::string_view fields);
  void addEndpoint(std::string_view fields);
  void updateEndpoints(std::string_view fields);
  void wake(std::string_view fields);
  template <void (SimulatedGateway::*handle)(balancer::Time, std::string_view)>
  void forward(std::string_view fields);
  void ignore(std::string_view fields);

  /// Returns the gateway that the fields name and includes it in this batch's reply. Throws LineError if
  /// there is no such gateway.
  SimulatedGateway& gatewayOf(std::string_view fields);
  void report(std::string_view line, std::string_view cause);
  balancer::Time now() const { return balancer::Time(clockNs_); }

  std::ostream& errors_;
  TextMap<std::unique_ptr<SimulatedGateway>> gateways_;
  std::vector<SimulatedGateway*> batchGateways_;  // gateways with an event in this batch, by first event
  std::array<EndpointList, kListCount> lists_;
  EndpointList* openList_ = nullptr;  // the list that ROW lines are appended to
  std::size_t missingRows_ = 0;       // ROW lines announced for the open list and not received yet
  std::int64_t clockNs_ = 0;          // latest time of the simulator; never decreases
  std::size_t lineNumber_ = 0;
  bool insideBatch_ = false;
};

}  // namespace hollyrun::simulator_adapter
