// Test driver of a Balancer: reports events and records the actions. It simulates no servers; each test
// decides how and when attempts end.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline ClassSettings makeClass(const std::string& name, Idempotency idempotency, double priorityWeight,
                               DeduplicationScope deduplicationScope = DeduplicationScope::all) {
  ClassSettings requestClass;
  requestClass.name = name;
  requestClass.latencyObjective = milliseconds(400);
  requestClass.clientTimeout = milliseconds(1000);
  requestClass.deduplicationWindow = milliseconds(800);
  requestClass.idempotency = idempotency;
  requestClass.deduplicationScope = deduplicationScope;
  requestClass.priorityWeight = priorityWeight;
  return requestClass;
}

inline Settings makeSettings() {
  Settings settings;
  settings.seed = 7;
  settings.zone = "east";
  settings.classes = {makeClass("read", Idempotency::idempotent, 10),
                      makeClass("write", Idempotency::none, 1),
                      makeClass("put", Idempotency::keyed, 1, DeduplicationScope::cell)};
  settings.cancel = true;
  settings.maxAttempts = 4;
  settings.step = milliseconds(5);
  settings.slowStartInitialFraction = 0.2;
  settings.slowStartDuration = seconds(10);
  settings.overloadWindow = seconds(2);
  return settings;
}

inline Endpoint makeHost(int number, const std::string& zone = "east", std::int64_t cell = 0) {
  Endpoint endpoint;
  endpoint.address = "host-" + std::to_string(100 + number);
  endpoint.zone = zone;
  endpoint.machineType = "std";
  endpoint.cell = cell;
  return endpoint;
}

// An attempt that the Balancer has sent.
struct SentAttempt {
  RequestId request;
  std::uint32_t attempt;
  HostId host;
  Time sentAt;
  Duration timeLimit;
};

class Driver {
 public:
  explicit Driver(const Settings& settings, int hosts = 6) : now(seconds(100)), balancer(settings, now) {
    std::vector<Endpoint> list;
    for (int i = 0; i < hosts; ++i)
      list.push_back(makeHost(i, "east", i % 2));
    balancer.onEndpoints(now, EndpointListKind::cached, list);
    collectActions();
  }

  // A key of 0 means no key.
  RequestId submitRequest(std::uint32_t classIndex, Duration remaining = milliseconds(1000),
                          std::uint64_t key = 0) {
    Request request;
    request.id = ++lastRequest;
    request.classIndex = classIndex;
    request.remaining = remaining;
    request.key = key;
    request.hasKey = key != 0;
    balancer.onRequest(now, request);
    collectActions();
    return request.id;
  }
  // Ends an attempt. A negative `elapsed` stands for the time since it was sent.
  void complete(const SentAttempt& attempt, Outcome outcome, bool terminal, Duration elapsed = Duration(-1)) {
    balancer.onResult(now, {attempt.request, attempt.attempt, attempt.host, outcome,
                            elapsed < Duration{} ? now - attempt.sentAt : elapsed, terminal});
    for (std::size_t i = 0; i < inFlight.size(); ++i)
      if (inFlight[i].request == attempt.request && inFlight[i].attempt == attempt.attempt) {
        inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(i));
        break;
      }
    collectActions();
  }
  void serve(const SentAttempt& attempt) { complete(attempt, Outcome::served, true); }
  void advance(Duration duration, Duration step = milliseconds(5)) {
    for (const Time end = now + duration; now < end;) {
      now += step;
      balancer.onWake(now);
      collectActions();
    }
  }
  // Submits `count` requests one after another; after each, advances the time by `serviceTime` and serves all
  // attempts in flight.
  void warmUp(std::uint32_t classIndex, int count, Duration serviceTime = milliseconds(50)) {
    for (int i = 0; i < count; ++i) {
      submitRequest(classIndex);
      advance(serviceTime, serviceTime);
      while (!inFlight.empty())
        serve(SentAttempt(inFlight.front()));
    }
  }
  SentAttempt lastSent() const { return sent.back(); }
  bool isRejected(RequestId id) const { return answers.count(id) && answers.at(id) == ActionKind::reject; }
  bool hasFailed(RequestId id) const { return answers.count(id) && answers.at(id) == ActionKind::fail; }
  HostId hostId(int number) const { return balancer.findHost(makeHost(number).address); }
  std::size_t attemptsTo(HostId host) const {
    std::size_t count = 0;
    for (const SentAttempt& attempt : sent)
      count += attempt.host == host;
    return count;
  }
  std::size_t countActions(ActionKind kind) const {
    std::size_t count = 0;
    for (const Action& action : actions)
      count += action.kind == kind;
    return count;
  }
  // Clears `sent` and `actions`; attempts in flight and answers are kept.
  void clearHistory() {
    sent.clear();
    actions.clear();
  }

  // Records the pending actions of the Balancer.
  void collectActions() {
    for (Action& action : balancer.actions()) {
      if (action.kind == ActionKind::send) {
        sent.push_back({action.request, action.attempt, action.host, now, action.timeLimit});
        inFlight.push_back(sent.back());
      } else if (action.kind == ActionKind::reject || action.kind == ActionKind::fail) {
        EXPECT_EQ(answers.count(action.request), 0u)
            << "expected one answer, request " << action.request << " was answered twice";
        answers[action.request] = action.kind;
        retryAfter[action.request] = action.retryAfter;
      }
      actions.push_back(std::move(action));
    }
    balancer.actions().clear();
  }

  Time now;
  Balancer balancer;
  RequestId lastRequest = 0;
  std::vector<SentAttempt> sent;      // since the last clearHistory
  std::vector<SentAttempt> inFlight;  // in the order in which they were sent
  std::vector<Action> actions;        // since the last clearHistory
  std::map<RequestId, ActionKind> answers;
  std::map<RequestId, Duration> retryAfter;
};

}  // namespace hollyrun::balancer::testing
