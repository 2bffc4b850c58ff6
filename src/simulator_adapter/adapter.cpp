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

/// How much of a bad line is repeated in its report, in bytes.
constexpr std::size_t kReportedLineLength = 120;

}  // namespace

Adapter::Adapter(std::ostream& errors) : errors_(errors) {}

void Adapter::report(std::string_view line, std::string_view cause) {
  errors_ << "line " << lineNumber_ << ": " << cause << ": " << line.substr(0, kReportedLineLength) << '\n';
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
      throw LineError(LineErrorCode::outsideBatch, "outside a batch");
  } catch (const LineError& error) {
    report(line, error.what());
  }
  return false;
}

void Adapter::checkListComplete(std::string_view line, std::string_view lineName) {
  if (missingRows_ == 0 || lineName == "ROW")
    return;
  missingRows_ = 0;
  report(line, "rows missing from the list before this line");
}

void Adapter::beginBatch(std::string_view line, std::string_view fields) {
  if (insideBatch_)
    report(line, "a batch begins inside another");
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
    throw LineError(LineErrorCode::missingField, "no tNs");
}

void Adapter::endBatch(std::string_view line, std::string& reply) {
  if (!insideBatch_)
    report(line, "a batch ends that never began");
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
  // The most frequent ones first.
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
    throw LineError(LineErrorCode::unknownEvent, "unknown event");
  (this->*handler->apply)(fields);
}

SimulatedGateway& Adapter::gatewayNamedIn(std::string_view fields) {
  const std::optional<std::string_view> name = findValue(fields, "i");
  if (!name)
    throw LineError(LineErrorCode::missingField, "no instance");
  const auto found = gateways_.find(*name);
  if (found == gateways_.end())
    throw LineError(LineErrorCode::unknownInstance, "unknown instance");
  SimulatedGateway& gateway = *found->second;
  if (!gateway.inBatch()) {
    gateway.enterBatch();
    batchGateways_.push_back(&gateway);
  }
  return gateway;
}

template <void (SimulatedGateway::*handle)(balancer::Time, std::string_view)>
void Adapter::forward(std::string_view fields) {
  (gatewayNamedIn(fields).*handle)(now(), fields);
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
    throw LineError(LineErrorCode::missingField, "no instance");
  const auto previous = gateways_.find(name);
  if (previous != gateways_.end()) {
    std::erase(batchGateways_, previous->second.get());
    gateways_.erase(previous);
  }
  try {
    gateways_.emplace(std::string(name),
                      std::make_unique<SimulatedGateway>(name, readSettings(fields), now()));
  } catch (const std::invalid_argument& error) {  // LineError is one, too
    throw LineError(LineErrorCode::invalidSettings, error.what());
  }
  gatewayNamedIn(fields);
}

/// Removes the gateway and discards its actions of this batch.
void Adapter::retire(std::string_view fields) {
  SimulatedGateway& gateway = gatewayNamedIn(fields);
  std::erase(batchGateways_, &gateway);
  gateways_.erase(gateways_.find(gateway.name()));
}

void Adapter::beginEndpointList(std::string_view fields) {
  const EndpointListHeader header = parseEndpointListHeader(fields);
  if (!header.index || *header.index >= lists_.size())
    throw LineError(LineErrorCode::unknownList, "list number missing or out of range");
  openList_ = &lists_[*header.index];
  openList_->known = true;
  openList_->endpoints.clear();
  missingRows_ = header.rowCount;
}

void Adapter::addEndpoint(std::string_view fields) {
  if (missingRows_ == 0)
    throw LineError(LineErrorCode::unexpectedRow, "a row outside a list");
  --missingRows_;
  openList_->endpoints.push_back(parseEndpoint(fields));
}

void Adapter::updateEndpoints(std::string_view fields) {
  SimulatedGateway& gateway = gatewayNamedIn(fields);
  const EndpointUpdate update = parseEndpointUpdate(fields);
  if (update.kind == EndpointListKind::unavailable)
    return gateway.onEndpoints(now(), update.kind, {});
  if (!update.listIndex || *update.listIndex >= lists_.size() || !lists_[*update.listIndex].known)
    throw LineError(LineErrorCode::unknownList, "unknown list");
  gateway.onEndpoints(now(), update.kind, lists_[*update.listIndex].endpoints);
}

void Adapter::wake(std::string_view fields) {
  gatewayNamedIn(fields).onWake(now());
}

/// An event of a known gateway that no decision depends on.
void Adapter::ignore(std::string_view fields) {
  gatewayNamedIn(fields);
}

}  // namespace hollyrun::simulator_adapter
