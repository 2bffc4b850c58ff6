/// Encodes the balancer's actions as lines of the simulator's protocol.
#pragma once

#include <string>
#include <string_view>

#include "hollyrun/balancer.hpp"
#include "simulator_adapter/request_ids.hpp"

namespace hollyrun::simulator_adapter {

/// Resolves the ids in an action to the names of the gateway, its requests and its endpoints.
struct EncodingContext {
  const std::string& gatewayName;
  const RequestIds& requests;
  const balancer::Balancer& balancer;
};

/// Appends the action's line, terminated by a newline, to `reply`.
void appendAction(std::string& reply, const balancer::Action& action, const EncodingContext& context);

/// Appends the error response to a malformed request, which is not passed to the balancer.
void appendInvalidRequest(std::string& reply, const std::string& gatewayName, std::string_view requestName);

}  // namespace hollyrun::simulator_adapter
