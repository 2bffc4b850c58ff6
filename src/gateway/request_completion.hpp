/// Completes requests: handles results of attempts, responds to clients and records each outcome.
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

  /// Sends the response of a served attempt to the client and reports the result to the balancer.
  void completeAttempt(AttemptCompletion completion);
  /// Sends the response for a request that the balancer rejected or failed.
  void rejectRequest(const balancer::Action& action);
  /// Answers a request that must not be executed, because its id may have been executed.
  void rejectRepeated(RequestContext& context);
  /// Refuses a request that the balancer does not know.
  void refuse(RequestContext& context);
  /// Finishes a request whose client disconnected before its response.
  void abortRequest(RequestContext& context);

 private:
  void sendResponse(RequestContext& context, HttpResponse response, Statistics::Outcome outcome,
                    std::shared_ptr<ResponseStream> body = nullptr, std::optional<std::uint64_t> length = {});
  /// Returns a callback that records the outcome once the response was sent or sending it has failed.
  ResponseCallback outcomeRecorder(const RequestContext& context, Statistics::Outcome outcome);

  GatewayState& state_;
  DownstreamServer& downstream_;
};

}  // namespace hollyrun::gateway
