#include "balancer/dispatch_guard.hpp"

#include <algorithm>

#include "balancer/request_table.hpp"

namespace hollyrun::balancer {
namespace {

constexpr std::array<std::string_view, kDenialReasonCount> kNames = {
    "client_gone", "out_of_time", "window_over", "not_serving", "restarted",
    "too_many",    "may_repeat",  "other_group", "parallel"};

// Time after a drain was listed in which requests may still be sent. The platform allows one second; the
// other half is a margin for a process that is descheduled between reading the clock and writing.
constexpr Duration kDrainGrace = std::chrono::milliseconds(500);
// The deadline is sent in whole milliseconds, so a shorter time cannot be expressed.
constexpr Duration kMinDeadline = std::chrono::milliseconds(1);

}  // namespace

std::string_view nameOf(DenialReason reason) {
  return kNames[static_cast<std::size_t>(reason)];
}

bool isViolation(DenialReason reason) {
  switch (reason) {
    case DenialReason::attemptsExhausted:
    case DenialReason::notIdempotent:
    case DenialReason::outsideDeduplicationScope:
    case DenialReason::hedgingForbidden:
      return true;
    case DenialReason::clientDisconnected:
    case DenialReason::deadlineExceeded:
    case DenialReason::deduplicationWindowPassed:
    case DenialReason::notServing:
    case DenialReason::restarted:
      return false;
  }
  return true;
}

void AttemptHistory::recordWrite(std::uint32_t attempt, const EndpointStatus& server, Time now) {
  attempts_.push_back(
      {.number = attempt, .server = server.id, .zone = server.zone, .cell = server.cell, .firstByteAt = now});
}

void AttemptHistory::recordEnd(std::uint32_t attempt, Outcome outcome) {
  const auto it = std::ranges::find(attempts_, attempt, &Attempt::number);
  if (it == attempts_.end())
    return;
  it->inFlight = false;
  it->mayHaveExecuted = !provesNotExecuted(outcome);
}

bool AttemptHistory::mayHaveExecuted() const {
  return std::ranges::any_of(
      attempts_, [](const Attempt& attempt) { return attempt.inFlight || attempt.mayHaveExecuted; });
}

Admission DispatchGuard::admit(const DispatchFacts& facts) {
  const std::optional<DenialReason> denied = findDenial(facts);
  if (denied)
    ++denied_[static_cast<std::size_t>(*denied)];
  return {denied, std::chrono::duration_cast<std::chrono::milliseconds>(facts.timeLeft)};
}

std::optional<DenialReason> DispatchGuard::findDenial(const DispatchFacts& facts) {
  if (facts.attempt >= facts.terms.maxAttempts)
    return DenialReason::attemptsExhausted;
  if (!facts.clientPresent)
    return DenialReason::clientDisconnected;
  if (facts.timeLeft < kMinDeadline)
    return DenialReason::deadlineExceeded;
  if (facts.server.state != EndpointState::serving && facts.now - facts.server.stateSince > kDrainGrace)
    return DenialReason::notServing;
  if (facts.server.upSince != facts.terms.serverUpSince)
    return DenialReason::restarted;
  return checkResend(facts);
}

// Checks the rules on repeated attempts: none may run in parallel without hedging, and an attempt that may
// have been executed restricts whether, where and when the request may be sent again.
std::optional<DenialReason> DispatchGuard::checkResend(const DispatchFacts& facts) {
  for (const AttemptHistory::Attempt& earlier : facts.history.attempts_) {
    if (earlier.inFlight && !facts.terms.allowHedging)
      return DenialReason::hedgingForbidden;
    if (!earlier.mayHaveExecuted || facts.terms.idempotency == Idempotency::idempotent)
      continue;
    if (facts.terms.idempotency == Idempotency::none)
      return DenialReason::notIdempotent;
    const bool sameZone =
        facts.terms.deduplicationScope != DeduplicationScope::zone || earlier.zone == facts.server.zone;
    const bool sameCell =
        facts.terms.deduplicationScope != DeduplicationScope::cell || earlier.cell == facts.server.cell;
    if (!sameZone || !sameCell)
      return DenialReason::outsideDeduplicationScope;
    if (facts.now - earlier.firstByteAt > facts.terms.deduplicationWindow)
      return DenialReason::deduplicationWindowPassed;
  }
  return std::nullopt;
}

}  // namespace hollyrun::balancer
