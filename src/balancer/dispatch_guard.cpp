#include "balancer/dispatch_guard.hpp"

#include <algorithm>

#include "balancer/state.hpp"

namespace hollyrun::balancer {
namespace {

constexpr std::array<std::string_view, kDenialReasons> kNames = {"client_gone", "out_of_time", "window_over",
                                                                 "not_serving", "restarted",   "too_many",
                                                                 "may_repeat",  "other_group", "parallel"};

// The rules grant one second from the moment in which a drain was told. Half of it is left for a process that
// is held up between its look at the clock and its write.
constexpr Duration kDrainGrace = std::chrono::milliseconds(500);
// A server that is told less than one millisecond is told nothing.
constexpr Duration kLeastTold = std::chrono::milliseconds(1);

}  // namespace

std::string_view nameOf(DenialReason reason) { return kNames[static_cast<std::size_t>(reason)]; }

bool isViolation(DenialReason reason) {
  switch (reason) {
    case DenialReason::tooMany:
    case DenialReason::mayRepeat:
    case DenialReason::otherGroup:
    case DenialReason::parallel: return true;
    case DenialReason::clientGone:
    case DenialReason::outOfTime:
    case DenialReason::windowOver:
    case DenialReason::notServing:
    case DenialReason::restarted: return false;
  }
  return true;
}

void AttemptHistory::wrote(std::uint32_t attempt, const ServerState& server, Time now) {
  attempts_.push_back(
      {.number = attempt, .server = server.id, .zone = server.zone, .cell = server.cell, .at = now});
}

void AttemptHistory::ended(std::uint32_t attempt, Outcome outcome) {
  const auto it = std::ranges::find(attempts_, attempt, &Attempt::number);
  if (it == attempts_.end()) return;
  it->out = false;
  it->mayHaveRun = !provesNotRun(outcome);
}

Admission DispatchGuard::admit(const DispatchFacts& facts) {
  const std::optional<DenialReason> denied = judge(facts);
  if (denied) ++denied_[static_cast<std::size_t>(*denied)];
  return {denied, std::chrono::duration_cast<std::chrono::milliseconds>(facts.left)};
}

std::optional<DenialReason> DispatchGuard::judge(const DispatchFacts& facts) {
  if (facts.attempt >= facts.terms.maxAttempts) return DenialReason::tooMany;
  if (!facts.clientPresent) return DenialReason::clientGone;
  if (facts.left < kLeastTold) return DenialReason::outOfTime;
  if (facts.server.phase != Phase::in && facts.now - facts.server.phaseSince > kDrainGrace)
    return DenialReason::notServing;
  if (facts.server.upSince != facts.terms.serverUpSince) return DenialReason::restarted;
  return judgeRepeat(facts);
}

// Nothing binds before an attempt may have run.
std::optional<DenialReason> DispatchGuard::judgeRepeat(const DispatchFacts& facts) {
  for (const AttemptHistory::Attempt& earlier : facts.history.attempts_) {
    if (earlier.out && !facts.terms.parallelTries) return DenialReason::parallel;
    if (!earlier.mayHaveRun || facts.terms.effect == Effect::retryable) continue;
    if (facts.terms.effect == Effect::fragile) return DenialReason::mayRepeat;
    const bool sameZone = facts.terms.group != Group::zone || earlier.zone == facts.server.zone;
    const bool sameCell = facts.terms.group != Group::cell || earlier.cell == facts.server.cell;
    if (!sameZone || !sameCell) return DenialReason::otherGroup;
    if (facts.now - earlier.at > facts.terms.window) return DenialReason::windowOver;
  }
  return std::nullopt;
}

}  // namespace hollyrun::balancer
