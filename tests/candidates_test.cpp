// Tests of Settings::candidates: a request considers only a few hosts, and all guarantees of a selection
// among all hosts still hold.
#include <cmath>
#include <map>
#include <set>

#include "bank.hpp"

namespace hollyrun::balancer::testing {
namespace {

constexpr std::uint32_t kRead = 0;  // index of the idempotent class of makeSettings()
// Minimum number of gateways that use a host, if there are at least as many.
constexpr std::size_t kMinGatewaysPerHost = 4;
const char* const kZones[] = {"east", "west", "south"};

Settings settingsWithCandidates(std::uint32_t candidates, std::uint32_t replicaCount = 1,
                                std::uint32_t replicaIndex = 0) {
  Settings settings = makeSettings();
  settings.candidates = candidates;
  settings.replicaCount = replicaCount;
  settings.replicaIndex = replicaIndex;
  settings.seed = replicaIndex + 1;
  return settings;
}

std::vector<Endpoint> makeHosts(int count) {
  std::vector<Endpoint> hosts;
  for (int i = 0; i < count; ++i)
    hosts.push_back(makeHost(i, kZones[i / 4 % 3], i / 4));
  return hosts;
}

std::unique_ptr<Driver> makeDriver(const Settings& settings, const std::vector<Endpoint>& hosts) {
  auto driver = std::make_unique<Driver>(settings, 0);
  driver->balancer.onEndpoints(driver->now, EndpointListKind::snapshot, hosts);
  driver->collectActions();
  return driver;
}

void announceHosts(Driver& driver, EndpointListKind kind, const std::vector<Endpoint>& hosts) {
  driver.balancer.onEndpoints(driver.now, kind, hosts);
  driver.collectActions();
}

/// Serves one request and returns the address of its host, or "none" if the request is not sent. A request
/// takes 5 ms, so about two hundred of them fill a second; at a lower rate the selection would spread a key
/// over several hosts at random.
std::string serveOne(Driver& driver, std::uint32_t classIndex = kRead, std::uint64_t key = 0) {
  const std::size_t before = driver.sent.size();
  driver.submitRequest(classIndex, milliseconds(1000), key);
  if (driver.sent.size() == before)
    return "none";
  const SentAttempt sent = driver.lastSent();
  driver.advance(milliseconds(5));
  driver.serve(sent);
  return driver.balancer.address(sent.host);
}

std::set<std::string> serveAndCollectHosts(Driver& driver, int requests, std::uint32_t classIndex = kRead) {
  std::set<std::string> hosts;
  for (int i = 0; i < requests; ++i)
    hosts.insert(serveOne(driver, classIndex));
  return hosts;
}

std::map<std::uint64_t, std::string> serveKeys(Driver& driver, std::uint64_t keys) {
  std::map<std::uint64_t, std::string> hostByKey;
  for (std::uint64_t key = 1; key <= keys; ++key)
    hostByKey[key] = serveOne(driver, kRead, key * 7919);
  return hostByKey;
}

std::size_t countMoved(const std::map<std::uint64_t, std::string>& before,
                       const std::map<std::uint64_t, std::string>& after) {
  std::size_t count = 0;
  for (const auto& [key, host] : before)
    count += after.at(key) != host;
  return count;
}

// --- Keys ---

TEST(Candidates, KeyHasTheSameHostAtAllGateways) {
  std::map<std::uint64_t, std::string> firstHostByKey;
  for (std::uint32_t replicaIndex : {0u, 1u, 17u, 399u}) {
    Settings settings = settingsWithCandidates(16, 400, replicaIndex);
    settings.keyAffinity = true;
    const auto driver = makeDriver(settings, makeHosts(300));
    const auto hostByKey = serveKeys(*driver, 200);
    if (firstHostByKey.empty())
      firstHostByKey = hostByKey;
    EXPECT_EQ(hostByKey, firstHostByKey) << "gateway " << replicaIndex;
  }
}

TEST(Candidates, FewKeysMoveWhenAHostJoinsOrLeaves) {
  Settings settings = settingsWithCandidates(16);
  settings.keyAffinity = true;
  constexpr std::uint64_t keys = 1000;
  const std::vector<Endpoint> hosts = makeHosts(201);
  const std::vector<Endpoint> fewerHosts(hosts.begin(), hosts.end() - 1);
  const auto hostByKeyWithFewer = serveKeys(*makeDriver(settings, fewerHosts), keys),
             hostByKeyWithAll = serveKeys(*makeDriver(settings, hosts), keys);
  EXPECT_GT(countMoved(hostByKeyWithFewer, hostByKeyWithAll), 0u)
      << "expected the new host to serve some keys";
  EXPECT_LT(countMoved(hostByKeyWithFewer, hostByKeyWithAll), 4 * keys / hosts.size());

  const auto afterJoin = makeDriver(settings, fewerHosts);
  announceHosts(*afterJoin, EndpointListKind::delta, {hosts.back()});
  EXPECT_EQ(serveKeys(*afterJoin, keys), hostByKeyWithAll)
      << "expected the same hosts whether the new host came in a delta or in the first list";
  Endpoint removed = hosts.back();
  removed.state = EndpointState::removed;
  const auto afterRemoval = makeDriver(settings, hosts);
  announceHosts(*afterRemoval, EndpointListKind::delta, {removed});
  EXPECT_EQ(serveKeys(*afterRemoval, keys), hostByKeyWithFewer);
}

TEST(Candidates, KeysAreSpreadEvenlyOverTheHosts) {
  Settings settings = settingsWithCandidates(32);
  settings.keyAffinity = true;
  constexpr int hostCount = 500, keysPerHost = 100;
  const auto driver = makeDriver(settings, makeHosts(hostCount));
  std::map<std::string, int> keysByHost;
  for (const auto& [key, host] : serveKeys(*driver, hostCount * keysPerHost))
    ++keysByHost[host];
  EXPECT_EQ(keysByHost.size(), static_cast<std::size_t>(hostCount));
  double sumOfSquares = 0;
  for (const auto& [host, keyCount] : keysByHost)
    sumOfSquares += std::pow(keyCount - keysPerHost, 2);
  const double deviation = std::sqrt(sumOfSquares / hostCount) / keysPerHost;
  EXPECT_LT(deviation, 0.16) << "0.10 is the random variation of a hundred keys per host";
}

TEST(Candidates, FrequentKeyIsSharedByMoreHostsThanTheCandidates) {
  Settings settings = settingsWithCandidates(8, 100);
  settings.keyAffinity = true;
  const auto driver = makeDriver(settings, makeHosts(300));
  for (int i = 0; i < 400; ++i) {  // one request a second, as at one of many gateways
    driver->advance(seconds(1), milliseconds(100));
    serveOne(*driver, kRead, 5);
  }
  driver->clearHistory();
  std::set<std::string> hosts;
  for (int i = 0; i < 200; ++i)
    hosts.insert(serveOne(*driver, kRead, 5));
  EXPECT_GT(hosts.size(), 16u);
}

// --- Hosts and gateways that join and leave ---

TEST(Candidates, DrainingAndRemovedHostsReceiveNothingUntilTheyServeAgain) {
  for (bool keyed : {false, true}) {
    Settings settings = settingsWithCandidates(8, 8);
    settings.keyAffinity = keyed;
    std::vector<Endpoint> hosts = makeHosts(60);
    const auto driver = makeDriver(settings, hosts);
    for (std::size_t i = 0; i < hosts.size(); i += 2)
      hosts[i].state = i % 4 ? EndpointState::draining : EndpointState::removed;
    announceHosts(*driver, EndpointListKind::delta, hosts);
    std::set<std::string> serving;
    for (const Endpoint& endpoint : hosts)
      if (endpoint.state == EndpointState::serving)
        serving.insert(endpoint.address);
    for (std::uint64_t i = 1; i <= 300; ++i)
      EXPECT_EQ(serving.count(serveOne(*driver, kRead, keyed ? i : 0)), 1u) << "request " << i;
    for (Endpoint& endpoint : hosts)
      endpoint.state = EndpointState::serving;
    announceHosts(*driver, EndpointListKind::delta, hosts);
    std::set<std::string> returned;
    for (std::uint64_t i = 1; i <= 600; ++i) {
      const std::string host = serveOne(*driver, kRead, keyed ? i : 0);
      if (!serving.count(host))
        returned.insert(host);
    }
    EXPECT_GE(returned.size(), 5u);
  }
}

TEST(Candidates, EveryHostIsUsedByTheMinimumNumberOfGateways) {
  const std::pair<std::uint32_t, int> fleetSizes[] = {{4, 40}, {30, 60}, {100, 200}, {410, 600}};
  for (const auto& [gateways, hostCount] : fleetSizes) {
    const std::vector<Endpoint> hosts = makeHosts(hostCount);
    std::map<std::string, std::size_t> gatewaysByHost;
    for (std::uint32_t replicaIndex = 0; replicaIndex < gateways; ++replicaIndex) {
      const auto driver = makeDriver(settingsWithCandidates(8, gateways, replicaIndex), hosts);
      for (const std::string& host : serveAndCollectHosts(*driver, gateways < 10 ? 400 : 150))
        ++gatewaysByHost[host];
    }
    for (const Endpoint& endpoint : hosts)
      EXPECT_GE(gatewaysByHost[endpoint.address], kMinGatewaysPerHost)
          << endpoint.address << " of " << hostCount;
  }
}

TEST(Candidates, EveryHostIsUsedByTheMinimumNumberAfterGatewaysAreRemoved) {
  const std::vector<Endpoint> hosts = makeHosts(120);
  std::map<std::string, std::size_t> gatewaysByHost;
  for (std::uint32_t replicaIndex = 0; replicaIndex < 40; ++replicaIndex) {
    const auto driver = makeDriver(settingsWithCandidates(8, 100, replicaIndex), hosts);
    serveAndCollectHosts(*driver, 20);
    driver->balancer.onSettings(driver->now, settingsWithCandidates(8, 40, replicaIndex));
    driver->collectActions();
    for (const std::string& host : serveAndCollectHosts(*driver, 300))
      ++gatewaysByHost[host];
  }
  for (const Endpoint& endpoint : hosts)
    EXPECT_GE(gatewaysByHost[endpoint.address], kMinGatewaysPerHost) << endpoint.address;
}

TEST(Candidates, RestartedGatewaySelectsFromTheSameHosts) {
  const std::vector<Endpoint> hosts = makeHosts(400);
  Settings settings = settingsWithCandidates(8, 100, 37);
  const std::set<std::string> before = serveAndCollectHosts(*makeDriver(settings, hosts), 600);
  settings.seed = 4711;
  EXPECT_EQ(serveAndCollectHosts(*makeDriver(settings, hosts), 600), before);
  EXPECT_LT(before.size(), hosts.size() / 4);
}

// --- Scans past unavailable hosts ---

TEST(Candidates, UnreachableZoneThatHoldsTheWholeSubsetIsAvoided) {
  const std::vector<Endpoint> hosts = makeHosts(300);
  const auto driver = makeDriver(settingsWithCandidates(8, 100, 5), hosts);
  const std::set<std::string> subset = serveAndCollectHosts(*driver, 600);
  std::vector<Endpoint> rezonedHosts = hosts;  // the same addresses, with this gateway's subset in one zone
  for (Endpoint& endpoint : rezonedHosts)
    endpoint.zone = subset.count(endpoint.address) ? "lost" : "kept";
  announceHosts(*driver, EndpointListKind::delta, rezonedHosts);
  // The zone is unreachable but still listed: no connection to it can be opened.
  std::size_t unreachableAttempts = 0, servedAttempts = 0;
  for (int i = 0; i < 300; ++i) {
    if (i == 200)
      unreachableAttempts = servedAttempts = 0;  // by then the hosts are known to be unreachable
    const RequestId id = driver->submitRequest(kRead);
    while (!driver->inFlight.empty()) {
      const SentAttempt sent = driver->inFlight.front();
      const bool unreachable = subset.count(driver->balancer.address(sent.host)) > 0;
      driver->complete(sent, unreachable ? Outcome::connectFailed : Outcome::served, !unreachable);
      unreachableAttempts += unreachable;
      servedAttempts += !unreachable;
    }
    EXPECT_TRUE(i < 200 || !driver->isRejected(id));
    driver->advance(milliseconds(5));
  }
  EXPECT_EQ(servedAttempts, 100u);
  EXPECT_LE(unreachableAttempts, 20u) << "expected only probes of paused hosts";
  // Once the list names these hosts as removed, they receive no attempt at all, and no request is rejected.
  std::vector<Endpoint> removed;
  for (Endpoint endpoint : rezonedHosts)
    if (endpoint.zone == "lost")
      endpoint.state = EndpointState::removed, removed.push_back(endpoint);
  announceHosts(*driver, EndpointListKind::delta, removed);
  for (int i = 0; i < 100; ++i) {
    const std::string host = serveOne(*driver);
    EXPECT_NE(host, "none");
    EXPECT_EQ(subset.count(host), 0u);
  }
}

// Every host but one is paused, and the scan starts at others.
TEST(Candidates, OnlyAvailableHostIsFoundAtAnyPosition) {
  for (bool keyed : {false, true}) {
    Settings settings = settingsWithCandidates(4, 50, 3);
    settings.keyAffinity = keyed;
    settings.maxAttempts = 1;
    const std::vector<Endpoint> hosts = makeHosts(120);
    for (const std::size_t available : {0, 31, 77, 119}) {
      std::vector<Endpoint> others = hosts;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(available));
      const auto driver = makeDriver(settings, others);
      std::set<HostId> paused;
      for (std::uint64_t i = 1; paused.size() < others.size() && i < 20000; ++i) {
        const std::size_t before = driver->sent.size();
        driver->submitRequest(kRead, milliseconds(1000), keyed ? i : 0);
        ASSERT_GT(driver->sent.size(), before);
        const SentAttempt sent = driver->lastSent();
        paused.insert(sent.host);
        driver->complete(sent, Outcome::connectFailed, false);
      }
      ASSERT_EQ(paused.size(), others.size()) << "expected all these hosts to be paused within half a second";
      announceHosts(*driver, EndpointListKind::delta, {hosts[available]});
      for (std::uint64_t i = 1; i <= 20; ++i) {
        driver->submitRequest(kRead, milliseconds(1000), keyed ? i : 0);
        EXPECT_EQ(driver->balancer.address(driver->lastSent().host), hosts[available].address);
        driver->serve(driver->lastSent());
      }
    }
  }
}

TEST(Candidates, AllowedHostsAreUsedWhenNoneIsAvailable) {
  for (bool keyed : {false, true}) {
    Settings settings = settingsWithCandidates(4, 50, 3);
    settings.keyAffinity = keyed;
    settings.maxAttempts = 1;
    const auto driver = makeDriver(settings, makeHosts(40));
    for (std::uint64_t i = 1; i <= 2000; ++i) {
      const std::size_t before = driver->sent.size();
      driver->submitRequest(kRead, milliseconds(1000), keyed ? i : 0);
      ASSERT_GT(driver->sent.size(), before) << "request " << i;
      driver->complete(driver->lastSent(), Outcome::connectFailed, false);
    }
  }
}

TEST(Candidates, RetryStaysInItsCellHoweverFewHostsItHas) {
  constexpr std::uint32_t putClass = 2;  // index of the keyed class, which is deduplicated within a cell
  const auto driver = makeDriver(settingsWithCandidates(4, 50, 3), makeHosts(400));
  for (int i = 0; i < 100; ++i) {
    for (int k = 0; k < 4; ++k)
      serveOne(*driver);  // each adds to the retry budget
    driver->submitRequest(putClass);
    const SentAttempt first = driver->lastSent();
    driver->advance(milliseconds(5));
    driver->complete(first, Outcome::error, false);
    const SentAttempt second = driver->lastSent();
    ASSERT_EQ(second.request, first.request);
    ASSERT_EQ(second.attempt, 1u) << "expected a retry: another host of the cell was available";
    const auto hostNumber = [&](const SentAttempt& attempt) {
      return std::stoi(driver->balancer.address(attempt.host).substr(5)) - 100;
    };
    EXPECT_EQ(hostNumber(first) / 4, hostNumber(second) / 4);
    EXPECT_NE(first.host, second.host);
    driver->serve(second);
  }
}

TEST(Candidates, ClassStaysInItsZonesAndMachineTypes) {
  for (bool keyed : {false, true}) {
    Settings settings = settingsWithCandidates(4, 20, 7);
    settings.keyAffinity = keyed;
    settings.classes[0].zones = {"west"};
    settings.classes[1].zones = {"west"};
    settings.classes[1].machineTypes = {"rare"};
    settings.classes[2].machineTypes = std::vector<std::string>{};
    std::vector<Endpoint> hosts = makeHosts(300);
    hosts[100].machineType = "rare";  // in zone west
    hosts[104].machineType = "rare";  // in zone south
    const auto driver = makeDriver(settings, hosts);
    std::set<std::string> usedHosts;
    for (std::uint64_t i = 1; i <= 300; ++i) {
      const std::string host = serveOne(*driver, 0, keyed ? i : 0);
      usedHosts.insert(host);
      EXPECT_EQ((std::stoi(host.substr(5)) - 100) / 4 % 3, 1) << host;
    }
    EXPECT_GE(usedHosts.size(), 4u);
    for (std::uint64_t i = 1; i <= 20; ++i)
      EXPECT_EQ(serveOne(*driver, 1, keyed ? i : 0), hosts[100].address)
          << "expected the only host with both the zone and the machine type";
    EXPECT_TRUE(driver->isRejected(driver->submitRequest(2)))
        << "expected a rejection: an empty list allows no machine type";
  }
}

// --- Cold hosts ---

TEST(Candidates, ThirtyGatewaysTogetherKeepToTheBudgetOfAColdHost) {
  for (bool keyed : {false, true}) {
    Settings settings = makeSettings();
    settings.keyAffinity = keyed;
    settings.candidates = 8;
    constexpr int hostCount = 60;
    GatewayGroup gateways(settings, 30, hostCount);
    gateways.run(10, 20);
    gateways.clearHistory();
    gateways.run(2, 20);
    double perWarmHost = 0;
    for (int host = 0; host < hostCount; ++host)
      perWarmHost += static_cast<double>(gateways.attemptsTo(host)) / hostCount;
    gateways.announceHosts(EndpointListKind::delta, hostCount, hostCount + 1, gateways.now());
    for (int window = 0; window < 3; ++window) {
      gateways.clearHistory();
      gateways.run(2, 20);
      const double rampFraction = 0.2 + 0.8 * (2 * window) / 10;  // at the start of the window
      const double budget = 3 * rampFraction * perWarmHost;       // so many attempts overload the host
      const auto received = static_cast<double>(gateways.attemptsTo(hostCount));
      EXPECT_LT(received, budget) << "window " << window;
      EXPECT_LT(received, budget + 2 * std::sqrt(budget) + 2);
    }
  }
}

// --- Settings ---

// Without the setting, a request considers only a few hosts if the fleet is several times the usual size.
TEST(Candidates, AreEnabledByDefaultForALargeFleet) {
  constexpr int kUsualHosts = 500, kLargeHosts = 1000;
  Settings settings = settingsWithCandidates(0, 200);
  settings.keyAffinity = true;
  const auto usual = makeDriver(settings, makeHosts(kUsualHosts)),
             large = makeDriver(settings, makeHosts(kLargeHosts));
  EXPECT_GT(serveAndCollectHosts(*usual, 400).size(), 100u);
  const std::size_t used = serveAndCollectHosts(*large, 400).size();
  EXPECT_GE(used, 6u);
  EXPECT_LE(used, 64u);
}

TEST(Candidates, AreDisabledAgainWhenTheFleetShrinks) {
  const Settings settings = settingsWithCandidates(0);
  const auto driver = makeDriver(settings, makeHosts(1000));
  announceHosts(*driver, EndpointListKind::snapshot, makeHosts(100));
  EXPECT_EQ(serveAndCollectHosts(*driver, 3000).size(), 100u);
  announceHosts(*driver, EndpointListKind::snapshot, makeHosts(1000));
  for (int i = 0; i < 100; ++i)
    EXPECT_NE(serveOne(*driver), "none");
}

TEST(Candidates, MayBeEnabledAndDisabledByAReload) {
  const std::vector<Endpoint> hosts = makeHosts(200);
  Settings settings = settingsWithCandidates(0, 20, 3);
  settings.keyAffinity = true;
  const auto driver = makeDriver(settings, hosts);
  for (std::uint64_t round = 0; round < 6; ++round) {
    const RequestId openRequest = driver->submitRequest(kRead, milliseconds(1000), 77);
    const SentAttempt sent = driver->lastSent();
    settings.candidates = round % 2 ? 0 : 8;
    driver->balancer.onSettings(driver->now, settings);
    driver->collectActions();
    for (std::uint64_t i = 1; i <= 50; ++i)
      EXPECT_NE(serveOne(*driver, kRead, i % 2 ? i : 0), "none");
    driver->serve(sent);
    EXPECT_FALSE(driver->isRejected(openRequest));
  }
}

}  // namespace
}  // namespace hollyrun::balancer::testing
