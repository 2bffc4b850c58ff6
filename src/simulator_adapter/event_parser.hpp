/// Parses the protocol's event lines into typed messages, with one function for each line name. Each line is
/// parsed on its own, without state; a malformed line throws LineError.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "hollyrun/balancer.hpp"

namespace hollyrun::simulator_adapter {

/// LEDGER: announces `rowCount` ROW lines, which form the endpoint list `index`.
struct EndpointListHeader {
  std::optional<std::size_t> index;
  std::size_t rowCount = 0;
};

/// MEMBERSHIP: an endpoint list is sent to a gateway.
struct EndpointUpdate {
  balancer::EndpointListKind kind = balancer::EndpointListKind::unavailable;
  std::optional<std::size_t> listIndex;
};

/// REQ, without the request's id. Class and tenant are names, to be resolved by the gateway's settings.
struct RequestEvent {
  balancer::Request request;
  std::string_view className;
  std::optional<std::string_view> tenantName;
};

/// SETTLED: an attempt has ended. `result.request` is not set: the request is identified by name.
struct ResultEvent {
  std::string_view requestName;
  balancer::AttemptResult result;
};

/// LEFT and HEAD_RECEIVED: identifies a request and, for HEAD_RECEIVED, one of its attempts.
struct AttemptReference {
  std::string_view requestName;
  std::uint32_t attempt = 0;
};

EndpointListHeader parseEndpointListHeader(std::string_view fields);
/// Parses a ROW line.
balancer::Endpoint parseEndpoint(std::string_view fields);
EndpointUpdate parseEndpointUpdate(std::string_view fields);
RequestEvent parseRequest(std::string_view fields);
ResultEvent parseResult(std::string_view fields);
AttemptReference parseAttemptReference(std::string_view fields);

}  // namespace hollyrun::simulator_adapter
