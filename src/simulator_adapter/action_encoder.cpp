#include "simulator_adapter/action_encoder.hpp"

#include <array>
#include <charconv>
#include <cstdint>

namespace hollyrun::simulator_adapter {

using balancer::Action;
using balancer::ActionKind;
using balancer::Duration;

namespace {

/// A 64-bit number has at most 20 characters, the sign included.
constexpr std::size_t kNumberBufferSize = 24;

void appendNumber(std::string& reply, std::int64_t number) {
  std::array<char, kNumberBufferSize> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number).ptr;
  reply.append(buffer.data(), end);
}

void appendLineStart(std::string& reply, std::string_view lineName, const std::string& gatewayName) {
  reply.append(lineName).append(" i=").append(gatewayName);
}

void appendRequestLineStart(std::string& reply, std::string_view lineName, const Action& action,
                            const EncodingContext& context) {
  appendLineStart(reply, lineName, context.gatewayName);
  reply.append(" ref=").append(context.requests.name(action.request));
}

void appendSend(std::string& reply, const Action& action, const EncodingContext& context) {
  appendRequestLineStart(reply, "FORWARD", action, context);
  reply.append(" host=").append(context.balancer.address(action.host)).append(" withinNs=");
  appendNumber(reply, action.timeLimit.count());
}

void appendReject(std::string& reply, const Action& action, const EncodingContext& context) {
  appendRequestLineStart(reply, "TURN_AWAY", action, context);
  if (action.retryAfter <= Duration{})
    return;
  reply.append(" notBeforeForNs=");
  appendNumber(reply, action.retryAfter.count());
}

void appendCancel(std::string& reply, const Action& action, const EncodingContext& context) {
  appendRequestLineStart(reply, "ABORT_ATTEMPT", action, context);
  reply.append(" go=");
  appendNumber(reply, action.attempt);
}

void appendClose(std::string& reply, const Action& action, const EncodingContext& context) {
  appendLineStart(reply, "CLOSE", context.gatewayName);
  reply.append(" host=").append(context.balancer.address(action.host));
}

void appendWake(std::string& reply, const Action& action, const EncodingContext& context) {
  appendLineStart(reply, "WAKE_AT", context.gatewayName);
  reply.append(" alarmTimeNs=");
  appendNumber(reply, action.wakeAt.count());
  reply.append(" ref=w");
}

}  // namespace

void appendAction(std::string& reply, const Action& action, const EncodingContext& context) {
  switch (action.kind) {
    case ActionKind::send:
      appendSend(reply, action, context);
      break;
    case ActionKind::reject:
      appendReject(reply, action, context);
      break;
    case ActionKind::fail:
      appendRequestLineStart(reply, "RESPOND_ERROR", action, context);
      break;
    case ActionKind::cancel:
      appendCancel(reply, action, context);
      break;
    case ActionKind::close:
      appendClose(reply, action, context);
      break;
    case ActionKind::wake:
      appendWake(reply, action, context);
      break;
    case ActionKind::pollDiscovery:
      appendLineStart(reply, "SUBSCRIBE", context.gatewayName);
      reply.append(" active=1");
      break;
    case ActionKind::log:
      appendLineStart(reply, "DEBUG", context.gatewayName);
      reply.append(" words=").append(action.text);
      break;
  }
  reply += '\n';
}

void appendInvalidRequest(std::string& reply, const std::string& gatewayName, std::string_view requestName) {
  appendLineStart(reply, "RESPOND_ERROR", gatewayName);
  reply.append(" ref=").append(requestName) += '\n';
}

}  // namespace hollyrun::simulator_adapter
