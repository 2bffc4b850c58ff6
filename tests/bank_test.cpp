// Tests of gateways that receive few requests each and share a pool of hosts without knowing of each other.
#include "bank.hpp"

#include <algorithm>
#include <set>

namespace hollyrun::balancer::testing {
namespace {

// A minimum of one request per window, or an initial token, at each of hundreds of gateways overloaded every
// cold host.
TEST(GatewayGroup, DoesNotOverloadAColdHost) {
  for (bool keyAffinity : {false, true}) {  // with key affinity every gateway uses every host
    Settings settings = makeSettings();
    settings.keyAffinity = keyAffinity;
    GatewayGroup gateways(settings, 200, 30);
    gateways.run(10, 6);
    gateways.clearHistory();
    gateways.run(2, 6);
    double perWarmHost = 0;  // attempts within the overload window of two seconds
    for (int host = 0; host < 30; ++host)
      perWarmHost += static_cast<double>(gateways.attemptsTo(host)) / 30;
    gateways.announceHosts(EndpointListKind::delta, 30, 31, gateways.now());
    std::size_t total = 0;
    for (int window = 0; window < 3; ++window) {
      gateways.clearHistory();
      gateways.run(2, 6);
      const double rampFraction = 0.2 + 0.8 * (2 * window) / 10;  // at the start of the window
      EXPECT_LT(static_cast<double>(gateways.attemptsTo(30)), 3 * rampFraction * perWarmHost)
          << "window " << window;
      total += gateways.attemptsTo(30);
    }
    EXPECT_GT(static_cast<double>(total), 0.2 * perWarmHost)
        << "expected the cold host to receive some requests";
  }
}

// When every gateway spent the budgets of cold hosts first, many cold hosts received more than the warm ones.
TEST(GatewayGroup, SendsLessToManyColdHostsThanToWarmOnes) {
  Settings settings = makeSettings();
  settings.keyAffinity = true;
  GatewayGroup gateways(settings, 100, 20);
  gateways.run(10, 6);
  gateways.announceHosts(EndpointListKind::delta, 20, 50, gateways.now());
  gateways.run(1, 6);
  gateways.clearHistory();
  gateways.run(3, 6);
  double toWarmHosts = 0, toColdHosts = 0;
  for (int host = 0; host < 50; ++host)
    (host < 20 ? toWarmHosts : toColdHosts) += static_cast<double>(gateways.attemptsTo(host));
  EXPECT_LT(toColdHosts / 30, 0.4 * toWarmHosts / 20)
      << "expected less than their mean minimum capacity, relative to a warm host";
  EXPECT_GT(toColdHosts / 30, 0.05 * toWarmHosts / 20);
}

// After a restart of all gateways none has measured any host, and the list may contain cold hosts at once.
TEST(GatewayGroup, DoesNotOverloadAColdHostAfterRestartOfAllGateways) {
  Settings settings = makeSettings();
  settings.keyAffinity = true;
  GatewayGroup gateways(settings, 200, 30);
  gateways.announceHosts(EndpointListKind::delta, 30, 31, gateways.now());
  gateways.run(2, 6);
  double perWarmHost = 0;
  for (int host = 0; host < 30; ++host)
    perWarmHost += static_cast<double>(gateways.attemptsTo(host)) / 30;
  EXPECT_LT(static_cast<double>(gateways.attemptsTo(30)), 3 * 0.2 * perWarmHost);
}

// Hosts accept a limited number of connections. If every gateway connected to every host, some gateways would
// be locked out.
TEST(GatewayGroup, UsesEachHostFromASimilarSmallNumberOfGateways) {
  GatewayGroup gateways(makeSettings(), 320, 50);
  gateways.run(5, 6);
  std::size_t fewest = 320, most = 0;
  for (int host = 0; host < 50; ++host) {
    fewest = std::min(fewest, gateways.gatewaysUsing(host));
    most = std::max(most, gateways.gatewaysUsing(host));
  }
  EXPECT_LE(most, 64u) << "of 320: a fifth";
  EXPECT_GE(fewest, 20u);
}

TEST(GatewayGroup, UsesNewHostsAndClosesConnectionsToReplacedOnes) {
  GatewayGroup gateways(makeSettings(), 320, 50);
  gateways.run(3, 6);
  gateways.announceHosts(EndpointListKind::delta, 50, 100);
  gateways.run(3, 6);
  gateways.clearHistory();
  gateways.run(6, 6);
  std::size_t toNewHosts = 0, total = 0, closed = 0;
  for (int host = 0; host < 100; ++host) {
    total += gateways.attemptsTo(host);
    if (host >= 50)
      toNewHosts += gateways.attemptsTo(host);
  }
  for (const auto& driver : gateways.drivers)
    closed += driver->countActions(ActionKind::close);
  EXPECT_GT(toNewHosts, total / 3);
  EXPECT_GT(closed, 320u) << "expected each gateway to replace some of its six hosts by new ones";
}

// All gateways poll the same discovery service. Gateways whose polls fail at the same time must not poll
// again at the same time, and none may exceed the longest time without a poll.
TEST(GatewayGroup, SpreadsRepeatedPollsAfterDiscoveryFailure) {
  Settings settings = makeSettings();
  settings.pollDiscovery = true;
  settings.maxDiscoverySilence = seconds(10);
  GatewayGroup gateways(settings, 200, 10);
  for (int round = 0; round < 4; ++round) {
    gateways.clearHistory();
    for (auto& driver : gateways.drivers) {
      driver->balancer.onEndpoints(driver->now, EndpointListKind::unavailable, {});
      driver->collectActions();
    }
    std::vector<std::size_t> pollsPerWindow;
    std::size_t polledBefore = 0;
    for (int window = 0; window < 100; ++window) {  // a tenth of a second each
      std::size_t polled = 0;
      for (auto& driver : gateways.drivers) {
        driver->advance(milliseconds(100), milliseconds(20));
        polled += std::min<std::size_t>(driver->countActions(ActionKind::pollDiscovery), 1);
      }
      pollsPerWindow.push_back(polled - polledBefore);
      polledBefore = polled;
    }
    EXPECT_EQ(polledBefore, 200u) << "expected each gateway to poll again within maxDiscoverySilence";
    EXPECT_LE(*std::max_element(pollsPerWindow.begin(), pollsPerWindow.end()), 50u) << "round " << round;
  }
}

// Stuck hosts keep their attempts until these time out. Counted for so long, the attempts reached the limit
// of every gateway, and requests were rejected while nine in ten hosts were idle.
TEST(LowTrafficGateway, IsNotLimitedByAFewStuckHosts) {
  Settings settings = makeSettings();
  settings.replicaCount = 300;
  Driver driver(settings, 190);
  std::size_t rejectedBefore = 0;
  for (int i = 0; i < 800; ++i) {
    driver.submitRequest(1);
    driver.advance(milliseconds(50));
    for (std::size_t index = 0; index < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[index];
      const bool stuck = attempt.request % 8 == 0;
      if (!stuck)
        driver.complete(attempt, Outcome::served, true, milliseconds(40));
      else if (driver.now - attempt.sentAt >= milliseconds(800))
        driver.complete(attempt, Outcome::timeout, false);
      else
        ++index;
    }
    if (i == 200)
      rejectedBefore = driver.countActions(ActionKind::reject);
  }
  EXPECT_LT(driver.countActions(ActionKind::reject) - rejectedBefore, 60u) << "of 600";
}

// All hosts slow down together, to over five times the service time. That is an overload, however few
// attempts a gateway has in flight.
TEST(LowTrafficGateway, ShedsLoadWhenAllHostsSlowDown) {
  Settings settings = makeSettings();
  settings.replicaCount = 100;
  Driver driver(settings, 60);
  std::size_t rejectedBefore = 0;
  for (int i = 0; i < 1200; ++i) {
    driver.submitRequest(1);
    driver.advance(milliseconds(50));
    for (std::size_t index = 0; index < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[index];
      const auto serviceTime = milliseconds(i < 400 ? 40 : 300);
      if (driver.now - attempt.sentAt >= serviceTime)
        driver.complete(attempt, Outcome::served, true, serviceTime);
      else
        ++index;
    }
    if (i == 600)
      rejectedBefore = driver.countActions(ActionKind::reject);
  }
  EXPECT_GT(driver.countActions(ActionKind::reject) - rejectedBefore, 390u) << "of 600";
}

// The number of attempts that a gateway with few requests has in flight varies by chance. The cubic threshold
// must not turn this variation into rejections, but must still shed load when the pool is slow.
TEST(LowTrafficGateway, ShedsLoadOnlyWhenHostsAreSlow) {
  GatewayGroup gateways(makeSettings(), 100, 20);
  gateways.run(10, 6, milliseconds(110));
  gateways.clearHistory();
  gateways.run(10, 6, milliseconds(110));
  std::size_t rejected = 0, total = 0;
  for (auto& driver : gateways.drivers) {
    rejected += driver->countActions(ActionKind::reject);
    total += driver->countActions(ActionKind::reject) + driver->sent.size();
  }
  EXPECT_LT(rejected * 50, total)
      << "expected few rejections: hosts answer in about a quarter of the latency objective";

  Settings settings = makeSettings();
  settings.replicaCount = 100;
  Driver gateway(settings, 20);
  std::size_t rejectedBefore = 0;
  for (int i = 0; i < 600; ++i) {
    gateway.submitRequest(1);
    gateway.advance(milliseconds(150));
    for (std::size_t index = 0; index < gateway.inFlight.size();) {
      const SentAttempt attempt = gateway.inFlight[index];
      if (i < 300)
        gateway.complete(attempt, Outcome::served, true, milliseconds(40));
      else if (gateway.now - attempt.sentAt >= milliseconds(380))
        gateway.complete(attempt, Outcome::timeout, false);
      else
        ++index;
    }
    if (i == 300)
      rejectedBefore = gateway.countActions(ActionKind::reject);
  }
  EXPECT_LT(rejectedBefore, 6u);
  EXPECT_GT(gateway.countActions(ActionKind::reject) - rejectedBefore, 100u)
      << "of 300, once no answer arrives in time";
}

// A slow host that the gateway had not detected yet used up the whole latency objective of a request that
// could have been hedged.
TEST(Hedging, IsLimitedToIdempotentRequestsWhereAllowed) {
  for (bool allowHedging : {true, false}) {
    Settings settings = makeSettings();
    settings.allowHedging = allowHedging;
    Driver driver(settings, 6);
    for (std::uint32_t classIndex : {0u, 1u})
      driver.warmUp(classIndex, 60);
    for (std::uint32_t classIndex : {0u, 1u}) {
      driver.clearHistory();
      driver.submitRequest(classIndex);
      driver.advance(milliseconds(300));
      EXPECT_EQ(driver.sent.size(), allowHedging && classIndex == 0 ? 2u : 1u);
      if (driver.sent.size() == 2)
        EXPECT_NE(driver.sent[0].host, driver.sent[1].host);
      while (!driver.inFlight.empty())
        driver.complete(SentAttempt(driver.inFlight.back()), Outcome::served, driver.inFlight.size() == 1);
    }
  }
}

// A reload that forbids hedging also applies to open requests.
TEST(Hedging, StopsOnceAReloadForbidsIt) {
  Settings settings = makeSettings();
  settings.allowHedging = true;
  Driver driver(settings, 6);
  driver.warmUp(0, 60);
  driver.clearHistory();
  driver.submitRequest(0);
  settings.allowHedging = false;
  driver.balancer.onSettings(driver.now, settings);
  driver.advance(milliseconds(300));
  EXPECT_EQ(driver.sent.size(), 1u);
}

// The load of frequent keys accumulates at one host, unseen by gateways that each have nothing in flight
// there; the weights in the endpoint list show it.
TEST(LoadAdjustedWeights, OverloadedHostLosesItsShareAndRegainsIt) {
  Settings settings = makeSettings();
  settings.loadAdjustedWeights = true;
  Driver driver(settings, 6);
  const auto run = [&](double weight) {
    driver.clearHistory();
    for (int i = 0; i < 400; ++i) {
      if (i % 10 == 0) {
        Endpoint endpoint = makeHost(2);
        endpoint.weight = weight;
        driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, {endpoint});
      }
      driver.submitRequest(0);
      driver.advance(milliseconds(40));
      while (!driver.inFlight.empty())
        driver.serve(SentAttempt(driver.inFlight.front()));
    }
    return driver.attemptsTo(driver.hostId(2));
  };
  EXPECT_GT(run(1), 40u);
  EXPECT_LT(run(0.1), 40u);
  run(1);
  EXPECT_GT(run(1), 40u);
}

// A budget of thirty saved retries at each of hundreds of gateways limits nothing: a full pool would receive
// them all at once.
TEST(RetryBudget, LowTrafficGatewaySavesFewRetries) {
  Settings settings = makeSettings();
  settings.maxAttempts = 2;
  Driver driver(settings, 20);
  driver.warmUp(0, 200, milliseconds(200));
  driver.clearHistory();
  for (int i = 0; i < 20; ++i) {
    driver.submitRequest(0);
    while (!driver.inFlight.empty())
      driver.complete(SentAttempt(driver.inFlight.front()), Outcome::rejected, false);
    driver.advance(milliseconds(20));
  }
  EXPECT_LE(driver.sent.size(), 20u + 13u);
}

// A gateway that uses a host only once in many seconds measures its service time too late; that of its
// machine type is known earlier.
TEST(ServiceTime, NewHostIsAssumedToBeAsFastAsItsMachineType) {
  std::vector<Endpoint> hosts;
  for (int i = 0; i < 12; ++i) {
    hosts.push_back(makeHost(i));
    hosts.back().machineType = i % 2 ? "slow" : "fast";
  }
  Driver driver(makeSettings(), 0);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::snapshot, {hosts.begin(), hosts.begin() + 8});
  for (int i = 0; i < 400; ++i) {
    driver.submitRequest(0);
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      const bool slow = attempt.host == driver.hostId(1) || attempt.host == driver.hostId(3) ||
                        attempt.host == driver.hostId(5) || attempt.host == driver.hostId(7);
      driver.complete(attempt, Outcome::served, true, milliseconds(slow ? 90 : 30));
    }
    driver.advance(milliseconds(50), milliseconds(50));
  }
  driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, {hosts.begin() + 8, hosts.end()});
  driver.clearHistory();
  for (int i = 0; i < 60; ++i) {
    driver.submitRequest(0);
    while (!driver.inFlight.empty())
      driver.complete(SentAttempt(driver.inFlight.front()), Outcome::cancelled, true);  // yields no sample
  }
  EXPECT_GT(driver.attemptsTo(driver.hostId(8)) + driver.attemptsTo(driver.hostId(10)),
            2 * (driver.attemptsTo(driver.hostId(9)) + driver.attemptsTo(driver.hostId(11))));
}

// An overloaded machine type answers nothing; it was assumed to be an average one at every host not used
// before.
TEST(ServiceTime, MachineTypeWithoutAnswersIsAssumedToBeSlow) {
  for (Outcome outcome : {Outcome::timeout, Outcome::rejected}) {
    std::vector<Endpoint> hosts;
    for (int i = 0; i < 20; ++i) {
      hosts.push_back(makeHost(i));
      hosts.back().machineType = i % 2 ? "failing" : "good";
    }
    Settings settings = makeSettings();
    settings.replicaCount = 100;
    settings.keyAffinity = true;
    Driver driver(settings, 0);
    driver.balancer.onEndpoints(driver.now, EndpointListKind::snapshot, {hosts.begin(), hosts.begin() + 12});
    for (int i = 0; i < 400; ++i) {
      driver.submitRequest(0);
      while (!driver.inFlight.empty()) {
        const SentAttempt attempt = driver.inFlight.front();
        bool overloaded = false;
        for (int host = 1; host < 12; host += 2)
          overloaded |= attempt.host == driver.hostId(host);
        driver.complete(attempt, overloaded ? outcome : Outcome::served, !overloaded,
                        milliseconds(overloaded ? 400 : 40));
      }
      driver.advance(milliseconds(50), milliseconds(50));
    }
    driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, {hosts.begin() + 12, hosts.end()});
    driver.clearHistory();
    for (int i = 0; i < 120; ++i) {
      driver.submitRequest(0);
      while (!driver.inFlight.empty())
        driver.complete(SentAttempt(driver.inFlight.front()), Outcome::cancelled, true);  // yields no sample
    }
    std::size_t toGood = 0, toOverloaded = 0;
    for (int host = 12; host < 20; ++host)
      (host % 2 ? toOverloaded : toGood) += driver.attemptsTo(driver.hostId(host));
    EXPECT_GT(toGood, 3 * toOverloaded) << "after outcome " << static_cast<int>(outcome);
  }
}

// Stuck hosts, a tenth of their machine type, kept requests away from the whole type: its mean service time
// followed their timeouts.
TEST(ServiceTime, MachineTypeIsNotAssumedToBeSlowForAFewStuckHosts) {
  std::vector<Endpoint> hosts;
  for (int i = 0; i < 40; ++i) {
    hosts.push_back(makeHost(i));
    hosts.back().machineType = i % 2 ? "partly stuck" : "good";
  }
  Settings settings = makeSettings();
  settings.replicaCount = 100;
  settings.keyAffinity = true;
  Driver driver(settings, 0);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::snapshot, {hosts.begin(), hosts.begin() + 20});
  for (int i = 0; i < 400; ++i) {
    driver.submitRequest(0);
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      const bool stuck = attempt.host == driver.hostId(1) || attempt.host == driver.hostId(3);
      driver.complete(attempt, stuck ? Outcome::timeout : Outcome::served, !stuck,
                      milliseconds(stuck ? 800 : 40));
    }
    driver.advance(milliseconds(50), milliseconds(50));
  }
  driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, {hosts.begin() + 20, hosts.end()});
  driver.clearHistory();
  for (int i = 0; i < 400; ++i) {
    driver.submitRequest(0);
    while (!driver.inFlight.empty())
      driver.complete(SentAttempt(driver.inFlight.front()), Outcome::cancelled, true);  // yields no sample
  }
  std::size_t toGood = 0, toPartlyStuck = 0;
  for (int host = 20; host < 40; ++host)
    (host % 2 ? toPartlyStuck : toGood) += driver.attemptsTo(driver.hostId(host));
  EXPECT_GT(3 * toPartlyStuck, 2 * toGood);
}

// One answer in four takes very long. The expected service time followed a mean over all answers, so the
// hedged request of one that hangs came too late to help.
TEST(ServiceTime, ExpectedValueFollowsMostAnswers) {
  Settings settings = makeSettings();
  settings.allowHedging = true;
  Driver driver(settings, 10);
  for (int i = 0; i < 600; ++i) {
    driver.submitRequest(1);
    driver.submitRequest(0);
    driver.advance(milliseconds(20), milliseconds(20));
    for (std::size_t index = 0; index < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[index];
      if (driver.now - attempt.sentAt >= milliseconds(attempt.request / 2 % 4 == 0 ? 900 : 40))
        driver.serve(attempt);
      else
        ++index;
    }
  }
  while (!driver.inFlight.empty())
    driver.serve(SentAttempt(driver.inFlight.front()));
  driver.warmUp(0, 10, milliseconds(40));  // earns the retry budget that the hedged request spends
  driver.clearHistory();
  driver.submitRequest(0);
  driver.advance(milliseconds(250), milliseconds(5));
  EXPECT_EQ(driver.sent.size(), 2u);
}

// With unweighted key affinity every host receives the same number of keys. Each of many gateways has next to
// nothing in flight anywhere, so none of them detects that the small hosts are overloaded.
TEST(KeyAffinity, SmallHostsOfALargePoolReceiveFewerKeys) {
  constexpr int kHosts = 40;
  std::vector<Endpoint> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(makeHost(i));
    hosts.back().machineType = i % 2 ? "small" : "large";
  }
  Settings settings = makeSettings();
  settings.replicaCount = 100;
  settings.keyAffinity = true;
  Driver driver(settings, 0);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::snapshot, hosts);
  const auto run = [&](int requests) {
    driver.clearHistory();
    for (int i = 0; i < requests; ++i) {
      driver.submitRequest(0, milliseconds(1000), static_cast<std::uint64_t>(1 + i % 300));
      const SentAttempt attempt = driver.inFlight.front();
      bool isSmall = false;
      for (int host = 1; host < kHosts; host += 2)
        isSmall |= attempt.host == driver.hostId(host);
      driver.complete(attempt, Outcome::served, true, milliseconds(isSmall ? 90 : 30));
      driver.advance(milliseconds(50), milliseconds(50));
    }
  };
  run(200);  // ten seconds: at most ten answers per host
  run(600);
  std::size_t toSmall = 0, total = driver.sent.size();
  for (int host = 1; host < kHosts; host += 2)
    toSmall += driver.attemptsTo(driver.hostId(host));
  EXPECT_EQ(total, 600u);
  EXPECT_LT(toSmall * 4, total);
  EXPECT_GT(toSmall, 0u);
}

// All gateways send a key to the same host. A frequent key overloads its host, and no single one of many
// gateways can detect that.
TEST(KeyAffinity, FrequentKeyIsSpreadInProportionAndRareKeyIsNot) {
  Settings settings = makeSettings();
  settings.replicaCount = 100;
  settings.keyAffinity = true;
  Driver driver(settings, 50);
  const auto countHosts = [&](std::uint64_t key, int interval) {
    std::set<HostId> hosts;
    for (int i = 0; i < 600; ++i) {
      const bool useKey = i % interval == 0;
      driver.submitRequest(0, milliseconds(1000), useKey ? key : static_cast<std::uint64_t>(10000 + i));
      if (useKey && i > 100)
        hosts.insert(driver.inFlight.front().host);
      driver.complete(driver.inFlight.front(), Outcome::served, true, milliseconds(40));
      driver.advance(milliseconds(50), milliseconds(50));
    }
    return hosts.size();
  };
  const std::size_t frequent = countHosts(1, 10), rare = countHosts(2, 200);
  EXPECT_GE(frequent, 5u) << "the key has a tenth of the traffic, an even share per host is a fiftieth";
  EXPECT_LE(frequent, 15u) << "expected the key to stay at few hosts, which keep it warm";
  EXPECT_LE(rare, 2u);
}

// A failed connect costs its timeout. The host is down or at its connection limit, so the following requests
// use other hosts.
TEST(NewConnections, HostIsAvoidedAfterOneFailedConnect) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 60);
  driver.clearHistory();
  for (int i = 0; i < 40; ++i) {
    driver.submitRequest(0);
    driver.advance(milliseconds(10));
    for (std::size_t index = 0; index < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[index];
      if (attempt.host == driver.hostId(1))
        driver.complete(attempt, Outcome::connectFailed, false);
      else
        driver.serve(attempt);
    }
  }
  EXPECT_EQ(driver.attemptsTo(driver.hostId(1)), 1u);
}

}  // namespace
}  // namespace hollyrun::balancer::testing
