// Tests of a Balancer by its events and actions: load shedding, endpoint selection, changed settings, and
// four rules. Each request is answered once and in time, no effect is executed twice, hosts that drain
// receive no new requests, and cold hosts are not overloaded.
#include <random>
#include <set>

#include "driver.hpp"

namespace hollyrun::balancer::testing {
namespace {

// --- Load shedding ---

TEST(SheddingThreshold, IsZeroUpToHalfTheMaximumInFlightThenCubic) {
  Driver driver(makeSettings(), 10);  // the initial maximum is 6 per host, 60 in all
  bool hasRisen = false, wasZeroUnderLoad = false;
  double smoothedInFlight = 0;
  for (int i = 0; i < 300; ++i) {
    const double inFlight = static_cast<double>(driver.inFlight.size());
    const std::size_t before = driver.inFlight.size();
    driver.submitRequest(0);
    smoothedInFlight += 0.05 * (inFlight - smoothedInFlight);
    const double overload = std::clamp((smoothedInFlight / 60 - 0.5) / 0.5, 0.0, 1.0);
    wasZeroUnderLoad |= overload == 0 && smoothedInFlight > 15;
    EXPECT_NEAR(driver.balancer.sheddingThreshold(), 100 * overload * overload * overload, 1e-6)
        << "with " << before << " attempts in flight";
    hasRisen |= driver.balancer.sheddingThreshold() > 5;
  }
  EXPECT_TRUE(hasRisen);
  EXPECT_TRUE(wasZeroUnderLoad);
}

TEST(Score, LowPriorityIsRejectedBeforeHighPriority) {
  Driver driver(makeSettings(), 10);
  int lowRejected = 0, highRejected = 0;
  std::mt19937 engine(3);
  for (int i = 0; i < 400; ++i) {
    const std::uint32_t classIndex = engine() % 4 == 0 ? 0 : 1;
    const RequestId id = driver.submitRequest(classIndex);
    if (driver.inFlight.size() > 44)
      driver.serve(SentAttempt(driver.inFlight[engine() % driver.inFlight.size()]));
    if (driver.balancer.sheddingThreshold() > 60)
      continue;  // high priority has the top quarter of the scores
    lowRejected += classIndex == 1 && driver.isRejected(id);
    highRejected += classIndex == 0 && driver.isRejected(id);
  }
  EXPECT_GT(lowRejected, 10);
  EXPECT_EQ(highRejected, 0);
}

TEST(Score, ClassesOfEqualPriorityShareTheRejections) {
  Settings settings = makeSettings();
  Driver driver(settings, 10);
  std::map<std::uint32_t, int> rejected;
  std::mt19937 engine(5);
  for (int i = 0; i < 12000; ++i) {
    const std::uint32_t classIndex = 1 + engine() % 2;
    const RequestId id = driver.submitRequest(classIndex);
    rejected[classIndex] += driver.isRejected(id);
    if (driver.inFlight.size() > 42)
      driver.serve(SentAttempt(driver.inFlight[engine() % driver.inFlight.size()]));
  }
  EXPECT_GT(rejected[1], 50);
  EXPECT_LT(std::abs(rejected[1] - rejected[2]), (rejected[1] + rejected[2]) / 3);
}

TEST(SheddingThreshold, RisesWithErrorsOfAllHostsAndRecovers) {
  Driver driver(makeSettings());
  driver.warmUp(0, 60);
  for (int i = 0; i < 60; ++i) {
    driver.submitRequest(1);
    driver.advance(milliseconds(20));
    while (!driver.inFlight.empty())
      driver.complete(SentAttempt(driver.inFlight.front()), Outcome::error, false);
  }
  EXPECT_GT(driver.balancer.sheddingThreshold(), 1);
  driver.warmUp(0, 200);
  EXPECT_EQ(driver.balancer.sheddingThreshold(), 0);
}

TEST(RetryAfter, IsLongerForLowerScoresAndAbsentWhenDisabled) {
  for (bool enabled : {true, false}) {
    Settings settings = makeSettings();
    settings.retryAfter = enabled;
    settings.maxRetryAfter = milliseconds(1000);
    Driver driver(settings, 10);
    double sums[2] = {0, 0};
    int counts[2] = {0, 0};
    for (int i = 0; i < 2000; ++i) {
      const std::uint32_t classIndex = i % 2;
      const RequestId id = driver.submitRequest(classIndex);
      if (!driver.isRejected(id))
        continue;
      ++counts[classIndex];
      sums[classIndex] += static_cast<double>(driver.retryAfter[id].count());
      EXPECT_LE(driver.retryAfter[id], settings.maxRetryAfter);
    }
    ASSERT_GT(counts[0], 0);
    ASSERT_GT(counts[1], 0);
    if (enabled)
      EXPECT_GT(sums[1] / counts[1], sums[0] / counts[0]);
    else
      EXPECT_EQ(sums[0] + sums[1], 0);
  }
}

TEST(RetryAfter, IsSetAlsoWhenAllAttemptsWereRejected) {
  for (bool enabled : {true, false}) {
    Settings settings = makeSettings();
    settings.retryAfter = enabled;
    settings.maxRetryAfter = milliseconds(1000);
    Driver driver(settings, 6);
    const RequestId id = driver.submitRequest(1);
    while (!driver.inFlight.empty())
      driver.complete(SentAttempt(driver.inFlight.front()), Outcome::rejected, false);
    ASSERT_TRUE(driver.isRejected(id));
    if (enabled)
      EXPECT_GT(driver.retryAfter[id], Duration{});
    else
      EXPECT_EQ(driver.retryAfter[id], Duration{});
    EXPECT_LE(driver.retryAfter[id], settings.maxRetryAfter);
  }
}

// --- Endpoint selection ---

TEST(EndpointSelection, PrefersIdleHosts) {
  Driver driver(makeSettings(), 6);
  std::set<HostId> used;
  for (int i = 0; i < 6; ++i) {
    driver.submitRequest(0);
    used.insert(driver.lastSent().host);
  }
  EXPECT_EQ(used.size(), 6u) << "expected a request at each host before a second one at any";
}

TEST(EndpointSelection, SendsFewerRequestsToASlowHost) {
  Driver driver(makeSettings(), 4);
  const HostId slow = driver.hostId(0);
  for (int i = 0; i < 400; ++i) {
    driver.submitRequest(0);
    driver.advance(milliseconds(10));
    for (std::size_t index = 0; index < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[index];
      if (driver.now - attempt.sentAt >= milliseconds(attempt.host == slow ? 90 : 30))
        driver.serve(attempt);
      else
        ++index;
    }
  }
  EXPECT_LT(driver.attemptsTo(slow) * 3, driver.attemptsTo(driver.hostId(1)) * 2);
  EXPECT_GT(driver.attemptsTo(slow), 5u);
}

TEST(EndpointSelection, SendsAKeyToTheSameHostAtEveryGateway) {
  Settings settings = makeSettings();
  settings.keyAffinity = true;
  Driver gateway(settings, 8);
  settings.seed = 99;
  Driver otherGateway(settings, 8);
  std::set<HostId> usedHosts;
  for (std::uint64_t key = 1; key <= 60; ++key) {
    gateway.submitRequest(0, milliseconds(1000), key);
    otherGateway.submitRequest(0, milliseconds(1000), key);
    EXPECT_EQ(gateway.lastSent().host, otherGateway.lastSent().host);
    usedHosts.insert(gateway.lastSent().host);
    gateway.serve(gateway.lastSent());
    otherGateway.serve(otherGateway.lastSent());
  }
  EXPECT_EQ(usedHosts.size(), 8u);
}

TEST(EndpointSelection, PrefersTheLocalZoneAndSpillsOver) {
  Settings settings = makeSettings();
  Driver driver(settings, 0);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::snapshot,
                              {makeHost(0), makeHost(1), makeHost(2, "west"), makeHost(3, "west")});
  for (int i = 0; i < 200; ++i) {
    driver.submitRequest(0);
    driver.serve(driver.lastSent());
  }
  const std::size_t toLocalZone = driver.attemptsTo(driver.hostId(0)) + driver.attemptsTo(driver.hostId(1));
  EXPECT_GT(toLocalZone, 115u);
  EXPECT_LT(toLocalZone, 200u);
  driver.clearHistory();
  for (int i = 0; i < 4; ++i)
    driver.submitRequest(0);
  EXPECT_GT(driver.attemptsTo(driver.hostId(2)) + driver.attemptsTo(driver.hostId(3)), 0u);
}

// --- Rule 1: each request is answered once and in time ---

TEST(Answers, RequestWithoutHostOrTimeIsRejectedAtOnce) {
  Driver withoutHosts(makeSettings(), 0);
  EXPECT_TRUE(withoutHosts.isRejected(withoutHosts.submitRequest(1)));
  Driver driver(makeSettings());
  EXPECT_TRUE(driver.isRejected(driver.submitRequest(1, Duration{})));
  EXPECT_TRUE(driver.isRejected(driver.submitRequest(1, milliseconds(-3))));
  EXPECT_EQ(driver.sent.size(), 0u);
}

TEST(Answers, RequestFailsAtItsDeadlineIfItsAttemptDoesNotEnd) {
  Driver driver(makeSettings());
  const RequestId id = driver.submitRequest(1);
  driver.advance(milliseconds(1000));
  EXPECT_TRUE(driver.hasFailed(id));
  EXPECT_EQ(driver.countActions(ActionKind::cancel), 1u);
}

TEST(Answers, AttemptsEndBeforeTheClientsDeadline) {
  Driver driver(makeSettings());
  driver.submitRequest(0, milliseconds(300));
  EXPECT_LE(driver.lastSent().timeLimit, milliseconds(300));
  EXPECT_GE(driver.lastSent().timeLimit, milliseconds(200));
}

TEST(Answers, NothingIsSentAfterTheClientDisconnects) {
  Driver driver(makeSettings());
  const RequestId id = driver.submitRequest(0);
  const SentAttempt first = driver.lastSent();
  driver.balancer.onClientDisconnected(driver.now, id);
  driver.collectActions();
  EXPECT_EQ(driver.countActions(ActionKind::cancel), 1u);
  driver.complete(first, Outcome::connectFailed, false);
  EXPECT_EQ(driver.sent.size(), 1u);
  EXPECT_EQ(driver.answers.count(id), 0u);
  EXPECT_EQ(driver.balancer.openRequests(), 0u);
}

TEST(Answers, RequestOfUnknownClassIsNotRepeated) {
  Driver driver(makeSettings());
  const RequestId id = driver.submitRequest(57);
  driver.complete(driver.lastSent(), Outcome::error, false);
  EXPECT_TRUE(driver.hasFailed(id));
  EXPECT_EQ(driver.sent.size(), 1u);
}

TEST(Answers, EventsOfUnknownRequestsAndAttemptsAreIgnored) {
  Driver driver(makeSettings());
  const RequestId id = driver.submitRequest(0);
  const SentAttempt attempt = driver.lastSent();
  driver.balancer.onResult(driver.now, {id + 50, 0, attempt.host, Outcome::error, {}, false});
  driver.balancer.onResult(driver.now, {id, 3, attempt.host, Outcome::error, {}, false});
  driver.balancer.onClientDisconnected(driver.now, 999);
  driver.balancer.onResponseStarted(driver.now, 999, 0);
  driver.submitRequest(0);
  driver.collectActions();
  EXPECT_EQ(driver.answers.size(), 0u);
  driver.serve(attempt);
  driver.balancer.onResult(driver.now, {id, 0, attempt.host, Outcome::served, {}, true});
  EXPECT_EQ(driver.balancer.openRequests(), 1u);
}

TEST(Answers, RequestIsNotEndedOrRepeatedOnceItsResponseHasStarted) {
  Settings settings = makeSettings();
  Driver driver(settings);
  const RequestId id = driver.submitRequest(0);
  driver.balancer.onResponseStarted(driver.now, id, 0);
  driver.advance(seconds(3));
  EXPECT_EQ(driver.answers.count(id), 0u);
  driver.complete(driver.lastSent(), Outcome::reset, true);
  EXPECT_EQ(driver.sent.size(), 1u);
  EXPECT_EQ(driver.balancer.openRequests(), 0u);
}

// --- Rule 2: no effect is executed twice ---

TEST(Repeats, NonIdempotentRequestIsRepeatedOnlyIfItWasNotExecuted) {
  for (Outcome outcome : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    Driver driver(makeSettings());
    const RequestId id = driver.submitRequest(1);
    driver.complete(driver.lastSent(), outcome, false);
    EXPECT_EQ(driver.sent.size(), 1u);
    EXPECT_TRUE(driver.hasFailed(id)) << "expected a failure: a rejection asserts that a retry is safe";
  }
  for (Outcome outcome : {Outcome::rejected, Outcome::connectFailed}) {
    Driver driver(makeSettings());
    driver.submitRequest(1);
    const HostId first = driver.lastSent().host;
    driver.complete(driver.lastSent(), outcome, false);
    ASSERT_EQ(driver.sent.size(), 2u);
    EXPECT_NE(driver.lastSent().host, first);
  }
}

TEST(Repeats, NonIdempotentRequestIsRejectedIfNoAttemptWasExecuted) {
  Driver driver(makeSettings());
  const RequestId id = driver.submitRequest(1);
  for (int i = 0; i < 4; ++i)
    driver.complete(driver.lastSent(), Outcome::rejected, false);
  EXPECT_EQ(driver.sent.size(), 4u) << "expected maxAttempts attempts";
  EXPECT_TRUE(driver.isRejected(id));
}

TEST(Repeats, KeyedRequestIsRepeatedOnlyInItsDeduplicationScopeAndWindow) {
  for (DeduplicationScope scope : {DeduplicationScope::cell, DeduplicationScope::zone}) {
    Settings settings = makeSettings();
    settings.classes[2].deduplicationScope = scope;
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
      settings.seed = seed;
      Driver driver(settings, 0);
      std::vector<Endpoint> hosts;
      for (int i = 0; i < 8; ++i)
        hosts.push_back(makeHost(i, i < 4 ? "east" : "west", i / 2));
      driver.balancer.onEndpoints(driver.now, EndpointListKind::snapshot, hosts);
      const RequestId id = driver.submitRequest(2);
      const int first = std::stoi(driver.balancer.address(driver.lastSent().host).substr(5)) - 100;
      driver.complete(driver.lastSent(), Outcome::reset, false);
      ASSERT_EQ(driver.sent.size(), 2u);
      const int second = std::stoi(driver.balancer.address(driver.lastSent().host).substr(5)) - 100;
      EXPECT_EQ(first / (scope == DeduplicationScope::cell ? 2 : 4),
                second / (scope == DeduplicationScope::cell ? 2 : 4));
      while (!driver.inFlight.empty()) {
        const int next = std::stoi(driver.balancer.address(driver.lastSent().host).substr(5)) - 100;
        EXPECT_EQ(first / (scope == DeduplicationScope::cell ? 2 : 4),
                  next / (scope == DeduplicationScope::cell ? 2 : 4));
        driver.complete(driver.lastSent(), Outcome::timeout, false);
      }
      EXPECT_TRUE(driver.hasFailed(id))
          << "expected a failure: a rejection is safe only if the deduplication scope is all hosts";
    }
  }
  Settings shortWindow = makeSettings();
  shortWindow.classes[2].deduplicationWindow = milliseconds(100);
  Driver driver(shortWindow);
  const RequestId id = driver.submitRequest(2);
  driver.advance(milliseconds(150));
  driver.complete(driver.lastSent(), Outcome::reset, false);
  EXPECT_EQ(driver.sent.size(), 1u);
  EXPECT_TRUE(driver.hasFailed(id));
}

TEST(Repeats, KeyedRequestMayBeRejectedIfItsDeduplicationScopeIsAllHosts) {
  Settings settings = makeSettings();
  settings.classes[2].deduplicationScope = DeduplicationScope::all;
  settings.maxAttempts = 1;
  Driver driver(settings);
  const RequestId id = driver.submitRequest(2);
  driver.complete(driver.lastSent(), Outcome::error, false);
  EXPECT_TRUE(driver.isRejected(id));
}

// --- Rule 3: draining and removed hosts receive no new requests ---

TEST(Draining, DrainingAndRemovedHostsReceiveNoNewRequests) {
  Driver driver(makeSettings(), 3);
  Endpoint draining = makeHost(0), removed = makeHost(1);
  draining.state = EndpointState::draining;
  removed.state = EndpointState::removed;
  driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, {draining, removed});
  driver.clearHistory();
  for (int i = 0; i < 30; ++i) {
    driver.submitRequest(0);
    while (!driver.inFlight.empty())
      driver.serve(SentAttempt(driver.inFlight.front()));
  }
  EXPECT_EQ(driver.attemptsTo(driver.hostId(2)), 30u);
}

TEST(Draining, HostsMissingFromASnapshotReceiveNoNewRequests) {
  Driver driver(makeSettings(), 3);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::snapshot, {makeHost(2)});
  driver.clearHistory();
  for (int i = 0; i < 10; ++i) {
    driver.submitRequest(0);
    driver.serve(driver.lastSent());
  }
  EXPECT_EQ(driver.attemptsTo(driver.hostId(2)), 10u);
}

TEST(Discovery, PollsAtOnceAndAgainAfterFailuresWithinTheLongestSilence) {
  Settings settings = makeSettings();
  settings.pollDiscovery = true;
  settings.maxDiscoverySilence = seconds(3);
  Driver driver(settings, 3);
  EXPECT_EQ(driver.countActions(ActionKind::pollDiscovery), 1u);
  Time lastPollAt = driver.now;
  for (int i = 0; i < 8; ++i) {
    driver.balancer.onEndpoints(driver.now, EndpointListKind::unavailable, {});
    driver.collectActions();
    const std::size_t pollsBefore = driver.countActions(ActionKind::pollDiscovery);
    while (driver.countActions(ActionKind::pollDiscovery) == pollsBefore &&
           driver.now - lastPollAt < settings.maxDiscoverySilence)
      driver.advance(milliseconds(50));
    EXPECT_EQ(driver.countActions(ActionKind::pollDiscovery), pollsBefore + 1);
    EXPECT_GT(driver.now, lastPollAt) << "expected a delay before the next poll";
    EXPECT_LT(driver.now - lastPollAt, settings.maxDiscoverySilence);
    lastPollAt = driver.now;
  }
  driver.submitRequest(0);
  EXPECT_EQ(driver.sent.size(), 1u) << "expected the last endpoint list to stay in use";
}

TEST(Discovery, RepeatsAPollWithoutResponseButNotAnAnsweredOne) {
  Settings settings = makeSettings();
  settings.pollDiscovery = true;
  settings.maxDiscoverySilence = seconds(3);
  Driver driver(settings, 3);
  driver.advance(seconds(2), milliseconds(50));
  EXPECT_EQ(driver.countActions(ActionKind::pollDiscovery), 2u);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, {});
  driver.advance(seconds(10), milliseconds(50));
  EXPECT_EQ(driver.countActions(ActionKind::pollDiscovery), 2u);
}

// --- Rule 4: cold hosts are not overloaded ---

TEST(SlowStart, ColdHostReceivesAtMostItsBudget) {
  Settings settings = makeSettings();
  settings.replicaCount = 2;
  Driver driver(settings, 4);
  driver.warmUp(0, 100, milliseconds(10));
  Endpoint cold = makeHost(9);
  cold.upSince = driver.now;
  driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, {cold});
  driver.clearHistory();
  std::size_t toWarmHost = 0;
  // Two seconds. The cold host rejects all its attempts; rejected attempts count against the budget, too.
  for (int i = 0; i < 200; ++i) {
    driver.submitRequest(0);
    driver.advance(milliseconds(10));
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      if (attempt.host == driver.hostId(9))
        driver.complete(attempt, Outcome::rejected, false);
      else
        driver.serve(attempt);
    }
  }
  toWarmHost = driver.attemptsTo(driver.hostId(0));
  EXPECT_GT(driver.attemptsTo(driver.hostId(9)), 0u);
  EXPECT_LT(static_cast<double>(driver.attemptsTo(driver.hostId(9))), 0.6 * static_cast<double>(toWarmHost));
}

TEST(SlowStart, ColdHostsReceiveAtMostTheirBudgetIfAllHostsAreCold) {
  Settings settings = makeSettings();
  Driver driver(settings, 0);
  std::vector<Endpoint> hosts;
  for (int i = 0; i < 3; ++i) {
    hosts.push_back(makeHost(i));
    hosts.back().upSince = driver.now;
  }
  driver.balancer.onEndpoints(driver.now, EndpointListKind::snapshot, hosts);
  for (int i = 0; i < 400; ++i) {
    driver.submitRequest(0);
    driver.advance(milliseconds(5));
    while (!driver.inFlight.empty())
      driver.serve(SentAttempt(driver.inFlight.front()));
  }
  EXPECT_GT(driver.sent.size(), 0u);
  EXPECT_LT(driver.sent.size(), 170u)
      << "of 400: an even share per host, times the load that is allowed on a cold host";
}

// --- Validation of the settings ---

TEST(SettingsValidation, ErrorNamesTheInvalidSetting) {
  const auto message = [](const Settings& settings) -> std::string {
    try {
      Balancer balancer(settings, Time{});
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(message(makeSettings()), "");
  Settings settings = makeSettings();
  settings.classes.clear();
  EXPECT_NE(message(settings).find("class"), std::string::npos);
  settings = makeSettings();
  settings.replicaCount = 0;
  EXPECT_NE(message(settings).find("groupSize"), std::string::npos);
  settings = makeSettings();
  settings.candidates = 3;
  EXPECT_NE(message(settings).find("candidates"), std::string::npos);
  settings = makeSettings();
  settings.slowStartInitialFraction = 0;
  EXPECT_NE(message(settings).find("coldShare"), std::string::npos);
  settings = makeSettings();
  settings.classes[1].latencyObjective = Duration{};
  EXPECT_NE(message(settings).find("write"), std::string::npos);
  settings = makeSettings();
  settings.classes[1].priorityWeight = std::nan("");
  EXPECT_NE(message(settings).find("worth"), std::string::npos);
}

// --- Changes of the settings ---

TEST(ChangedSettings, OpenRequestKeepsTheClassSettingsItArrivedWith) {
  Settings settings = makeSettings();
  Driver driver(settings);
  const RequestId before = driver.submitRequest(1);
  const SentAttempt first = driver.lastSent();
  settings.classes[1].idempotency = Idempotency::idempotent;
  driver.balancer.onSettings(driver.now, settings);
  driver.collectActions();
  driver.complete(first, Outcome::error, false);
  EXPECT_TRUE(driver.hasFailed(before))
      << "expected no retry: the request arrived with a class that is not idempotent";
  const RequestId after = driver.submitRequest(1);
  driver.complete(driver.lastSent(), Outcome::error, false);
  EXPECT_EQ(driver.lastSent().request, after);
  EXPECT_EQ(driver.lastSent().attempt, 1u);
}

TEST(ChangedSettings, ClassesMayBeAddedRemovedAndReordered) {
  Settings settings = makeSettings();
  Driver driver(settings);
  const RequestId openRequest = driver.submitRequest(1);
  const SentAttempt sent = driver.lastSent();
  std::swap(settings.classes[0], settings.classes[1]);
  settings.classes.pop_back();
  settings.classes.push_back(makeClass("new", Idempotency::none, 1));
  driver.balancer.onSettings(driver.now, settings);
  driver.collectActions();
  driver.complete(sent, Outcome::error, false);
  EXPECT_TRUE(driver.hasFailed(openRequest));
  const RequestId readRequest = driver.submitRequest(1);  // the new index of the class
  driver.complete(driver.lastSent(), Outcome::error, false);
  EXPECT_EQ(driver.lastSent().request, readRequest);
  EXPECT_EQ(driver.lastSent().attempt, 1u) << "expected a retry: the class is idempotent";
  const RequestId newClassRequest = driver.submitRequest(2);
  driver.complete(driver.lastSent(), Outcome::error, false);
  EXPECT_TRUE(driver.hasFailed(newClassRequest));
  const RequestId unknownClassRequest = driver.submitRequest(7);
  driver.complete(driver.lastSent(), Outcome::error, false);
  EXPECT_TRUE(driver.hasFailed(unknownClassRequest)) << "expected no retry: the class is unknown";
}

// --- Random valid event sequences: rules 1 to 3 hold, and the same events lead to the same actions ---

// A request with its attempts, as its events and actions show it.
struct ObservedRequest {
  std::uint32_t classIndex;
  Time deadline;
  bool ended = false;  // answered, or the client has disconnected
  std::vector<SentAttempt> attempts;
  // Per attempt; 0: in flight, 1: ended without being executed, 2: ended and may have been executed.
  std::vector<int> attemptStates;
};

// Reports 4000 random events and checks the actions; returns a trace of the actions.
std::string runRandomEvents(std::uint64_t seed, std::uint32_t candidates = 0) {
  Settings settings = makeSettings();
  settings.seed = seed;
  settings.candidates = candidates;
  settings.keyAffinity = seed % 2 == 0;
  settings.classes[2].deduplicationScope = static_cast<DeduplicationScope>(seed % 3);
  std::mt19937_64 engine(seed * 77 + 1);
  const auto drawBelow = [&](std::uint64_t n) { return engine() % n; };
  Balancer balancer(settings, seconds(50));
  Time now = seconds(50);
  std::map<RequestId, ObservedRequest> requests;
  std::map<HostId, EndpointState> state;
  std::map<HostId, Endpoint> endpointByHost;
  std::string trace;
  RequestId lastRequest = 0;
  std::vector<Endpoint> hosts;
  for (int i = 0; i < 6; ++i)
    hosts.push_back(makeHost(i, i % 3 ? "east" : "west", i % 3));
  balancer.onEndpoints(now, EndpointListKind::cached, hosts);
  for (const Endpoint& endpoint : hosts)
    endpointByHost[balancer.findHost(endpoint.address)] = endpoint;

  const auto check = [&] {
    for (const Action& action : balancer.actions()) {
      trace += std::to_string(static_cast<int>(action.kind)) + ":" + std::to_string(action.request) + ":" +
               std::to_string(action.host) + ":" +
               std::to_string((action.timeLimit + action.retryAfter + action.wakeAt).count()) + " ";
      if (action.kind == ActionKind::wake || action.kind == ActionKind::log ||
          action.kind == ActionKind::pollDiscovery || action.kind == ActionKind::close)
        continue;
      EXPECT_TRUE(requests.count(action.request));
      ObservedRequest& observed = requests[action.request];
      const ClassSettings& requestClass = settings.classes[observed.classIndex];
      bool mayHaveExecuted = false, anyInFlight = false;
      for (std::size_t i = 0; i < observed.attempts.size(); ++i) {
        mayHaveExecuted |= observed.attemptStates[i] != 1;
        anyInFlight |= observed.attemptStates[i] == 0;
      }
      if (action.kind == ActionKind::send) {
        EXPECT_FALSE(observed.ended);
        EXPECT_LT(now, observed.deadline);
        EXPECT_LE(now + action.timeLimit, observed.deadline);
        EXPECT_EQ(endpointByHost.at(action.host).state, EndpointState::serving);
        EXPECT_EQ(action.attempt, observed.attempts.size());
        EXPECT_LT(action.attempt, settings.maxAttempts);
        EXPECT_FALSE(anyInFlight);
        if (requestClass.idempotency == Idempotency::none)
          EXPECT_FALSE(mayHaveExecuted);
        if (requestClass.idempotency == Idempotency::keyed)
          for (std::size_t i = 0; i < observed.attempts.size(); ++i) {
            if (observed.attemptStates[i] == 1)
              continue;
            const Endpoint &earlier = endpointByHost.at(observed.attempts[i].host),
                           &current = endpointByHost.at(action.host);
            if (requestClass.deduplicationScope != DeduplicationScope::all)
              EXPECT_EQ(earlier.zone, current.zone);
            if (requestClass.deduplicationScope == DeduplicationScope::cell)
              EXPECT_EQ(earlier.cell, current.cell);
            EXPECT_LE(now, observed.attempts[i].sentAt + requestClass.deduplicationWindow);
          }
        observed.attempts.push_back({action.request, action.attempt, action.host, now, action.timeLimit});
        observed.attemptStates.push_back(0);
      } else if (action.kind == ActionKind::reject || action.kind == ActionKind::fail) {
        EXPECT_FALSE(observed.ended);
        EXPECT_LE(now, observed.deadline);
        observed.ended = true;
        if (action.kind == ActionKind::reject && mayHaveExecuted) {
          EXPECT_NE(requestClass.idempotency, Idempotency::none);
          if (requestClass.idempotency == Idempotency::keyed)
            EXPECT_EQ(requestClass.deduplicationScope, DeduplicationScope::all);
        }
      }
    }
    balancer.actions().clear();
  };
  check();
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(5) * static_cast<int>(drawBelow(2));
    const std::uint64_t event = drawBelow(10);
    if (event < 4) {
      Request request;
      request.id = ++lastRequest;
      request.classIndex = static_cast<std::uint32_t>(drawBelow(3));
      request.remaining = milliseconds(static_cast<int>(drawBelow(1000)) + 1);
      request.hasKey = true;
      request.key = drawBelow(20);
      requests[request.id] = {request.classIndex, now + request.remaining, false, {}, {}};
      balancer.onRequest(now, request);
    } else if (event < 8 && !requests.empty()) {
      std::vector<std::pair<RequestId, std::size_t>> inFlight;
      for (auto& [id, observed] : requests)
        for (std::size_t attemptIndex = 0; attemptIndex < observed.attempts.size(); ++attemptIndex)
          if (observed.attemptStates[attemptIndex] == 0)
            inFlight.emplace_back(id, attemptIndex);
      if (!inFlight.empty()) {
        const auto [id, attemptIndex] = inFlight[drawBelow(inFlight.size())];
        ObservedRequest& observed = requests[id];
        const auto outcome = static_cast<Outcome>(drawBelow(8));
        observed.attemptStates[attemptIndex] =
            outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::abandoned
                ? 1
                : 2;
        const bool terminal = observed.ended || outcome == Outcome::served;
        if (terminal)
          observed.ended = true;
        balancer.onResult(
            now, {id, static_cast<std::uint32_t>(attemptIndex), observed.attempts[attemptIndex].host, outcome,
                  now - observed.attempts[attemptIndex].sentAt, terminal});
      }
    } else if (event == 8 && drawBelow(10) == 0) {
      Endpoint endpoint = makeHost(static_cast<int>(drawBelow(6)));
      endpoint = endpointByHost.at(balancer.findHost(endpoint.address));
      endpoint.state = static_cast<EndpointState>(drawBelow(3));
      if (drawBelow(3) == 0)
        endpoint.upSince = now;
      endpointByHost[balancer.findHost(endpoint.address)] = endpoint;
      balancer.onEndpoints(now, EndpointListKind::delta, {endpoint});
    } else if (drawBelow(20) == 0 && lastRequest > 0) {
      const RequestId id = 1 + drawBelow(lastRequest);
      if (!requests[id].ended) {
        requests[id].ended = true;
        balancer.onClientDisconnected(now, id);
      }
    } else {
      balancer.onWake(now);
    }
    check();
    for (auto entry = requests.begin(); entry != requests.end();) {
      if (!entry->second.ended)
        EXPECT_LT(now, entry->second.deadline + milliseconds(20))
            << "expected an answer by the deadline of the request";
      bool anyInFlight = false;
      for (int attemptState : entry->second.attemptStates)
        anyInFlight |= attemptState == 0;
      if (entry->second.ended && !anyInFlight)
        entry = requests.erase(entry);
      else
        ++entry;
    }
    if (event != 9) {
      balancer.onWake(now);
      check();
    }
    if (::testing::Test::HasFailure())
      break;
  }
  return trace;
}

TEST(RandomEvents, RulesHoldForFixedSeeds) {
  for (std::uint64_t seed = 1; seed <= 24 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    const std::string trace = runRandomEvents(seed);
    EXPECT_GT(trace.size(), 1000u);
    if (seed <= 6)
      EXPECT_TRUE(trace == runRandomEvents(seed)) << "expected the same actions for the same events";
  }
}

TEST(RandomEvents, RulesHoldForFixedSeedsWithFewCandidates) {
  for (std::uint64_t seed = 1; seed <= 24 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    const std::string trace = runRandomEvents(seed, 4);
    EXPECT_GT(trace.size(), 1000u);
    if (seed <= 6)
      EXPECT_TRUE(trace == runRandomEvents(seed, 4)) << "expected the same actions for the same events";
  }
}

}  // namespace
}  // namespace hollyrun::balancer::testing
