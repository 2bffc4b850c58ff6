#include "simulator_adapter/adapter.hpp"

#include <algorithm>
#include <iterator>
#include <stdexcept>

#include "simulator_adapter/event_parser.hpp"
#include "simulator_adapter/line_parser.hpp"
#include "simulator_adapter/settings_reader.hpp"

namespace hollyrun::simulator_adapter {

using balancer::EndpointListKind;

namespace {

/// Longest part of a rejected line that its error report quotes.
constexpr std::size_t kMaxReportedLineBytes = 120;

}  // namespace

Adapter::Adapter(std::ostream& errors) : errors_(errors) {}

void Adapter::report(std::string_view line, std::string_view cause) {
  errors_ << "line " << lineNumber_ << ": " << cause << ": " << line.substr(0, kMaxReportedLineBytes) << '\n';
}

bool Adapter::feed(std::string_view line, std::string& reply) {
  ++lineNumber_;
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  if (line.empty())
    return false;
  std::string_view fields = line;
  const std::string_view lineName = popWord(fields);
  try {
    checkListComplete(line, lineName);
    if (lineName == "EOF_BATCH") {
      endBatch(line, reply);
      return true;
    }
    if (lineName == "FRAME")
      beginBatch(line, fields);
    else if (insideBatch_)
      applyEvent(lineName, fields);
    else
      throw LineError(LineErrorCode::outsideBatch, "event outside a batch, expected FRAME first");
  } catch (const LineError& error) {
    report(line, error.what());
  }
  return false;
}

void Adapter::checkListComplete(std::string_view line, std::string_view lineName) {
  if (missingRows_ == 0 || lineName == "ROW")
    return;
  missingRows_ = 0;
  report(line, "the endpoint list before this line has fewer ROW lines than its LEDGER announced");
}

void Adapter::beginBatch(std::string_view line, std::string_view fields) {
  if (insideBatch_)
    report(line, "FRAME inside a batch, expected EOF_BATCH first");
  insideBatch_ = true;
  bool hasClock = false;
  FieldReader reader(fields);
  while (const std::optional<Field> field = reader.next()) {
    if (field->key != "tNs")
      continue;
    clockNs_ = std::max(clockNs_, parseNumber<std::int64_t>(*field));
    hasClock = true;
  }
  if (!hasClock)
    throw LineError(LineErrorCode::missingField, "missing field tNs");
}

void Adapter::endBatch(std::string_view line, std::string& reply) {
  if (!insideBatch_)
    report(line, "EOF_BATCH without a preceding FRAME");
  insideBatch_ = false;
  for (SimulatedGateway* gateway : batchGateways_)
    gateway->finishBatch(reply);
  batchGateways_.clear();
  reply += "OK\n";
}

void Adapter::applyEvent(std::string_view lineName, std::string_view fields) {
  struct EventHandler {
    std::string_view lineName;
    void (Adapter::*apply)(std::string_view fields);
  };
  // Searched in order, so the most frequent events come first.
  static constexpr EventHandler kHandlers[] = {
      {"REQ", &Adapter::forward<&SimulatedGateway::onRequest>},
      {"SETTLED", &Adapter::forward<&SimulatedGateway::onResult>},
      {"ROW", &Adapter::addEndpoint},
      {"LEDGER", &Adapter::beginEndpointList},
      {"ENLIST", &Adapter::enlist},
      {"MEMBERSHIP", &Adapter::updateEndpoints},
      {"RETIRE", &Adapter::retire},
      {"TIMEOUT_FIRED", &Adapter::wake},
      {"LEFT", &Adapter::forward<&SimulatedGateway::onClientDisconnected>},
      {"HEAD_RECEIVED", &Adapter::forward<&SimulatedGateway::onResponseStarted>},
      {"PROBED", &Adapter::ignore},
      {"FROM_PEER", &Adapter::ignore},
  };
  const auto handler =
      std::find_if(std::begin(kHandlers), std::end(kHandlers),
                   [lineName](const EventHandler& candidate) { return candidate.lineName == lineName; });
  if (handler == std::end(kHandlers))
    throw LineError(LineErrorCode::unknownEvent, "unknown event '" + std::string(lineName) + "'");
  (this->*handler->apply)(fields);
}

SimulatedGateway& Adapter::gatewayOf(std::string_view fields) {
  const std::optional<std::string_view> name = findValue(fields, "i");
  if (!name)
    throw LineError(LineErrorCode::missingField, "missing field i");
  const auto found = gateways_.find(*name);
  if (found == gateways_.end())
    throw LineError(LineErrorCode::unknownGateway, "no gateway named '" + std::string(*name) + "'");
  SimulatedGateway& gateway = *found->second;
  if (!gateway.inBatch()) {
    gateway.enterBatch();
    batchGateways_.push_back(&gateway);
  }
  return gateway;
}

template <void (SimulatedGateway::*handle)(balancer::Time, std::string_view)>
void Adapter::forward(std::string_view fields) {
  (gatewayOf(fields).*handle)(now(), fields);
}

void Adapter::enlist(std::string_view fields) {
  std::string_view name;
  FieldReader reader(fields);
  while (const std::optional<Field> field = reader.next())
    if (field->key == "i") {
      name = field->value;
      break;
    }
  if (name.empty())
    throw LineError(LineErrorCode::missingField, "missing or empty field i");
  const auto previous = gateways_.find(name);
  if (previous != gateways_.end()) {
    std::erase(batchGateways_, previous->second.get());
    gateways_.erase(previous);
  }
  try {
    gateways_.emplace(std::string(name),
                      std::make_unique<SimulatedGateway>(name, readSettings(fields), now()));
  } catch (const std::invalid_argument& error) {  // includes the LineErrors of readSettings
    throw LineError(LineErrorCode::invalidSettings, error.what());
  }
  gatewayOf(fields);
}

/// Removes the gateway and discards its actions of this batch.
void Adapter::retire(std::string_view fields) {
  SimulatedGateway& gateway = gatewayOf(fields);
  std::erase(batchGateways_, &gateway);
  gateways_.erase(gateways_.find(gateway.name()));
}

void Adapter::beginEndpointList(std::string_view fields) {
  const EndpointListHeader header = parseEndpointListHeader(fields);
  if (!header.index || *header.index >= lists_.size())
    throw LineError(LineErrorCode::unknownList, "field buffer is missing or out of range, expected 0 to " +
                                                    std::to_string(kListCount - 1));
  openList_ = &lists_[*header.index];
  openList_->known = true;
  openList_->endpoints.clear();
  missingRows_ = header.rowCount;
}

void Adapter::addEndpoint(std::string_view fields) {
  if (missingRows_ == 0)
    throw LineError(LineErrorCode::unexpectedRow, "ROW without a LEDGER that announced it");
  --missingRows_;
  openList_->endpoints.push_back(parseEndpoint(fields));
}

void Adapter::updateEndpoints(std::string_view fields) {
  SimulatedGateway& gateway = gatewayOf(fields);
  const EndpointUpdate update = parseEndpointUpdate(fields);
  if (update.kind == EndpointListKind::unavailable)
    return gateway.onEndpoints(now(), update.kind, {});
  if (!update.listIndex || *update.listIndex >= lists_.size() || !lists_[*update.listIndex].known)
    throw LineError(LineErrorCode::unknownList,
                    "field buffer is missing or names an endpoint list that no LEDGER has defined");
  gateway.onEndpoints(now(), update.kind, lists_[*update.listIndex].endpoints);
}

void Adapter::wake(std::string_view fields) {
  gatewayOf(fields).onWake(now());
}

/// Handles an event that no decision depends on: its gateway must exist and takes part in the batch.
void Adapter::ignore(std::string_view fields) {
  gatewayOf(fields);
}

}  // namespace hollyrun::simulator_adapter
