#include "lab/soak/oracle.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace hollyrun::lab {
namespace {

using namespace std::chrono_literals;
using balancer::Idempotency;

constexpr std::array<std::string_view, 12> kNames = {
    "unanswered", "after_leaving", "told_too_much", "after_drain", "ran_twice", "nobodys_request",
    "cold_flood", "wrong_answer",  "serves_nobody", "not_ready",   "crashed",   "over_limit"};

// Tolerances of the rules.
constexpr SoakTime kResponseGrace = 500ms, kDisconnectGrace = 100ms, kDeadlineGrace = 150ms, kDrainGrace = 1s;
// A process may be descheduled for this long between reading its clock and writing.
constexpr SoakTime kSchedulingDelay = 150ms;

std::string millisecondsText(SoakTime time) {
  return std::to_string(time / 1ms) + " ms";
}

}  // namespace

std::string_view nameOf(SoakRule rule) {
  return kNames[static_cast<std::size_t>(rule)];
}

void SoakOracle::add(SoakRule rule, const std::string& id, std::string text) {
  violations_.push_back({rule, id, std::move(text)});
}

// Returns how long the soak itself kept the process stopped within this interval.
SoakTime SoakOracle::pausedDuring(std::size_t gateway, SoakTime from, SoakTime until) const {
  SoakTime paused{};
  for (const Pause& pause : pauses_)
    if (pause.gateway == gateway)
      paused += std::max(std::min(until, pause.until) - std::max(from, pause.from), SoakTime{});
  return paused;
}

bool SoakOracle::isExcusedByKill(const Request& request) const {
  const auto it = kills_.find(request.gateway);
  if (it == kills_.end())
    return false;
  const Kill& kill = it->second;
  return request.sent >= kill.excusesFrom && (!kill.ended || request.sent <= *kill.ended);
}

void SoakOracle::requestSent(const std::string& id, const SoakClass& requestClass, std::size_t gateway,
                             SoakTime now, SoakTime timeout) {
  requests_[id] = {.requestClass = requestClass,
                   .gateway = gateway,
                   .sent = now,
                   .timeout = timeout,
                   .left = {},
                   .complete = false,
                   .isOther = false,
                   .executions = {}};
}

void SoakOracle::otherRequestSent(const std::string& id, std::size_t gateway, SoakTime now) {
  Request& request = requests_[id];
  request.gateway = gateway;
  request.sent = now;
  request.complete = true;
  request.isOther = true;
  request.requestClass.idempotency = Idempotency::idempotent;
}

void SoakOracle::clientLeft(const std::string& id, SoakTime now) {
  Request& request = requests_.at(id);
  request.left = now;
  request.complete = true;
}

void SoakOracle::requestAnswered(const std::string& id, unsigned status, std::string_view body,
                                 SoakTime now) {
  Request& request = requests_.at(id);
  request.complete = true;
  ++statuses_[status];
  if (status == 200 && body != id)
    add(SoakRule::wrongAnswer, id,
        "the response body is '" + std::string(body) + "', expected the request id");
  if (status == 200 && request.executions.empty())
    add(SoakRule::wrongAnswer, id, "answered with 200, but no server executed it");
  const bool refused = status == 429 || status == 503;
  if (refused && !request.executions.empty() && request.requestClass.idempotency == Idempotency::none)
    add(SoakRule::ranTwice, id, "rejected with " + std::to_string(status) + ", but a server executed it");
  const SoakTime paused = pausedDuring(request.gateway, request.sent, now);
  if (now > request.sent + request.timeout + kResponseGrace + paused + slack_)
    add(SoakRule::unanswered, id,
        "answered " + millisecondsText(now - request.sent) + " after it was sent, which is too late");
}

void SoakOracle::closedUnanswered(const std::string& id, SoakTime now, bool isNewConnection) {
  Request& request = requests_.at(id);
  request.complete = true;
  const bool isExcusedByCrowd = isNewConnection && crowded_.contains(request.gateway);
  if (!isExcusedByCrowd && !isExcusedByKill(request))
    add(SoakRule::unanswered, id,
        "gateway " + std::to_string(request.gateway) + " closed the connection after " +
            millisecondsText(now - request.sent) + " without a response");
}

void SoakOracle::requestArrived(const std::string& id, std::size_t server, std::optional<SoakTime> deadline,
                                SoakTime now, std::optional<SoakTime> headArrivedAt) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return add(SoakRule::nobodysRequest, id,
               "arrived at server " + std::to_string(server) + ", but no client sent it");
  const Request& request = it->second;
  const std::size_t gateway = request.gateway;
  if (request.left) {
    const SoakTime since = now - *request.left;
    if (since > kDisconnectGrace + kSchedulingDelay + slack_ + pausedDuring(gateway, *request.left, now))
      add(SoakRule::afterLeaving, id,
          "arrived at a server " + millisecondsText(since) + " after its client disconnected");
  }
  const SoakTime toldAt = headArrivedAt.value_or(now);
  const SoakTime remaining = request.sent + request.timeout - toldAt;
  if (!request.isOther && deadline &&
      *deadline > remaining + kDeadlineGrace + slack_ + pausedDuring(gateway, request.sent, toldAt))
    add(SoakRule::toldTooMuch, id,
        "the server was given " + millisecondsText(*deadline) + ", but the client had " +
            millisecondsText(remaining) + " left");
  const auto drain = drains_.find({gateway, server});
  if (drain != drains_.end()) {
    const std::optional<SoakTime> since = countsAsAnnounced(gateway, drain->second);
    if (since && now - *since > kDrainGrace + kSchedulingDelay + slack_ + pausedDuring(gateway, *since, now))
      add(SoakRule::afterDrain, id,
          "arrived at server " + std::to_string(server) + " from gateway " + std::to_string(gateway) + " " +
              millisecondsText(now - *since) + " after its drain counted as announced (" +
              (drain->second.written ? "written" : "not written") + " to the gateway)");
  }
  checkSlowStart(server, now);
}

void SoakOracle::requestExecuted(const std::string& id, SoakTime now) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  Request& request = it->second;
  if (!request.executions.empty() && request.requestClass.idempotency == Idempotency::none)
    add(SoakRule::ranTwice, id, "executed again, but the request is not idempotent");
  if (!request.executions.empty() && request.requestClass.idempotency == Idempotency::keyed &&
      now - request.executions.front().at > request.requestClass.window + kSchedulingDelay + slack_)
    add(SoakRule::ranTwice, id, "executed again after its window");
  request.executions.push_back({now});
}

void SoakOracle::checkSlowStart(std::size_t server, SoakTime now) {
  const auto it = starts_.find(server);
  if (it == starts_.end() || now - it->second.at > it->second.budget.window)
    return;
  ServerStart& start = it->second;
  ++start.arrivals;
  const double expected = start.budget.requests;
  // The maximum exceeds the expected number by two standard deviations of a Poisson count plus 2, or by three
  // standard deviations plus 3 if fewer than 30 are expected.
  const double deviation = (expected < 30 ? 3 : 2) * std::sqrt(expected);
  const double maximum = expected + deviation + (expected < 30 ? 3 : 2);
  if (static_cast<double>(start.arrivals) <= maximum || std::exchange(start.reported, true))
    return;
  add(SoakRule::coldFlood, {},
      "server " + std::to_string(server) + " received " + std::to_string(start.arrivals) +
          " requests in its first " + millisecondsText(now - start.at) + ", " +
          std::to_string(static_cast<int>(maximum)) + " are allowed");
}

void SoakOracle::announcedNotServing(std::size_t gateway, std::size_t server, SoakTime now) {
  Drain& drain = drains_[{gateway, server}];
  drain.written = drain.written.value_or(now);
}

void SoakOracle::announcedServing(std::size_t gateway, std::size_t server) {
  drains_.erase({gateway, server});
}

void SoakOracle::agentHasNotServing(std::size_t gateway, std::size_t server, SoakTime now) {
  Drain& drain = drains_[{gateway, server}];
  drain.inAgent = drain.inAgent.value_or(now);
}

void SoakOracle::agentHasServing(std::size_t gateway, std::size_t server) {
  drains_.erase({gateway, server});
}

void SoakOracle::agentUnreachable(std::size_t gateway, SoakTime now) {
  for (auto& [key, drain] : drains_) {
    if (key.first != gateway || drain.written || drain.counted)
      continue;
    // A drain whose grace had passed while the agent could be reached goes on to count.
    const std::optional<SoakTime> since = countsByAgent(gateway, drain);
    if (since && now - *since > kDrainGrace + kSchedulingDelay)
      drain.counted = since;
  }
  agents_[gateway].reachable = false;
}

void SoakOracle::agentReachable(std::size_t gateway, SoakTime from) {
  agents_[gateway] = {.reachable = true, .reachableSince = from, .delay = {}};
}

void SoakOracle::agentDelayed(std::size_t gateway, SoakTime delay) {
  agents_[gateway].delay = delay;
}

std::optional<SoakTime> SoakOracle::countsByAgent(std::size_t gateway, const Drain& drain) const {
  const auto it = agents_.find(gateway);
  const Agent agent = it == agents_.end() ? Agent{} : it->second;
  if (!drain.inAgent || !agent.reachable)
    return std::nullopt;
  return std::max(*drain.inAgent, agent.reachableSince) + agent.delay;
}

// Where two rules apply, the earlier time counts.
std::optional<SoakTime> SoakOracle::countsAsAnnounced(std::size_t gateway, const Drain& drain) const {
  std::optional<SoakTime> earliest;
  for (const std::optional<SoakTime>& time : {drain.written, drain.counted, countsByAgent(gateway, drain)})
    if (time && (!earliest || *time < *earliest))
      earliest = time;
  return earliest;
}

void SoakOracle::serverStarted(std::size_t server, const SlowStartBudget& budget, SoakTime now) {
  starts_[server] = {.at = now, .budget = budget};
}

void SoakOracle::gatewayKilled(std::size_t gateway) {
  kills_[gateway] = {.excusesFrom = {}, .ended = {}};
}

void SoakOracle::gatewayKilledAfterTerm(std::size_t gateway, SoakTime now) {
  kills_[gateway] = {.excusesFrom = now - slack_, .ended = {}};
}

void SoakOracle::gatewayEnded(std::size_t gateway, SoakTime now) {
  const auto it = kills_.find(gateway);
  if (it != kills_.end() && !it->second.ended)
    it->second.ended = now;
}

void SoakOracle::gatewayPaused(std::size_t gateway, SoakTime from, SoakTime until) {
  pauses_.push_back({gateway, from, until});
}

void SoakOracle::finish(SoakTime now) {
  for (const auto& [id, request] : requests_)
    if (!request.complete && !isExcusedByKill(request))
      add(SoakRule::unanswered, id,
          "no response " + millisecondsText(now - request.sent) + " after it was sent");
}

std::size_t SoakOracle::count(unsigned status) const {
  const auto it = statuses_.find(status);
  return it == statuses_.end() ? 0 : it->second;
}

}  // namespace hollyrun::lab
