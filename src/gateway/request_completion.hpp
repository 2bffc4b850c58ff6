/// The end of requests: results of attempts, responses to clients, and the record of each outcome.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "gateway/downstream_server.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/upstream_observer.hpp"

namespace hollyrun::gateway {

class RequestCompletion {
 public:
  RequestCompletion(GatewayState& state, DownstreamServer& downstream);

  /// Sends the response of a served attempt and reports the result to the balancer.
  void completeAttempt(AttemptCompletion completion);
  /// Answers a request that the balancer rejected or failed.
  void rejectRequest(const balancer::Action& action);
  /// The client has disconnected before its response.
  void abortRequest(RequestContext& context);

 private:
  void sendResponse(RequestContext& context, HttpResponse response, Statistics::Outcome outcome,
                    std::shared_ptr<BodyStream> body = nullptr, std::optional<std::uint64_t> length = {});
  /// Records the outcome once the response has left, or failed to.
  ResponseCallback outcomeRecorder(const RequestContext& context, Statistics::Outcome outcome);

  GatewayState& state_;
  DownstreamServer& downstream_;
};

}  // namespace hollyrun::gateway
