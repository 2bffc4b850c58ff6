/// Executes the balancer's actions and reports the results of attempts to it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>

#include "gateway/attempt_admission.hpp"
#include "gateway/discovery.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/endpoint_table.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/log.hpp"
#include "gateway/request_completion.hpp"
#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

class ActionExecutor {
 public:
  /// The components that perform the I/O of actions.
  struct Targets {
    UpstreamPool& upstream;
    DownstreamServer& downstream;
    Discovery& discovery;
    Log& log;
  };

  ActionExecutor(boost::asio::io_context& io, GatewayState& state, const EndpointTable& endpoints,
                 AttemptAdmission& admission, RequestCompletion& completion, Targets targets);

  /// Executes all pending actions in order, and those that their results cause. Must be called after each
  /// event passed to the balancer. A reentrant call does nothing, because the outer call executes its
  /// actions.
  void executePending();
  /// Queues the result. The balancer receives it after the current batch of actions is executed.
  void onAttemptComplete(AttemptCompletion completion);

 private:
  bool completeNextAttempt();
  void disconnectDepartedClients();
  void rejectRepeatedRequests();
  void execute(const balancer::Action& action);
  void startAttempt(const balancer::Action& action);
  void recordFurtherAttempt(const RequestContext& context, const balancer::Action& action);
  void startUpload(RequestContext& context, const balancer::Action& action);
  balancer::AttemptTerms currentTerms(const RequestContext& context, balancer::HostId host) const;
  void scheduleWake(balancer::Time at);

  GatewayState& state_;
  const EndpointTable& endpoints_;
  AttemptAdmission& admission_;
  RequestCompletion& completion_;
  Targets targets_;
  std::deque<AttemptCompletion> completions_;  // in order of completion
  boost::asio::steady_timer wakeTimer_;
  balancer::Time wakeAt_{};  // zero: not scheduled
  bool isExecuting_ = false;
};

}  // namespace hollyrun::gateway
