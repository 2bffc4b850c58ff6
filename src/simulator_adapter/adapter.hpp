/// The simulator's line protocol in front of the balancer: assembles batches and endpoint lists and passes
/// each event to its gateway. No load-balancing decision is made here.
///
/// A batch is a line FRAME with the clock, event lines, and a line EOF_BATCH, which is answered with the
/// actions of all gateways that had an event, in the order of their first one, and a line OK. An endpoint
/// list is a line LEDGER, which names one of 16 lists, and as many ROW lines as it announces; MEMBERSHIP
/// sends a list to a gateway.
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

/// Hosts many gateways, each with a Balancer of its own. A line that can't be applied is reported and
/// skipped.
class Adapter {
 public:
  /// Reports of skipped lines go to `errors`, one line each, with the input line's number.
  explicit Adapter(std::ostream& errors);

  /// Applies one line, given without its line end. If the line closes a batch, appends the reply to `reply`
  /// and returns true.
  bool feed(std::string_view line, std::string& reply);
  bool insideBatch() const { return insideBatch_; }
  /// Lines fed so far.
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

  /// The gateway that the fields name; its reply is part of this batch. Throws LineError if there is none.
  SimulatedGateway& gatewayNamedIn(std::string_view fields);
  void report(std::string_view line, std::string_view cause);
  balancer::Time now() const { return balancer::Time(clockNs_); }

  std::ostream& errors_;
  TextMap<std::unique_ptr<SimulatedGateway>> gateways_;
  std::vector<SimulatedGateway*> batchGateways_;  // those with an event in this batch, by their first one
  std::array<EndpointList, kListCount> lists_;
  EndpointList* openList_ = nullptr;  // receives the rows
  std::size_t missingRows_ = 0;       // rows of the open list that are still to come
  std::int64_t clockNs_ = 0;          // the simulator's; never goes back
  std::size_t lineNumber_ = 0;
  bool insideBatch_ = false;
};

}  // namespace hollyrun::simulator_adapter
