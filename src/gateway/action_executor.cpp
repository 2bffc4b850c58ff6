#include "gateway/action_executor.hpp"

#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

namespace hollyrun::gateway {
namespace {

using balancer::Action;
using balancer::ActionKind;
using balancer::Duration;
using balancer::HostId;
using balancer::Outcome;
using balancer::Time;
using boost::system::error_code;

// Time limit of an attempt whose upload has not been received completely; completeUpload() replaces it.
// Connecting alone is limited by the connection pool's connect timeout, which is shorter.
constexpr Duration kUploadConnectTimeout = std::chrono::seconds(10);

// Also ends at an exception: with the flag set, no further action would ever be executed.
class ExecutionScope {
 public:
  explicit ExecutionScope(bool& isExecuting) : isExecuting_(isExecuting) { isExecuting_ = true; }
  ~ExecutionScope() { isExecuting_ = false; }
  ExecutionScope(const ExecutionScope&) = delete;
  ExecutionScope& operator=(const ExecutionScope&) = delete;

 private:
  bool& isExecuting_;
};

constexpr std::string_view kHedge = "hedge";  // the cause of an attempt beside one that is in flight

}  // namespace

ActionExecutor::ActionExecutor(boost::asio::io_context& io, GatewayState& state,
                               const EndpointTable& endpoints, AttemptAdmission& admission,
                               RequestCompletion& completion, Targets targets)
    : state_(state),
      endpoints_(endpoints),
      admission_(admission),
      completion_(completion),
      targets_(targets),
      wakeTimer_(io) {}

void ActionExecutor::onAttemptComplete(AttemptCompletion completion) {
  completions_.push_back(std::move(completion));
  executePending();
}

// An action may complete an attempt immediately. Its result must not reach the balancer before the remaining
// actions of the same batch are executed, so results are queued and reported one by one between batches.
void ActionExecutor::executePending() {
  if (isExecuting_)
    return;
  const ExecutionScope scope(isExecuting_);
  for (;;) {
    disconnectDepartedClients();
    rejectRepeatedRequests();
    const std::vector<Action> actions = std::exchange(state_.balancer.actions(), {});
    for (const Action& action : actions)
      execute(action);
    // Disconnected clients are reported before the results of the attempts that were denied because of them.
    if (admission_.hasDisconnectedClients() || admission_.hasRepeatedRequests())
      continue;
    if (!state_.balancer.actions().empty())
      continue;
    // A context is removed only after all actions that refer to it are executed.
    state_.requests.removeFinished();
    if (!completeNextAttempt())
      break;
  }
}

void ActionExecutor::disconnectDepartedClients() {
  for (const DownstreamRequestId client : admission_.takeDisconnectedClients())
    targets_.downstream.disconnectClient(client);
}

void ActionExecutor::rejectRepeatedRequests() {
  for (const balancer::RequestId id : admission_.takeRepeatedRequests()) {
    RequestContext* const context = state_.requests.find(id);
    if (!context || context->isFinished)
      continue;
    completion_.rejectRepeated(*context);
    state_.balancer.onClientDisconnected(state_.clock.now(), id);
  }
}

bool ActionExecutor::completeNextAttempt() {
  if (completions_.empty())
    return false;
  AttemptCompletion completion = std::move(completions_.front());
  completions_.pop_front();
  completion_.completeAttempt(std::move(completion));
  return true;
}

void ActionExecutor::execute(const Action& action) {
  switch (action.kind) {
    case ActionKind::send:
      return startAttempt(action);
    case ActionKind::reject:
    case ActionKind::fail:
      return completion_.rejectRequest(action);
    case ActionKind::cancel:
      return targets_.upstream.cancel({action.request, action.attempt});
    case ActionKind::close:
      return targets_.upstream.closeIdle(action.host);
    case ActionKind::wake:
      return scheduleWake(action.wakeAt);
    case ActionKind::pollDiscovery:
      return targets_.discovery.watch();
    case ActionKind::log:
      return targets_.log.write(LogLevel::info, "balancer", action.text);
  }
}

void ActionExecutor::startAttempt(const Action& action) {
  RequestContext* const context = state_.requests.find(action.request);
  if (!context || context->isFinished)
    return;
  if (action.attempt > 0)
    recordFurtherAttempt(*context, action);
  ++context->attemptsInFlight;
  context->attemptsStarted = action.attempt + 1;
  context->attemptTerms.push_back(currentTerms(*context, action.host));
  if (context->upload)
    return startUpload(*context, action);
  targets_.upstream.start({action.request, action.attempt}, action.host, context->forwarded, action.timeLimit,
                          action.latestStart);
}

void ActionExecutor::recordFurtherAttempt(const RequestContext& context, const Action& action) {
  const bool isHedge = context.attemptsInFlight > 0 || !context.lastOutcome;
  const std::string_view cause = isHedge ? kHedge : nameOf(*context.lastOutcome);
  if (isHedge)
    ++state_.counters.hedges;
  else
    state_.counters.recordRetry(*context.lastOutcome);
  state_.requestLog.logFurtherAttempt(context, action, cause);
}

// A streamed body cannot be sent again once its consumption has started, and two attempts cannot share it.
void ActionExecutor::startUpload(RequestContext& context, const Action& action) {
  if (context.upload->consumptionStarted() || context.attemptsInFlight > 1) {
    completions_.push_back({{action.request, action.attempt}, action.host, Outcome::abandoned, {}, {}});
    return;
  }
  const Duration limit = context.isReceived ? action.timeLimit : kUploadConnectTimeout;
  StreamedUpload upload{context.upload, context.timeLimit};
  targets_.upstream.start({action.request, action.attempt}, action.host, context.forwarded, std::move(upload),
                          limit, action.latestStart);
}

// The attempt limits are those of the settings in effect now; the class's terms are those in effect when the
// request arrived.
balancer::AttemptTerms ActionExecutor::currentTerms(const RequestContext& context, HostId host) const {
  balancer::AttemptTerms terms = context.terms;
  terms.maxAttempts = state_.settings.maxAttempts;
  terms.allowHedging = state_.settings.allowHedging;
  terms.serverUpSince = endpoints_.status(host).upSince;
  return terms;
}

// Keeps only the earliest wake time: the balancer requests the next one at each event.
void ActionExecutor::scheduleWake(Time at) {
  if (wakeAt_ > Time{} && wakeAt_ <= at)
    return;
  wakeAt_ = at;
  wakeTimer_.expires_at(state_.clock.toSteady(at));
  wakeTimer_.async_wait([this](error_code ec) {
    if (ec || state_.clock.now() < wakeAt_)
      return;
    wakeAt_ = Time{};
    state_.balancer.onWake(state_.clock.now());
    executePending();
  });
}

}  // namespace hollyrun::gateway
