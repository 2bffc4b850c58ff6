// Tests of the optional class settings: requests in order per key, and placement in zones and machine types.
#include <set>

#include "driver.hpp"

namespace hollyrun::balancer::testing {
namespace {

Settings orderedSettings() {
  Settings settings = makeSettings();
  settings.classes[0].orderedPerKey = true;  // read
  settings.classes[1].orderedPerKey = true;  // write
  settings.keyCooldown = milliseconds(100);
  return settings;
}

bool wasSent(const Driver& driver, RequestId id) {
  for (const SentAttempt& attempt : driver.sent)
    if (attempt.request == id)
      return true;
  return false;
}

// --- Order per key ---

TEST(KeyOrder, RequestsOfAKeyRunOneAtATimeInOrderAcrossClasses) {
  Driver driver(orderedSettings());
  const RequestId first = driver.submitRequest(0, seconds(1), 5),
                  second = driver.submitRequest(1, seconds(1), 5),
                  third = driver.submitRequest(0, seconds(1), 5);
  EXPECT_TRUE(wasSent(driver, first));
  EXPECT_FALSE(wasSent(driver, second) || wasSent(driver, third));
  driver.serve(SentAttempt(driver.inFlight.front()));
  EXPECT_TRUE(wasSent(driver, second));
  EXPECT_FALSE(wasSent(driver, third));
  driver.serve(SentAttempt(driver.inFlight.front()));
  EXPECT_TRUE(wasSent(driver, third));
}

TEST(KeyOrder, RequestsOfOtherKeysWithoutKeyOrOfUnorderedClassesDoNotWait) {
  Driver driver(orderedSettings());
  driver.submitRequest(0, seconds(1), 5);
  EXPECT_TRUE(wasSent(driver, driver.submitRequest(0, seconds(1), 6)));
  EXPECT_TRUE(wasSent(driver, driver.submitRequest(0, seconds(1))));
  EXPECT_TRUE(wasSent(driver, driver.submitRequest(0, seconds(1))));
  EXPECT_TRUE(wasSent(driver, driver.submitRequest(2, seconds(1), 5)));
}

TEST(KeyOrder, KeyPausesOnlyIfTheAttemptMayStillBeExecuting) {
  for (Outcome outcome : {Outcome::served, Outcome::error, Outcome::rejected, Outcome::timeout,
                          Outcome::connectFailed, Outcome::reset, Outcome::cancelled, Outcome::abandoned}) {
    Settings settings = orderedSettings();
    settings.maxAttempts = 1;
    Driver driver(settings);
    driver.submitRequest(1, seconds(1), 5);
    const RequestId next = driver.submitRequest(1, seconds(1), 5);
    driver.complete(SentAttempt(driver.inFlight.front()), outcome, outcome == Outcome::served);
    const bool mayBeExecuting =
        outcome == Outcome::timeout || outcome == Outcome::reset || outcome == Outcome::cancelled;
    EXPECT_EQ(wasSent(driver, next), !mayBeExecuting) << static_cast<int>(outcome);
    driver.advance(milliseconds(95));
    EXPECT_EQ(wasSent(driver, next), !mayBeExecuting) << static_cast<int>(outcome);
    driver.advance(milliseconds(10));
    EXPECT_TRUE(wasSent(driver, next)) << static_cast<int>(outcome);
  }
}

TEST(KeyOrder, KeyPausesForRequestsThatArriveAfterTheQueueIsEmpty) {
  Settings settings = orderedSettings();
  settings.maxAttempts = 1;
  Driver driver(settings);
  driver.submitRequest(1, seconds(1), 5);
  driver.complete(SentAttempt(driver.inFlight.front()), Outcome::reset, false);
  const RequestId next = driver.submitRequest(1, seconds(1), 5);
  driver.advance(milliseconds(95));
  EXPECT_FALSE(wasSent(driver, next));
  driver.advance(milliseconds(10));
  EXPECT_TRUE(wasSent(driver, next));
}

TEST(KeyOrder, FirstRequestOfTheQueueIsRetriedWithoutAPause) {
  Driver driver(orderedSettings());
  const RequestId first = driver.submitRequest(0, seconds(1), 5);
  driver.complete(SentAttempt(driver.inFlight.front()), Outcome::reset, false);
  EXPECT_EQ(driver.lastSent().request, first);
  EXPECT_EQ(driver.lastSent().attempt, 1u);
}

TEST(KeyOrder, DisconnectedRequestBlocksItsKeyUntilItsAttemptHasEnded) {
  Driver driver(orderedSettings());
  const RequestId disconnected = driver.submitRequest(0, seconds(1), 5),
                  next = driver.submitRequest(0, seconds(1), 5);
  driver.balancer.onClientDisconnected(driver.now, disconnected);
  driver.collectActions();
  driver.advance(milliseconds(50));
  EXPECT_FALSE(wasSent(driver, next));
  driver.complete(SentAttempt(driver.inFlight.front()), Outcome::cancelled, true);
  EXPECT_FALSE(wasSent(driver, next));
  driver.advance(milliseconds(105));
  EXPECT_TRUE(wasSent(driver, next));
}

TEST(KeyOrder, WaitingRequestLeavesTheQueueWhenItsClientDisconnects) {
  Driver driver(orderedSettings());
  driver.submitRequest(0, seconds(1), 5);
  const RequestId disconnected = driver.submitRequest(0, seconds(1), 5),
                  next = driver.submitRequest(0, seconds(1), 5);
  driver.balancer.onClientDisconnected(driver.now, disconnected);
  driver.collectActions();
  driver.serve(SentAttempt(driver.inFlight.front()));
  EXPECT_FALSE(wasSent(driver, disconnected));
  EXPECT_TRUE(wasSent(driver, next));
}

TEST(KeyOrder, WaitingRequestIsRejectedOnceItCannotMeetItsObjective) {
  Driver driver(orderedSettings());
  driver.warmUp(0, 20, milliseconds(100));
  driver.submitRequest(0, seconds(1), 5);
  const RequestId waiting = driver.submitRequest(0, seconds(1), 5);
  driver.advance(milliseconds(380));  // objective 400 ms, service time 100 ms; the first is stuck
  EXPECT_TRUE(driver.isRejected(waiting));
  EXPECT_FALSE(wasSent(driver, waiting));
}

TEST(KeyOrder, RequestIsRejectedAtOnceIfTheQueueIsTooLongForItsObjective) {
  Driver driver(orderedSettings());
  driver.warmUp(0, 20, milliseconds(100));
  for (int i = 0; i < 3; ++i)
    EXPECT_FALSE(driver.isRejected(driver.submitRequest(0, seconds(1), 5)));
  EXPECT_TRUE(driver.isRejected(driver.submitRequest(0, seconds(1), 5)));
}

TEST(KeyOrder, WaitingRequestIsNotSentToADrainingHost) {
  Driver driver(orderedSettings(), 2);
  driver.submitRequest(0, seconds(1), 5);
  const RequestId waiting = driver.submitRequest(0, seconds(1), 5);
  const SentAttempt first = driver.inFlight.front();
  for (int i = 0; i < 2; ++i) {
    Endpoint endpoint = makeHost(i, "east", i % 2);
    if (driver.balancer.findHost(endpoint.address) == first.host)
      continue;
    endpoint.state = EndpointState::draining;
    driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, {endpoint});
  }
  driver.serve(first);
  EXPECT_TRUE(wasSent(driver, waiting));
  EXPECT_EQ(driver.lastSent().host, first.host);
}

// --- Placement ---

Settings placementSettings() {
  Settings settings = makeSettings();
  settings.classes[0].zones = std::vector<std::string>{"west", "north"};
  settings.classes[1].machineTypes = std::vector<std::string>{"big"};
  return settings;
}

void addHostsForPlacement(Driver& driver) {
  std::vector<Endpoint> hosts = {makeHost(20, "west"), makeHost(21, "north"), makeHost(22, "east")};
  hosts.back().machineType = "big";
  driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, hosts);
  driver.collectActions();
}

TEST(Placement, AllAttemptsStayInTheAllowedZones) {
  Driver driver(placementSettings());
  addHostsForPlacement(driver);
  const std::set<HostId> allowed = {driver.hostId(20), driver.hostId(21)};
  for (int i = 0; i < 60; ++i) {
    driver.submitRequest(0);
    while (!driver.inFlight.empty()) {
      EXPECT_TRUE(allowed.count(driver.inFlight.front().host));
      driver.complete(SentAttempt(driver.inFlight.front()), i % 2 ? Outcome::connectFailed : Outcome::error,
                      false);
    }
    driver.advance(milliseconds(20));
  }
  EXPECT_GT(driver.sent.size(), 60u);
}

TEST(Placement, AllRequestsStayOnTheAllowedMachineTypes) {
  Driver driver(placementSettings());
  addHostsForPlacement(driver);
  for (int i = 0; i < 20; ++i)
    driver.submitRequest(1);
  ASSERT_FALSE(driver.sent.empty());
  for (const SentAttempt& attempt : driver.sent)
    EXPECT_EQ(attempt.host, driver.hostId(22));
}

TEST(Placement, RequestWithoutAllowedHostsIsRejectedAndOthersAreSent) {
  Driver driver(placementSettings());
  addHostsForPlacement(driver);
  std::vector<Endpoint> removed = {makeHost(20, "west"), makeHost(21, "north")};
  for (Endpoint& endpoint : removed)
    endpoint.state = EndpointState::removed;
  driver.balancer.onEndpoints(driver.now, EndpointListKind::delta, removed);
  const RequestId restricted = driver.submitRequest(0), unrestricted = driver.submitRequest(2);
  EXPECT_TRUE(driver.isRejected(restricted));
  EXPECT_FALSE(wasSent(driver, restricted));
  EXPECT_TRUE(wasSent(driver, unrestricted));
}

TEST(Placement, EmptyOrUnknownZoneListAllowsNoHost) {
  for (const std::vector<std::string>& zones : {std::vector<std::string>{}, {"nowhere"}}) {
    Settings settings = makeSettings();
    settings.classes[0].zones = zones;
    Driver driver(settings);
    EXPECT_TRUE(driver.isRejected(driver.submitRequest(0)));
    EXPECT_TRUE(driver.sent.empty());
  }
}

}  // namespace
}  // namespace hollyrun::balancer::testing
