#include "lab/simulation/checker.hpp"

#include <algorithm>
#include <cstdio>

namespace hollyrun::lab {

using balancer::DeduplicationScope;
using balancer::EndpointState;
using balancer::Idempotency;
using balancer::Outcome;

const char* nameOf(Rule rule) {
  switch (rule) {
    case Rule::lost:
      return "lost";
    case Rule::duplicate:
      return "duplicate";
    case Rule::drain:
      return "drain";
    case Rule::fall:
      return "fall";
    case Rule::crash:
      return "crash";
    case Rule::check:
      return "check";
  }
  return "?";
}

void Checker::addBreach(Rule rule, Time now, std::uint64_t request, const std::string& server,
                        const std::string& what) {
  breaches_.push_back({rule, now, request, server, what});
}

void Checker::eraseIfComplete(std::uint64_t request) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || !it->second.ended || tolerances_.wireSlack > Duration{})
    return;
  const auto& attempts = it->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) { return attempt.inFlight; }))
    requests_.erase(it);
}

void Checker::requestAccepted(std::uint64_t request, const balancer::ClassSettings& settings, Time deadline) {
  requests_[request] = TrackedRequest{settings, deadline, false, false, {}, {}};
}

// Describes the rule that a further attempt to `entry` violates, given an earlier attempt; empty if it
// violates none.
std::string Checker::repeatViolation(const TrackedRequest& request, const Attempt& earlier, Time now,
                                     const balancer::Endpoint& entry) const {
  if (earlier.inFlight && !tolerances_.allowHedging)
    return "two attempts in flight at the same time";
  if (!earlier.mayHaveExecuted || request.settings.idempotency == Idempotency::idempotent)
    return {};
  if (request.settings.idempotency == Idempotency::none)
    return "sent again although an earlier attempt may have been executed";
  if ((request.settings.deduplicationScope == DeduplicationScope::zone && earlier.zone != entry.zone) ||
      (request.settings.deduplicationScope == DeduplicationScope::cell && earlier.cell != entry.cell))
    return "repeated outside the deduplication scope of the first server";
  return now > earlier.sentAt + request.settings.deduplicationWindow
             ? "repeated after the deduplication window"
             : "";
}

void Checker::attemptSent(Time now, std::uint32_t gateway, std::uint64_t request, std::uint32_t server,
                          const balancer::Endpoint& entry) {
  const auto notServing = notServingSince_.find(gatewayServerKey(gateway, server));
  if (notServing != notServingSince_.end() && now - notServing->second > tolerances_.drainGrace) {
    char text[96];
    std::snprintf(text, sizeof text, "sent %.3f s after discovery announced drain or removal to gateway %u",
                  inSeconds(now - notServing->second), gateway);
    addBreach(Rule::drain, now, request, entry.address, text);
  }
  const auto it = requests_.find(request);
  if (it == requests_.end() ||
      (it->second.ended && !it->second.excused && now - it->second.endedAt >= tolerances_.wireSlack))
    return addBreach(Rule::lost, now, request, entry.address, "sent after the request had ended");
  TrackedRequest& tracked = it->second;
  for (const Attempt& earlier : tracked.attempts) {
    const std::string violation = repeatViolation(tracked, earlier, now, entry);
    if (violation.empty())
      continue;
    addBreach(Rule::duplicate, now, request, entry.address, violation);
    break;
  }
  tracked.attempts.push_back({server, entry.zone, entry.cell, now});
}

void Checker::attemptEnded(std::uint64_t request, std::uint32_t attempt, Outcome outcome) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || attempt >= it->second.attempts.size())
    return;
  Attempt& ended = it->second.attempts[attempt];
  ended.inFlight = false;
  if (outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::abandoned ||
      outcome == Outcome::localFailure)
    ended.mayHaveExecuted = false;
  eraseIfComplete(request);
}

void Checker::rejectedOrFailed(Time now, std::uint64_t request, bool rejected) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || it->second.ended)
    return;
  TrackedRequest& tracked = it->second;
  if (now > tracked.deadline + tolerances_.answerSlack)
    addBreach(Rule::lost, now, request, "", "answered after its deadline");
  if (rejected && tracked.settings.idempotency != Idempotency::idempotent &&
      !(tracked.settings.idempotency == Idempotency::keyed &&
        tracked.settings.deduplicationScope == DeduplicationScope::all))
    for (const Attempt& attempt : tracked.attempts)
      if (attempt.mayHaveExecuted) {
        addBreach(Rule::duplicate, now, request, "", "rejected although an attempt may have been executed");
        break;
      }
  tracked.ended = true;
  tracked.endedAt = now;
  eraseIfComplete(request);
}

void Checker::requestServed(std::uint64_t request, Time now) {
  const auto it = requests_.find(request);
  if (it == requests_.end())
    return;
  it->second.ended = true;
  it->second.endedAt = now;
  eraseIfComplete(request);
}

void Checker::answerDue(Time now, std::uint64_t request) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || it->second.ended)
    return;
  addBreach(Rule::lost, now, request, "", "no answer before its deadline");
  it->second.ended = true;
  it->second.endedAt = now;
  eraseIfComplete(request);
}

void Checker::excuse(std::uint64_t request) {
  const auto it = requests_.find(request);
  if (it != requests_.end())
    it->second.ended = it->second.excused = true;
}

std::size_t Checker::attemptCount(std::uint64_t request) const {
  const auto it = requests_.find(request);
  return it == requests_.end() ? 0 : it->second.attempts.size();
}

void Checker::endpointAnnounced(Time now, std::uint32_t gateway, std::uint32_t server, EndpointState state) {
  if (state == EndpointState::serving)
    notServingSince_.erase(gatewayServerKey(gateway, server));
  else
    notServingSince_.emplace(gatewayServerKey(gateway, server), now);
}

void Checker::gatewayRestarted(std::uint32_t gateway) {
  std::erase_if(notServingSince_, [&](const auto& entry) { return entry.first >> 32 == gateway; });
}

void Checker::coldServerOverloaded(Time now, const std::string& server, double informedShare) {
  char text[96];
  std::snprintf(text, sizeof text,
                "overloaded while warming up, %.0f %% of the work by gateways that knew of the start",
                100 * informedShare);
  if (informedShare >= 2.0 / 3)
    addBreach(Rule::fall, now, 0, server, text);
}

}  // namespace hollyrun::lab
