/// The events of the protocol as typed messages: one function a line's name. They throw LineError if the line
/// is malformed and know nothing of what came before it.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "hollyrun/balancer.hpp"

namespace hollyrun::simulator_adapter {

/// LEDGER: announces `rowCount` ROW lines that fill the endpoint list `index`.
struct EndpointListHeader {
  std::optional<std::size_t> index;
  std::size_t rowCount = 0;
};

/// MEMBERSHIP: an endpoint list is sent to a gateway.
struct EndpointUpdate {
  balancer::EndpointListKind kind = balancer::EndpointListKind::unavailable;
  std::optional<std::size_t> listIndex;
};

/// REQ, but for its id. Class and tenant are names that the gateway's settings resolve.
struct RequestEvent {
  balancer::Request request;
  std::string_view className;
  std::optional<std::string_view> tenantName;
};

/// SETTLED: an attempt is over. `result.request` is not set yet.
struct ResultEvent {
  std::string_view requestName;
  balancer::AttemptResult result;
};

/// LEFT and HEAD_RECEIVED: names a request, and an attempt where the event is one of an attempt.
struct AttemptReference {
  std::string_view requestName;
  std::uint32_t attempt = 0;
};

EndpointListHeader parseEndpointListHeader(std::string_view fields);
/// ROW.
balancer::Endpoint parseEndpoint(std::string_view fields);
EndpointUpdate parseEndpointUpdate(std::string_view fields);
RequestEvent parseRequest(std::string_view fields);
ResultEvent parseResult(std::string_view fields);
AttemptReference parseAttemptReference(std::string_view fields);

}  // namespace hollyrun::simulator_adapter
