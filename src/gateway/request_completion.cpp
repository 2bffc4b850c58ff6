#include "gateway/request_completion.hpp"

#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <utility>

#include "gateway/hop_by_hop_headers.hpp"

namespace hollyrun::gateway {
namespace {

namespace http = boost::beast::http;
using balancer::Action;
using balancer::ActionKind;
using balancer::Duration;
using balancer::Outcome;
using Clock = std::chrono::steady_clock;

HttpResponse rejectionResponse(const Action& action) {
  HttpResponse response;
  response.result(action.kind == ActionKind::reject ? http::status::service_unavailable
                                                    : http::status::bad_gateway);
  if (action.kind == ActionKind::reject && action.retryAfter > Duration{}) {
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double>(action.retryAfter).count();
    std::snprintf(text.data(), text.size(), "%.3f", seconds);
    response.set(http::field::retry_after, text.data());
  }
  return response;
}

balancer::AttemptResult attemptResultOf(const AttemptCompletion& completion, bool isTerminal) {
  balancer::AttemptResult result;
  result.request = completion.key.request;
  result.attempt = completion.key.attempt;
  result.host = completion.host;
  result.outcome = completion.outcome;
  result.elapsed = completion.elapsed;
  result.terminal = isTerminal;
  return result;
}

}  // namespace

RequestCompletion::RequestCompletion(GatewayState& state, DownstreamServer& downstream)
    : state_(state), downstream_(downstream) {}

void RequestCompletion::completeAttempt(AttemptCompletion completion) {
  RequestContext* const context = state_.requests.find(completion.key.request);
  if ((!context || context->isFinished) && completion.body)
    completion.body->abandon();
  if (!context)
    return;
  --context->attemptsInFlight;
  context->history.recordEnd(completion.key.attempt, completion.outcome);
  context->lastOutcome = completion.outcome;
  if (context->isClaimed && !context->history.mayHaveExecuted()) {
    state_.executedRequests.release(context->fingerprint);
    context->isClaimed = false;
  }
  state_.counters.recordAttempt(completion.outcome);
  state_.requestLog.traceAttempt("attempt_ended", *context, completion.key.attempt, completion.host,
                                 nameOf(completion.outcome));
  state_.requests.scheduleRemoval(context->id);
  if (completion.outcome == Outcome::served && !context->isFinished) {
    removeHopByHopHeaders(completion.response);
    completion.response.erase("X-Load");
    sendResponse(*context, std::move(completion.response), Statistics::Outcome::success,
                 std::move(completion.body), completion.length);
  }
  state_.balancer.onResult(state_.clock.now(), attemptResultOf(completion, context->isFinished));
}

void RequestCompletion::rejectRequest(const Action& action) {
  RequestContext* const context = state_.requests.find(action.request);
  if (!context || context->isFinished)
    return;
  state_.requests.scheduleRemoval(context->id);
  state_.counters.recordRejection(action.reason);
  state_.requestLog.logRejection(*context, action);
  sendResponse(*context, rejectionResponse(action),
               action.kind == ActionKind::reject ? Statistics::Outcome::busy : Statistics::Outcome::failure);
}

void RequestCompletion::rejectRepeated(RequestContext& context) {
  ++state_.counters.repeatedIds;
  state_.requestLog.logRepeatedId(context);
  HttpResponse response;
  response.result(http::status::conflict);
  state_.requests.scheduleRemoval(context.id);
  sendResponse(context, std::move(response), Statistics::Outcome::failure);
}

void RequestCompletion::refuse(RequestContext& context) {
  HttpResponse response;
  response.result(http::status::service_unavailable);
  state_.requests.scheduleRemoval(context.id);
  sendResponse(context, std::move(response), Statistics::Outcome::busy);
}

void RequestCompletion::abortRequest(RequestContext& context) {
  state_.requests.finish(context);
  outcomeRecorder(context, Statistics::Outcome::failure)(false);
  state_.requestLog.traceClientDisconnected(context);
  state_.requests.scheduleRemoval(context.id);
}

ResponseCallback RequestCompletion::outcomeRecorder(const RequestContext& context,
                                                    Statistics::Outcome outcome) {
  const std::string clientId =
      state_.requestLog.isAccessLogged() ? std::string(context.clientId) : std::string();
  return [this, classIndex = context.statisticsClass, outcome, isReceived = context.isReceived,
          receivedAt = context.receivedAt, clientId](bool isSent) {
    std::optional<Clock::duration> duration;
    if (isReceived) {
      duration = Clock::now() - receivedAt;
      state_.statistics.decrementInFlight();
    }
    const Statistics::Outcome clientOutcome = isSent ? outcome : Statistics::Outcome::failure;
    state_.statistics.recordOutcome(classIndex, clientOutcome, duration);
    if (state_.requestLog.isAccessLogged())
      state_.requestLog.logAccess(clientId, state_.statistics.nameOf(classIndex),
                                  Statistics::nameOf(clientOutcome), duration);
  };
}

void RequestCompletion::sendResponse(RequestContext& context, HttpResponse response,
                                     Statistics::Outcome outcome, std::shared_ptr<ResponseStream> body,
                                     std::optional<std::uint64_t> length) {
  state_.requests.finish(context);
  auto recordOutcome = outcomeRecorder(context, outcome);
  if (body)
    downstream_.respond(context.client, std::move(response), std::move(body), length,
                        std::move(recordOutcome));
  else
    downstream_.respond(context.client, std::move(response), std::move(recordOutcome));
}

}  // namespace hollyrun::gateway
