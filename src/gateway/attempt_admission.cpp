#include "gateway/attempt_admission.hpp"

namespace hollyrun::gateway {

using balancer::DenialReason;
using balancer::Duration;
using balancer::Outcome;

AttemptAdmission::AttemptAdmission(GatewayState& state, const EndpointTable& endpoints,
                                   const DownstreamServer& downstream)
    : state_(state), endpoints_(endpoints), downstream_(downstream) {}

AdmissionResult AttemptAdmission::admit(const AttemptStart& start) {
  RequestContext* const context = state_.requests.find(start.key.request);
  if (!context)
    return {Outcome::abandoned, {}};
  const std::uint32_t attempt = start.key.attempt;
  const Duration timeLeft = context->isReceived ? start.timeLeft : timeLeftForUpload(*context);
  const balancer::Admission admission = guard_.admit({.now = state_.clock.now(),
                                                      .clientPresent = isClientPresent(*context),
                                                      .attempt = attempt,
                                                      .timeLeft = timeLeft,
                                                      .terms = context->attemptTerms.at(attempt),
                                                      .server = endpoints_.status(start.host),
                                                      .history = context->history});
  if (admission.denied)
    return deny(*context, start, *admission.denied);
  if (start.step == AttemptStep::write && !claim(*context))
    return {Outcome::abandoned, {}};
  if (start.step == AttemptStep::write) {
    context->history.recordWrite(attempt, endpoints_.status(start.host), state_.clock.now());
    state_.requestLog.traceAttemptStarted(*context, attempt, start.host, admission.deadline);
  }
  return {std::nullopt, admission.deadline};
}

AdmissionResult AttemptAdmission::deny(const RequestContext& context, const AttemptStart& start,
                                       DenialReason reason) {
  state_.requestLog.traceAttempt("attempt_denied", context, start.key.attempt, start.host,
                                 balancer::nameOf(reason));
  if (balancer::isViolation(reason))
    state_.requestLog.reportViolation(balancer::nameOf(reason), std::string(context.clientId));
  const bool isClientDisconnected = reason == DenialReason::clientDisconnected;
  return {isClientDisconnected ? Outcome::abandoned : Outcome::localFailure, {}};
}

// A client may disconnect in the same iteration of the event loop in which an attempt of its request starts.
// Its socket is checked because the event loop has not reported the disconnect yet.
bool AttemptAdmission::isClientPresent(const RequestContext& context) {
  if (context.isFinished)
    return false;
  switch (downstream_.clientPresence(context.client)) {
    case ClientPresence::present:
      return true;
    case ClientPresence::unknown:
      ++state_.counters.unknownPresence;
      return false;
    case ClientPresence::departed:
      disconnectedClients_.push_back(context.client);
      return false;
  }
  return false;
}

// The client's time limit starts when it has written the last byte of its upload, which may not be read yet.
Duration AttemptAdmission::timeLeftForUpload(const RequestContext& context) const {
  const auto lastByteAt = downstream_.earliestLastByte(context.client);
  return context.timeLimit - (std::chrono::steady_clock::now() - lastByteAt);
}

// Of two requests with one id the first to be written counts, in whichever process.
bool AttemptAdmission::claim(RequestContext& context) {
  if (context.isClaimed || context.fingerprint == 0)
    return true;
  context.isClaimed = state_.executedRequests.claim(context.fingerprint, std::chrono::steady_clock::now());
  if (context.isClaimed || state_.mayRepeat(context.terms, context.fingerprint))
    return true;
  repeatedRequests_.push_back(context.id);
  return false;
}

}  // namespace hollyrun::gateway
