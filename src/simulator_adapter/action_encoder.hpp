/// The balancer's actions as lines of the protocol.
#pragma once

#include <string>
#include <string_view>

#include "hollyrun/balancer.hpp"
#include "simulator_adapter/request_ids.hpp"

namespace hollyrun::simulator_adapter {

/// What an action's ids stand for: the gateway that sends it, its requests and its endpoints.
struct EncodingContext {
  const std::string& gatewayName;
  const RequestIds& requests;
  const balancer::Balancer& balancer;
};

/// Appends the action's line with its line end to `reply`.
void appendAction(std::string& reply, const balancer::Action& action, const EncodingContext& context);

/// Appends the error that answers a request which the balancer never got.
void appendInvalidRequest(std::string& reply, const std::string& gatewayName, std::string_view requestName);

}  // namespace hollyrun::simulator_adapter
