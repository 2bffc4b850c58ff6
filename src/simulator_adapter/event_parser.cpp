#include "simulator_adapter/event_parser.hpp"

#include <string>

#include "simulator_adapter/line_parser.hpp"

namespace hollyrun::simulator_adapter {

using balancer::Endpoint;
using balancer::EndpointListKind;
using balancer::EndpointState;
using balancer::Outcome;

namespace {

constexpr int kHexadecimal = 16;

Outcome parseOutcome(const Field& field) {
  const int code = parseNumber<int>(field);
  switch (code) {
    case 10:
      return Outcome::served;
    case 20:
      return Outcome::error;
    case 30:
      return Outcome::rejected;
    case 40:
      return Outcome::timeout;
    case 50:
      return Outcome::connectFailed;
    case 60:
      return Outcome::reset;
    case 70:
      return Outcome::cancelled;
    case 80:
      return Outcome::abandoned;
    default:
      throw LineError(LineErrorCode::unknownDisposition, "unknown disposition " + std::to_string(code));
  }
}

EndpointState parseEndpointState(const Field& field) {
  if (field.value == "IN")
    return EndpointState::serving;
  if (field.value == "LAME")
    return EndpointState::draining;
  if (field.value == "OUT")
    return EndpointState::removed;
  throw LineError(LineErrorCode::unknownPhase,
                  "unknown phase '" + std::string(field.value) + "', expected IN, LAME or OUT");
}

EndpointListKind parseListKind(std::string_view kind) {
  if (kind == "unavailable")
    return EndpointListKind::unavailable;
  if (kind == "update")
    return EndpointListKind::delta;
  if (kind == "replace")
    return EndpointListKind::snapshot;
  if (kind == "restored")
    return EndpointListKind::cached;
  throw LineError(LineErrorCode::unknownListKind, "unknown kind '" + std::string(kind) +
                                                      "', expected unavailable, update, replace or restored");
}

std::uint64_t parseKey(const Field& field) {
  std::uint64_t key = 0;
  if (!parseWhole(field.value, key, kHexadecimal))
    throw LineError(LineErrorCode::invalidKey,
                    "field routeKey: expected a hexadecimal number of up to 64 bits, got '" +
                        std::string(field.value) + "'");
  return key;
}

void storeEndpointField(Endpoint& endpoint, const Field& field) {
  if (field.key == "host")
    endpoint.address = field.value;
  else if (field.key == "locality")
    endpoint.zone = field.value;
  else if (field.key == "machine")
    endpoint.machineType = field.value;
  else if (field.key == "block")
    endpoint.cell = parseNumber<std::int64_t>(field);
  else if (field.key == "capacityHint")
    endpoint.weight = parseNumber<double>(field);
  else if (field.key == "upSinceNs")
    endpoint.upSince = parseDuration(field);
  else if (field.key == "phase")
    endpoint.state = parseEndpointState(field);
}

}  // namespace

EndpointListHeader parseEndpointListHeader(std::string_view fields) {
  EndpointListHeader header;
  FieldReader reader(fields);
  while (const std::optional<Field> field = reader.next()) {
    if (field->key == "buffer")
      header.index = parseNumber<std::size_t>(*field);
    else if (field->key == "rowsIn")
      header.rowCount = parseNumber<std::size_t>(*field);
  }
  return header;
}

Endpoint parseEndpoint(std::string_view fields) {
  Endpoint endpoint;
  FieldReader reader(fields);
  while (const std::optional<Field> field = reader.next())
    storeEndpointField(endpoint, *field);
  if (endpoint.address.empty())
    throw LineError(LineErrorCode::missingField, "missing field host");
  return endpoint;
}

EndpointUpdate parseEndpointUpdate(std::string_view fields) {
  EndpointUpdate update;
  std::string_view kind;
  FieldReader reader(fields);
  while (const std::optional<Field> field = reader.next()) {
    if (field->key == "kind")
      kind = field->value;
    else if (field->key == "buffer" && field->value != "-")
      update.listIndex = parseNumber<std::size_t>(*field);
  }
  update.kind = parseListKind(kind);
  return update;
}

RequestEvent parseRequest(std::string_view fields) {
  RequestEvent event;
  std::optional<balancer::Duration> remaining;
  std::optional<std::string_view> className;
  FieldReader reader(fields);
  while (const std::optional<Field> field = reader.next()) {
    if (field->key == "leftNs") {
      remaining = parseDuration(*field);
    } else if (field->key == "costNs") {
      event.request.cost = parseDuration(*field);
    } else if (field->key == "tierClass") {
      className = field->value;
    } else if (field->key == "realm") {
      event.tenantName = field->value;
    } else if (field->key == "routeKey") {
      event.request.key = parseKey(*field);
      event.request.hasKey = true;
    } else if (field->key == "repeat") {
      parseBool(*field);  // only validated: the remaining time says more about a client's retry
    }
  }
  if (!remaining)
    throw LineError(LineErrorCode::missingField, "missing field leftNs");
  if (!className)
    throw LineError(LineErrorCode::missingField, "missing field tierClass");
  event.request.remaining = *remaining;
  event.className = *className;
  return event;
}

ResultEvent parseResult(std::string_view fields) {
  ResultEvent event;
  bool hasAttempt = false;
  bool hasOutcome = false;
  FieldReader reader(fields);
  while (const std::optional<Field> field = reader.next()) {
    if (field->key == "ref") {
      event.requestName = field->value;
    } else if (field->key == "go") {
      event.result.attempt = parseNumber<std::uint32_t>(*field);
      hasAttempt = true;
    } else if (field->key == "disposition") {
      event.result.outcome = parseOutcome(*field);
      hasOutcome = true;
    } else if (field->key == "timeTakenNs") {
      event.result.elapsed = parseDuration(*field);
    } else if (field->key == "terminal") {
      event.result.terminal = parseBool(*field);
    }
  }
  if (event.requestName.empty() || !hasAttempt || !hasOutcome)
    throw LineError(LineErrorCode::missingField, "missing field, expected ref, go and disposition");
  return event;
}

AttemptReference parseAttemptReference(std::string_view fields) {
  AttemptReference reference;
  FieldReader reader(fields);
  while (const std::optional<Field> field = reader.next()) {
    if (field->key == "ref")
      reference.requestName = field->value;
    else if (field->key == "go")
      reference.attempt = parseNumber<std::uint32_t>(*field);
  }
  if (reference.requestName.empty())
    throw LineError(LineErrorCode::missingField, "missing field ref");
  return reference;
}

}  // namespace hollyrun::simulator_adapter
