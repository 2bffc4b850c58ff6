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

// The figures of the rules.
constexpr SoakTime kAnswerGrace = 500ms, kLeavingGrace = 100ms, kToldGrace = 150ms, kDrainGrace = 1s;
constexpr SoakTime kHoldUp = 150ms;  // a process may be held up so long between its clock and its write

std::string inMs(SoakTime time) {
  return std::to_string(time / 1ms) + " ms";
}

}  // namespace

std::string_view nameOf(SoakRule rule) {
  return kNames[static_cast<std::size_t>(rule)];
}

void SoakOracle::add(SoakRule rule, const std::string& id, std::string text) {
  breaks_.push_back({rule, id, std::move(text)});
}

// How long the soak itself kept the process from running in this time.
SoakTime SoakOracle::heldSince(std::size_t gateway, SoakTime from, SoakTime until) const {
  SoakTime held{};
  for (const HoldUp& one : heldUp_)
    if (one.gateway == gateway)
      held += std::max(std::min(until, one.until) - std::max(from, one.from), SoakTime{});
  return held;
}

bool SoakOracle::killedSince(std::size_t gateway, SoakTime from) const {
  const auto it = killed_.find(gateway);
  return it != killed_.end() && it->second >= from;
}

void SoakOracle::sent(const std::string& id, const SoakClass& cls, std::size_t gateway, SoakTime now,
                      SoakTime wait) {
  requests_[id] = {
      .cls = cls, .gateway = gateway, .sent = now, .wait = wait, .left = {}, .over = false, .runs = {}};
}

void SoakOracle::left(const std::string& id, SoakTime now) {
  Request& request = requests_.at(id);
  request.left = now;
  request.over = true;
}

void SoakOracle::answered(const std::string& id, unsigned status, std::string_view body, SoakTime now) {
  Request& request = requests_.at(id);
  request.over = true;
  ++statuses_[status];
  if (status == 200 && body != id)
    add(SoakRule::wrongAnswer, id, "the answer says " + std::string(body));
  if (status == 200 && request.runs.empty())
    add(SoakRule::wrongAnswer, id, "served, and no server has run it");
  const bool refused = status == 429 || status == 503;
  if (refused && !request.runs.empty() && request.cls.idempotency == Idempotency::none)
    add(SoakRule::ranTwice, id, "refused as harmless, and it has run");
  const SoakTime held = heldSince(request.gateway, request.sent, now);
  if (now > request.sent + request.wait + kAnswerGrace + held + slack_)
    add(SoakRule::unanswered, id, "answered only " + inMs(now - request.sent) + " after it was sent");
}

void SoakOracle::closedUnanswered(const std::string& id, SoakTime now) {
  Request& request = requests_.at(id);
  request.over = true;
  if (!killedSince(request.gateway, request.sent))
    add(SoakRule::unanswered, id,
        "gateway " + std::to_string(request.gateway) + " closed its connection after " +
            inMs(now - request.sent) + " with no answer");
}

void SoakOracle::arrived(const std::string& id, std::size_t server, std::optional<SoakTime> told,
                         SoakTime now) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return add(SoakRule::nobodysRequest, id, "at server " + std::to_string(server));
  const Request& request = it->second;
  const std::size_t gateway = request.gateway;
  if (request.left) {
    const SoakTime since = now - *request.left;
    if (since > kLeavingGrace + kHoldUp + slack_ + heldSince(gateway, *request.left, now))
      add(SoakRule::afterLeaving, id, "sent on " + inMs(since) + " after its client left");
  }
  const SoakTime remains = request.sent + request.wait - now;
  if (told && *told > remains + kToldGrace + slack_ + heldSince(gateway, request.sent, now))
    add(SoakRule::toldTooMuch, id, "told " + inMs(*told) + ", and " + inMs(remains) + " were left");
  const auto since = notServingSince_.find({gateway, server});
  if (since != notServingSince_.end()) {
    const SoakTime late = now - since->second;
    if (late > kDrainGrace + kHoldUp + slack_ + heldSince(gateway, since->second, now))
      add(SoakRule::afterDrain, id,
          "at server " + std::to_string(server) + ", " + inMs(late) + " after its drain was told");
  }
  judgeCold(server, now);
}

void SoakOracle::ran(const std::string& id, SoakTime now) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  Request& request = it->second;
  if (!request.runs.empty() && request.cls.idempotency == Idempotency::none)
    add(SoakRule::ranTwice, id, "a request that may not be repeated ran again");
  if (!request.runs.empty() && request.cls.idempotency == Idempotency::keyed &&
      now - request.runs.front().at > request.cls.window + kHoldUp + slack_)
    add(SoakRule::ranTwice, id, "ran again past its window");
  request.runs.push_back({now});
}

void SoakOracle::judgeCold(std::size_t server, SoakTime now) {
  const auto it = starts_.find(server);
  if (it == starts_.end() || now - it->second.at > it->second.budget.window)
    return;
  Start& start = it->second;
  ++start.arrivals;
  const double n = start.budget.requests;
  const double root = (n < 30 ? 3 : 2) * std::sqrt(n);
  const double most = n + root + (n < 30 ? 3 : 2);
  if (static_cast<double>(start.arrivals) <= most || std::exchange(start.told, true))
    return;
  add(SoakRule::coldFlood, {},
      "server " + std::to_string(server) + " got " + std::to_string(start.arrivals) +
          " requests in its first " + inMs(now - start.at) + ", " + std::to_string(static_cast<int>(most)) +
          " are allowed");
}

void SoakOracle::toldNotServing(std::size_t gateway, std::size_t server, SoakTime now) {
  notServingSince_.emplace(std::pair(gateway, server), now);
}

void SoakOracle::toldServing(std::size_t gateway, std::size_t server) {
  notServingSince_.erase({gateway, server});
}

void SoakOracle::serverStarted(std::size_t server, const ColdBudget& budget, SoakTime now) {
  starts_[server] = {.at = now, .budget = budget};
}

void SoakOracle::killed(std::size_t gateway, SoakTime now) {
  killed_[gateway] = now;
}

void SoakOracle::heldUp(std::size_t gateway, SoakTime from, SoakTime until) {
  heldUp_.push_back({gateway, from, until});
}

void SoakOracle::finish(SoakTime now) {
  for (const auto& [id, request] : requests_)
    if (!request.over && !killedSince(request.gateway, request.sent))
      add(SoakRule::unanswered, id, "no answer " + inMs(now - request.sent) + " after it was sent");
}

std::size_t SoakOracle::count(unsigned status) const {
  const auto it = statuses_.find(status);
  return it == statuses_.end() ? 0 : it->second;
}

}  // namespace hollyrun::lab
