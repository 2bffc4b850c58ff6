/// Arriving requests: validation, admission to the balancer, uploads, and clients that disconnect.
#pragma once

#include <chrono>
#include <string>

#include "gateway/action_executor.hpp"
#include "gateway/downstream_observer.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/request_completion.hpp"
#include "gateway/request_validation.hpp"
#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

/// A final response is sent this long before the client's timeout: for its way there and for a busy machine.
inline constexpr std::chrono::milliseconds kAnswerMargin{10};

enum class Readiness { ready, notReady };

class RequestIntake {
 public:
  RequestIntake(GatewayState& state, RequestCompletion& completion, ActionExecutor& actions,
                UpstreamPool& upstream, DownstreamServer& downstream);

  /// Validates by the state's settings from here on, and reports all their classes.
  void applySettings();
  /// `readiness` answers a health check.
  void receiveRequest(DownstreamRequest request, Readiness readiness);
  /// The response's time runs from the last byte of the upload.
  void completeUpload(DownstreamRequestId client);
  void disconnectClient(DownstreamRequestId client);
  /// The downstream server answered by itself.
  void recordLocalRejection(const std::string& target, RejectionKind kind);
  void recordClosedUnanswered(DownstreamRequestId client, CloseReason reason);

 private:
  void answerHealthCheck(DownstreamRequestId client, Readiness readiness);
  void rejectInvalid(const DownstreamRequest& request, const RequestRejection& rejection);
  void acceptRequest(DownstreamRequest request, balancer::Request validated);
  RequestContext& addContext(DownstreamRequest request, const balancer::Request& validated);

  GatewayState& state_;
  RequestCompletion& completion_;
  ActionExecutor& actions_;
  UpstreamPool& upstream_;
  DownstreamServer& downstream_;
  RequestValidator validator_;
};

}  // namespace hollyrun::gateway
