/// Carries out the balancer's actions and reports the results of attempts back to it.
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
  /// The I/O that actions lead to.
  struct Targets {
    UpstreamPool& upstream;
    DownstreamServer& downstream;
    Discovery& discovery;
    Log& log;
  };

  ActionExecutor(boost::asio::io_context& io, GatewayState& state, const EndpointTable& endpoints,
                 AttemptAdmission& admission, RequestCompletion& completion, Targets targets);

  /// Carries out all pending actions in their order, with those that their own results lead to. To be called
  /// after each event that the balancer was given. Does nothing if it is running already.
  void executePending();
  /// The result reaches the balancer once the actions that are under way are carried out.
  void onAttemptComplete(AttemptCompletion completion);

 private:
  bool completeNextAttempt();
  void disconnectDepartedClients();
  void execute(const balancer::Action& action);
  void startAttempt(const balancer::Action& action);
  void startUpload(RequestContext& context, const balancer::Action& action, HttpRequest message);
  balancer::AttemptTerms currentTerms(const RequestContext& context, balancer::HostId host) const;
  void scheduleWake(balancer::Time at);

  GatewayState& state_;
  const EndpointTable& endpoints_;
  AttemptAdmission& admission_;
  RequestCompletion& completion_;
  Targets targets_;
  std::deque<AttemptCompletion> completions_;  // in the order in which the attempts ended
  boost::asio::steady_timer wakeTimer_;
  balancer::Time wakeAt_{};  // zero: not scheduled
  bool isExecuting_ = false;
};

}  // namespace hollyrun::gateway
