#include "simulator_adapter/simulated_gateway.hpp"

#include <optional>

#include "simulator_adapter/action_encoder.hpp"
#include "simulator_adapter/event_parser.hpp"
#include "simulator_adapter/line_parser.hpp"

namespace hollyrun::simulator_adapter {

using balancer::Action;
using balancer::ActionKind;
using balancer::RequestId;
using balancer::Time;

namespace {

/// Maps each name to the index of its first element.
template <class Named>
TextMap<std::uint32_t> indexByName(const std::vector<Named>& elements) {
  TextMap<std::uint32_t> indexes;
  for (std::size_t index = 0; index < elements.size(); ++index)
    indexes.emplace(elements[index].name, static_cast<std::uint32_t>(index));
  return indexes;
}

std::uint32_t findIndex(const TextMap<std::uint32_t>& indexes, std::string_view name) {
  const auto found = indexes.find(name);
  return found == indexes.end() ? balancer::kNone : found->second;
}

bool endsRequest(const Action& action) {
  return action.kind == ActionKind::reject || action.kind == ActionKind::fail;
}

}  // namespace

SimulatedGateway::SimulatedGateway(std::string_view name, const balancer::Settings& settings, Time now)
    : name_(name),
      balancer_(settings, now),
      classIndexes_(indexByName(settings.classes)),
      tenantIndexes_(indexByName(settings.tenants)) {}

void SimulatedGateway::onEndpoints(Time now, balancer::EndpointListKind kind,
                                   const std::vector<balancer::Endpoint>& endpoints) {
  balancer_.onEndpoints(now, kind, endpoints);
  collectActions();
}

void SimulatedGateway::onRequest(Time now, std::string_view fields) {
  // The name is read first, so that an otherwise malformed request can still be answered.
  const std::string_view requestName = findValue(fields, "ref").value_or(std::string_view{});
  if (requestName.empty())
    throw LineError(LineErrorCode::missingField, "missing field ref");
  if (requests_.find(requestName))
    throw LineError(LineErrorCode::duplicateRequest,
                    "duplicate ref '" + std::string(requestName) + "', the earlier request is still open");
  RequestEvent event;
  try {
    event = parseRequest(fields);
  } catch (const LineError&) {
    appendInvalidRequest(reply_, name_, requestName);
    throw;
  }
  event.request.classIndex = findIndex(classIndexes_, event.className);
  if (event.tenantName)
    event.request.tenantIndex = findIndex(tenantIndexes_, *event.tenantName);
  event.request.id = requests_.add(requestName);
  balancer_.onRequest(now, event.request);
  collectActions();
}

void SimulatedGateway::onResult(Time now, std::string_view fields) {
  ResultEvent event = parseResult(fields);
  const std::optional<RequestId> request = requests_.find(event.requestName);
  if (!request)
    return;
  event.result.request = *request;
  requests_.countAttemptEnded(*request);
  if (event.result.terminal)
    requests_.markEnded(*request);
  balancer_.onResult(now, event.result);
  collectActions();
  requests_.releaseIfEnded(*request);
}

void SimulatedGateway::onResponseStarted(Time now, std::string_view fields) {
  const AttemptReference reference = parseAttemptReference(fields);
  const std::optional<RequestId> request = requests_.find(reference.requestName);
  if (!request)
    return;  // the request has ended already
  balancer_.onResponseStarted(now, *request, reference.attempt);
  collectActions();
}

void SimulatedGateway::onClientDisconnected(Time now, std::string_view fields) {
  const AttemptReference reference = parseAttemptReference(fields);
  const std::optional<RequestId> request = requests_.find(reference.requestName);
  if (!request)
    return;  // the request has ended already
  balancer_.onClientDisconnected(now, *request);
  requests_.markEnded(*request);
  collectActions();
  requests_.releaseIfEnded(*request);
}

void SimulatedGateway::onWake(Time now) {
  balancer_.onWake(now);
  collectActions();
}

void SimulatedGateway::finishBatch(std::string& reply) {
  reply += reply_;
  reply_.clear();
  inBatch_ = false;
}

void SimulatedGateway::collectActions() {
  const EncodingContext context{name_, requests_, balancer_};
  for (const Action& action : balancer_.actions()) {
    appendAction(reply_, action, context);
    if (action.kind == ActionKind::send)
      requests_.countAttemptSent(action.request);
    else if (endsRequest(action))
      requests_.markEnded(action.request);
  }
  // Names are released only after all actions that use them are encoded.
  for (const Action& action : balancer_.actions())
    if (endsRequest(action))
      requests_.releaseIfEnded(action.request);
  balancer_.actions().clear();
}

}  // namespace hollyrun::simulator_adapter
