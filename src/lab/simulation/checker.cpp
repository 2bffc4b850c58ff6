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

void Checker::breach(Rule rule, Time now, std::uint64_t request, const std::string& server,
                     const std::string& what) {
  breaches_.push_back({rule, now, request, server, what});
}

void Checker::forget(std::uint64_t request) {
  const auto it = open_.find(request);
  if (it == open_.end() || !it->second.ended || figures_.wireSlack > Duration{})
    return;
  const auto& attempts = it->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; }))
    open_.erase(it);
}

void Checker::taken(std::uint64_t request, const balancer::ClassSettings& set, Time deadline) {
  open_[request] = Taken{set, deadline, false, false, {}, {}};
}

// What is wrong with a further attempt there, given an earlier one; empty if nothing is.
std::string Checker::repeatFault(const Taken& t, const Attempt& a, Time now,
                                 const balancer::Endpoint& entry) const {
  if (a.out && !figures_.allowHedging)
    return "two attempts out at a time";
  if (!a.mayHaveExecuted || t.set.idempotency == Idempotency::idempotent)
    return {};
  if (t.set.idempotency == Idempotency::none)
    return "sent again though it may have run";
  if ((t.set.deduplicationScope == DeduplicationScope::zone && a.zone != entry.zone) ||
      (t.set.deduplicationScope == DeduplicationScope::cell && a.cell != entry.cell))
    return "repeated outside the group of its first server";
  return now > a.at + t.set.deduplicationWindow ? "repeated past the window" : "";
}

void Checker::sent(Time now, std::uint32_t gateway, std::uint64_t request, std::uint32_t server,
                   const balancer::Endpoint& entry) {
  const auto closed = closedSince_.find(pair(gateway, server));
  if (closed != closedSince_.end() && now - closed->second > figures_.drainGrace) {
    char text[96];
    std::snprintf(text, sizeof text, "sent %.3f s after gateway %u was told that it drains or is gone",
                  inSeconds(now - closed->second), gateway);
    breach(Rule::drain, now, request, entry.address, text);
  }
  const auto it = open_.find(request);
  if (it == open_.end() ||
      (it->second.ended && !it->second.excused && now - it->second.endedAt >= figures_.wireSlack))
    return breach(Rule::lost, now, request, entry.address, "sent after the request had ended");
  Taken& t = it->second;
  for (const Attempt& a : t.attempts) {
    const std::string wrong = repeatFault(t, a, now, entry);
    if (wrong.empty())
      continue;
    breach(Rule::duplicate, now, request, entry.address, wrong);
    break;
  }
  t.attempts.push_back({server, entry.zone, entry.cell, now});
}

void Checker::outcome(std::uint64_t request, std::uint32_t attempt, Outcome outcome) {
  const auto it = open_.find(request);
  if (it == open_.end() || attempt >= it->second.attempts.size())
    return;
  Attempt& a = it->second.attempts[attempt];
  a.out = false;
  if (outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::abandoned ||
      outcome == Outcome::localFailure)
    a.mayHaveExecuted = false;
  forget(request);
}

void Checker::answered(Time now, std::uint64_t request, bool refused) {
  const auto it = open_.find(request);
  if (it == open_.end() || it->second.ended)
    return;
  Taken& t = it->second;
  if (now > t.deadline + figures_.answerSlack)
    breach(Rule::lost, now, request, "", "answered after its time");
  if (refused && t.set.idempotency != Idempotency::idempotent &&
      !(t.set.idempotency == Idempotency::keyed && t.set.deduplicationScope == DeduplicationScope::all))
    for (const Attempt& a : t.attempts)
      if (a.mayHaveExecuted) {
        breach(Rule::duplicate, now, request, "", "refused though it may have run");
        break;
      }
  t.ended = true;
  t.endedAt = now;
  forget(request);
}

void Checker::served(std::uint64_t request, Time now) {
  const auto it = open_.find(request);
  if (it == open_.end())
    return;
  it->second.ended = true;
  it->second.endedAt = now;
  forget(request);
}

void Checker::due(Time now, std::uint64_t request) {
  const auto it = open_.find(request);
  if (it == open_.end() || it->second.ended)
    return;
  breach(Rule::lost, now, request, "", "no answer in its time");
  it->second.ended = true;
  it->second.endedAt = now;
  forget(request);
}

void Checker::excused(std::uint64_t request) {
  const auto it = open_.find(request);
  if (it != open_.end())
    it->second.ended = it->second.excused = true;
}

std::size_t Checker::attempts(std::uint64_t request) const {
  const auto it = open_.find(request);
  return it == open_.end() ? 0 : it->second.attempts.size();
}

void Checker::told(Time now, std::uint32_t gateway, std::uint32_t server, EndpointState state) {
  if (state == EndpointState::serving)
    closedSince_.erase(pair(gateway, server));
  else
    closedSince_.emplace(pair(gateway, server), now);
}

void Checker::restarted(std::uint32_t gateway) {
  std::erase_if(closedSince_, [&](const auto& e) { return e.first >> 32 == gateway; });
}

void Checker::fell(Time now, const std::string& server, double informed) {
  char text[96];
  std::snprintf(text, sizeof text, "cold server pushed over, %.0f %% of the work by gateways that knew",
                100 * informed);
  if (informed >= 2.0 / 3)
    breach(Rule::fall, now, 0, server, text);
}

}  // namespace hollyrun::lab
