#include "gateway/request_intake.hpp"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "gateway/forwarded_request.hpp"
#include "gateway/hop_by_hop_headers.hpp"
#include "gateway/message_text.hpp"

namespace hollyrun::gateway {
namespace {

namespace http = boost::beast::http;
using balancer::Duration;
using Clock = std::chrono::steady_clock;

HttpResponse emptyResponse(http::status status) {
  HttpResponse response;
  response.result(status);
  return response;
}

}  // namespace

RequestIntake::RequestIntake(GatewayState& state, RequestCompletion& completion, ActionExecutor& actions,
                             UpstreamPool& upstream, DownstreamServer& downstream)
    : state_(state),
      completion_(completion),
      actions_(actions),
      upstream_(upstream),
      downstream_(downstream),
      validator_(state.settings) {}

void RequestIntake::applySettings() {
  validator_ = RequestValidator(state_.settings);
  for (const balancer::ClassSettings& requestClass : state_.settings.classes)
    state_.statistics.registerClass(requestClass.name);
}

void RequestIntake::limitResponses(Clock::time_point lastResponse) {
  lastResponse_ = lastResponse;
}

// Without this limit, a request that arrives late in a shutdown would be unanswered when the process is
// killed.
Duration RequestIntake::limitToShutdown(Duration timeLimit, Clock::time_point receivedAt) const {
  return lastResponse_ ? std::min<Duration>(timeLimit, *lastResponse_ - receivedAt) : timeLimit;
}

void RequestIntake::receiveRequest(DownstreamRequest request, Readiness readiness) {
  const bool hasBody = request.upload || !request.message.body().empty();
  const ValidationResult result =
      validator_.validate(request.message, hasBody ? BodyPresence::present : BodyPresence::absent);
  if (const auto* valid = std::get_if<ValidatedRequest>(&result))
    acceptRequest(std::move(request), valid->request);
  else if (const auto* rejection = std::get_if<RequestRejection>(&result))
    rejectInvalid(request, *rejection);
  else
    answerHealthCheck(request.id, readiness);
}

void RequestIntake::answerHealthCheck(DownstreamRequestId client, Readiness readiness) {
  const http::status status =
      readiness == Readiness::ready ? http::status::ok : http::status::service_unavailable;
  downstream_.respond(client, emptyResponse(status), nullptr);
}

// The end of an invalid message is ambiguous, so its connection is closed: the bytes after it must not be
// parsed as a request.
void RequestIntake::rejectInvalid(const DownstreamRequest& request, const RequestRejection& rejection) {
  state_.requestLog.logInvalidRequest(request.message["X-Request-Id"].to_string(),
                                      static_cast<unsigned>(rejection.status));
  HttpResponse response = emptyResponse(rejection.status);
  response.keep_alive(false);
  const std::size_t classIndex = state_.statistics.findClass(firstPathSegment(request.message.target()));
  downstream_.respond(request.id, std::move(response), [this, classIndex](bool) {
    state_.statistics.recordOutcome(classIndex, Statistics::Outcome::failure, std::nullopt);
  });
}

void RequestIntake::acceptRequest(DownstreamRequest request, balancer::Request validated) {
  // A connection may stay in the accept queue until its client has given up. The request and the
  // disconnection are then observed together.
  const ClientPresence presence = downstream_.clientPresence(request.id);
  if (presence == ClientPresence::departed) {
    const std::string& className = state_.settings.classes[validated.classIndex].name;
    state_.statistics.recordOutcome(state_.statistics.findClass(className), Statistics::Outcome::failure,
                                    std::nullopt);
    return downstream_.disconnectClient(request.id);
  }
  RequestContext& context = addContext(std::move(request), validated);
  if (presence == ClientPresence::unknown) {
    ++state_.counters.unknownPresence;
    completion_.refuse(context);
    return actions_.executePending();
  }
  if (context.fingerprint != 0 && !state_.mayRepeat(context.terms, context.fingerprint)) {
    completion_.rejectRepeated(context);
    return actions_.executePending();
  }
  validated.id = context.id;
  validated.remaining = context.timeLimit - (Clock::now() - context.receivedAt);
  validated.uploading = !context.isReceived;
  state_.balancer.onRequest(state_.clock.now(), validated);
  actions_.executePending();
}

RequestContext& RequestIntake::addContext(DownstreamRequest request, const balancer::Request& validated) {
  const balancer::ClassSettings& requestClass = state_.settings.classes[validated.classIndex];
  removeHopByHopHeaders(request.message);
  RequestContext& context = state_.requests.add(request.id);
  context.statisticsClass = state_.statistics.findClass(requestClass.name);
  context.terms.idempotency = requestClass.idempotency;
  context.terms.deduplicationScope = requestClass.deduplicationScope;
  context.terms.deduplicationWindow = requestClass.deduplicationWindow;
  context.timeLimit = limitToShutdown(validated.remaining - kResponseMargin, request.receivedAt);
  context.upload = std::move(request.upload);
  context.isReceived = !context.upload;
  context.receivedAt = request.receivedAt;
  context.clientId = viewOf(request.message["X-Request-Id"]);
  context.forwarded =
      forwardRequest(std::move(request.message), {context.upload != nullptr, request.uploadLength});
  if (requestClass.idempotency != balancer::Idempotency::idempotent)
    context.fingerprint = fingerprintOf(requestClass.name, context.clientId);
  state_.requestLog.traceReceived(context, requestClass.name);
  if (context.isReceived)
    state_.statistics.incrementInFlight();
  return context;
}

void RequestIntake::completeUpload(DownstreamRequestId client, Clock::time_point lastByteAt) {
  RequestContext* const context = state_.requests.findByClient(client);
  if (context && !context->isReceived)
    startTimeLimit(*context, lastByteAt);
}

// Ends an upload that cannot be answered in time any more: its client may be waiting for the response since
// `lastByteAt`.
void RequestIntake::checkDelayedUpload(DownstreamRequestId client, Clock::time_point lastByteAt) {
  RequestContext* const context = state_.requests.findByClient(client);
  if (!context || context->isReceived || Clock::now() - lastByteAt < context->timeLimit)
    return;
  const balancer::RequestId id = context->id;
  const std::uint32_t attemptsStarted = context->attemptsStarted;
  for (std::uint32_t attempt = 0; attempt < attemptsStarted; ++attempt)
    upstream_.failUnfinishedUpload({id, attempt});
  RequestContext* const remaining = state_.requests.findByClient(client);
  if (remaining && !remaining->isFinished)
    startTimeLimit(*remaining, lastByteAt);
}

void RequestIntake::startTimeLimit(RequestContext& context, Clock::time_point lastByteAt) {
  context.isReceived = true;
  context.receivedAt = lastByteAt;
  context.timeLimit = limitToShutdown(context.timeLimit, context.receivedAt);
  const Duration remaining = context.timeLimit - (Clock::now() - lastByteAt);
  state_.statistics.incrementInFlight();
  for (std::uint32_t attempt = 0; attempt < context.attemptsStarted; ++attempt)
    upstream_.completeUpload({context.id, attempt}, remaining);
  state_.balancer.onUploaded(state_.clock.now(), context.id, remaining);
  actions_.executePending();
}

void RequestIntake::disconnectClient(DownstreamRequestId client) {
  RequestContext* const context = state_.requests.findByClient(client);
  if (!context)
    return;
  completion_.abortRequest(*context);
  // executePending() may remove the context together with its last attempt.
  const balancer::RequestId id = context->id;
  const std::uint32_t attemptsStarted = context->attemptsStarted;
  state_.balancer.onClientDisconnected(state_.clock.now(), id);
  actions_.executePending();
  // If cancellation is disabled, an attempt that is still connecting would be sent although its client has
  // disconnected.
  for (std::uint32_t attempt = 0; attempt < attemptsStarted; ++attempt)
    upstream_.abandonIfUnsent({id, attempt});
}

void RequestIntake::recordLocalRejection(const std::string& target, RejectionKind kind) {
  state_.requestLog.logUnreadRejection(kind);
  const auto outcome =
      kind == RejectionKind::overloaded ? Statistics::Outcome::busy : Statistics::Outcome::failure;
  state_.statistics.recordOutcome(state_.statistics.findClass(firstPathSegment(target)), outcome,
                                  std::nullopt);
}

void RequestIntake::recordClosedUnanswered(DownstreamRequestId client, CloseReason reason) {
  ++state_.counters.closedUnanswered;
  const RequestContext* const context = state_.requests.findByClient(client);
  state_.requestLog.reportViolation("closed_unanswered, " + std::string(nameOf(reason)),
                                    context ? std::string(context->clientId) : "-");
}

}  // namespace hollyrun::gateway
