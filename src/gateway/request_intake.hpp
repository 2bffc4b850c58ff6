/// Handles incoming requests: validation, admission to the balancer, uploads, and client disconnections.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "gateway/action_executor.hpp"
#include "gateway/downstream_observer.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/request_completion.hpp"
#include "gateway/request_validation.hpp"
#include "gateway/upstream_pool.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// The final response is due this long before the client's timeout, to cover network latency and scheduling
/// delays on a busy machine.
inline constexpr std::chrono::milliseconds kResponseMargin{10};

enum class Readiness { ready, notReady };

class RequestIntake {
 public:
  RequestIntake(GatewayState& state, RequestCompletion& completion, ActionExecutor& actions,
                UpstreamPool& upstream, DownstreamServer& downstream);

  /// Validates further requests against the current settings of the state and registers their classes with
  /// the statistics.
  void applySettings();
  /// Limits the time of each request that arrives from now on, so that it is answered by `lastResponse`.
  void limitResponses(std::chrono::steady_clock::time_point lastResponse);
  /// `readiness` determines the response if the request is a health check.
  void receiveRequest(DownstreamRequest request, Readiness readiness);
  /// Starts the time limit for the response, which runs from the last byte of the upload.
  void completeUpload(DownstreamRequestId client, std::chrono::steady_clock::time_point lastByteAt);
  /// Ends the request if its client may have written the last byte at `lastByteAt` and the time limit since
  /// then is over, although the upload has not been read whole.
  void checkDelayedUpload(DownstreamRequestId client, std::chrono::steady_clock::time_point lastByteAt);
  void disconnectClient(DownstreamRequestId client);
  /// Records a request that the downstream server answered by itself.
  void recordLocalRejection(const std::string& target, RejectionKind kind);
  /// Reports a violation: the gateway closed a connection whose client was waiting for a response.
  void recordClosedUnanswered(DownstreamRequestId client, CloseReason reason);

 private:
  void answerHealthCheck(DownstreamRequestId client, Readiness readiness);
  void rejectInvalid(const DownstreamRequest& request, const RequestRejection& rejection);
  void acceptRequest(DownstreamRequest request, balancer::Request validated);
  balancer::Duration limitToShutdown(balancer::Duration timeLimit,
                                     std::chrono::steady_clock::time_point receivedAt) const;
  void startTimeLimit(RequestContext& context, std::chrono::steady_clock::time_point lastByteAt);
  RequestContext& addContext(DownstreamRequest request, const balancer::Request& validated);

  GatewayState& state_;
  RequestCompletion& completion_;
  ActionExecutor& actions_;
  UpstreamPool& upstream_;
  DownstreamServer& downstream_;
  RequestValidator validator_;
  std::optional<std::chrono::steady_clock::time_point> lastResponse_;  // Set during a shutdown.
};

}  // namespace hollyrun::gateway
