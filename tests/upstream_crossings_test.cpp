// Races between events of a connection to a host, and those between events of retries.
#include "connection_observers.hpp"
#include "crossing_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

// --- Connections to hosts -------------------------------------------------------------------------------

TEST_F(EventRaceTest, PartialStatusLineOnIdleConnectionIsNotTakenForResponse) {
  std::shared_ptr<PeerConnection> hostConnection;
  addHost("a", [&](PeerConnection& connection, std::size_t) {
    hostConnection = connection.shared_from_this();
    connection.reply(ok("mine"));
  });
  start();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(ask(text("write")).body(), "mine");
    hostConnection->reply(
        "HTTP/1.1 2");  // The gateway notices these bytes only when the next request arrives.
  }
}

TEST_F(EventRaceTest, LateSecondResponseIsNotTakenForNextOne) {
  std::vector<std::shared_ptr<PeerConnection>> hostConnections;
  Clock::time_point repliedAt;
  addHost("a", [&](PeerConnection& connection, std::size_t attempt) {
    hostConnections.push_back(connection.shared_from_this());
    // Repeats the previous response when the next request has been sent. If the machine has stalled for too
    // long, the repeated response would no longer count as late.
    const bool isSoon = Clock::now() < repliedAt + 40ms;
    if (attempt == 2 && (isSoon || hostConnections[1] != hostConnections[2]))
      hostConnections[1]->reply(ok("again"));
    connection.reply(attempt == 0 ? ok("mine") + ok("again") : ok("mine"));
    repliedAt = Clock::now();
  });
  start();
  auto downstream = client();
  for (std::size_t i = 1; i <= 4; ++i) {
    downstream->send(text("write"));
    ASSERT_TRUE(until([&] { return downstream->answers.size() == i; }));
    EXPECT_EQ(downstream->answers.back().body(), "mine") << i;
  }
}

TEST_F(EventRaceTest, ResponseFollowedByResetOfHostIsDelivered) {
  addHost("a", [&](PeerConnection& connection, std::size_t) {
    connection.reply(ok("mine"));
    connection.reset();
  });
  start();
  EXPECT_EQ(ask(text("write")).body(), "mine");
}

TEST_F(EventRaceTest, ResponseThatNeverEndsIsAnsweredWith502) {
  shortenTimeouts(1);
  addHost("a", [&](PeerConnection& connection, std::size_t) {
    connection.reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  });
  start();
  EXPECT_EQ(ask(text("write")).result_int(), 502u);
  EXPECT_EQ(reached.size(), 1u);
}

// Uses an UpstreamPool without the rest of the gateway.
class UpstreamAttemptRaceTest : public EventRaceTest {
 protected:
  RecordingUpstreamObserver observer;
  std::vector<AttemptCompletion>& completions = observer.completions;
  UpstreamPool pool{io,
                    {.connections = 8, .connectTimeout = 20s, .idleTimeout = 60s},
                    observer,
                    std::make_shared<MemoryBudget>(1 << 20)};
  HttpRequest getRequest() {
    HttpRequest request{http::verb::get, "/read", 11};
    request.set("X-Request-Id", "r");
    return request;
  }
};

TEST_F(UpstreamAttemptRaceTest, ResponseThatArrivedBeforeTimeLimitIsServed) {
  Peer host(io, nullptr);
  pool.setEndpoint(0, host.endpoint);
  const auto startedAt = Clock::now();
  pool.start({1, 0}, 0, forwardRequest(getRequest()), 1000ms);
  ASSERT_TRUE(until([&] { return host.requests.size() == 1 || !completions.empty(); }));
  ASSERT_TRUE(completions.empty());
  host.connections[0]->reply(ok());
  blockUntil(startedAt + 1000ms);
  ASSERT_TRUE(until([&] { return !completions.empty(); }));
  EXPECT_EQ(completions[0].outcome, balancer::Outcome::served);
  EXPECT_EQ(completions.size(), 1u);
}

TEST_F(UpstreamAttemptRaceTest, PartialResponseThatArrivedBeforeTimeLimitTimesOut) {
  Peer host(io, nullptr);
  pool.setEndpoint(0, host.endpoint);
  const auto startedAt = Clock::now();
  pool.start({1, 0}, 0, forwardRequest(getRequest()), 1000ms);
  ASSERT_TRUE(until([&] { return host.requests.size() == 1 || !completions.empty(); }));
  ASSERT_TRUE(completions.empty());
  host.connections[0]->reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  blockUntil(startedAt + 1000ms);
  ASSERT_TRUE(until([&] { return !completions.empty(); }));
  EXPECT_EQ(completions[0].outcome, balancer::Outcome::timeout);
}

TEST_F(UpstreamAttemptRaceTest, ResponseThatRacesWithCancelCompletesAttemptOnce) {
  Peer host(io, [&](PeerConnection& connection) { connection.reply(ok()); });
  pool.setEndpoint(0, host.endpoint);
  pool.start({1, 0}, 0, forwardRequest(getRequest()), 20s);
  ASSERT_TRUE(until([&] { return host.requests.size() == 1; }));
  if (completions.empty())
    pool.cancel({1, 0});
  ASSERT_TRUE(until([&] {
    return host.connections[0]->closedByPeer || completions[0].outcome == balancer::Outcome::served;
  }));
  EXPECT_EQ(completions.size(), 1u);
}

TEST_F(UpstreamAttemptRaceTest, ConnectionEstablishedAfterLatestStartCarriesNoRequest) {
  Peer host(io, [&](PeerConnection& connection) { connection.reply(ok()); });
  host.pause();
  pool.setEndpoint(0, host.endpoint);
  pool.start({1, 0}, 0, forwardRequest(getRequest()), 20s, 100ms);
  const auto startedAt = Clock::now();
  ASSERT_TRUE(runUntil(startedAt + 50ms));
  host.resume();  // The kernel repeats the connect, with success, after 1 s.
  ASSERT_TRUE(until([&] { return !completions.empty(); }));
  EXPECT_EQ(completions[0].outcome, balancer::Outcome::connectFailed);
  EXPECT_TRUE(host.requests.empty());
}

TEST_F(UpstreamAttemptRaceTest, ConnectionHandledAfterLatestStartCarriesNoRequest) {
  Peer host(io, [&](PeerConnection& connection) { connection.reply(ok()); });
  pool.setEndpoint(0, host.endpoint);
  const auto startedAt = Clock::now();
  pool.start({1, 0}, 0, forwardRequest(getRequest()), 20s, 5ms);
  blockUntil(startedAt + 6ms);  // The connection is established at once, but the event loop does not run.
  ASSERT_TRUE(until([&] { return !completions.empty(); }));
  EXPECT_EQ(completions[0].outcome, balancer::Outcome::connectFailed);
  EXPECT_TRUE(host.requests.empty());
}

TEST_F(EventRaceTest, HostThatDrainsDuringConnectReceivesNoRequest) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  const auto script = always(ok());
  addHost("a", script, "DRAINING");
  addHost("a", script);
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  hosts[1]->pause();
  auto downstream = client();
  downstream->send(text("read"));
  const auto sentAt = Clock::now();
  ASSERT_TRUE(runUntil(sentAt + 50ms));
  discovery.push(
      {{"all", false},
       {"targets", {target("s-0", hosts[0]->endpoint), target("s-1", hosts[1]->endpoint, "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  hosts[1]->resume();  // The kernel would repeat the connect, with success, after 1 s.
  ASSERT_TRUE(until([&] { return downstream->answers.size() == 1; }));
  EXPECT_EQ(downstream->answers[0].result_int(), 200u);
  ASSERT_TRUE(runUntil(sentAt + 1500ms));
  EXPECT_EQ(reached, std::vector<std::string>{"s-0"});
}

// --- Retries --------------------------------------------------------------------------------------------

TEST_F(EventRaceTest, RetryWhoseConnectCompletesAfterWindowIsNotSent) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  config["settings"]["grades"][2]["windowNs"] = 400'000'000;
  const Script script = failFirst([&](PeerConnection& connection) {
    hosts[reached[0] == "s-0" ? 1 : 0]->pause();
    connection.reset();
  });
  addHost("a", script);
  addHost("a", script);
  start();
  auto downstream = client();
  downstream->send(text("put"));
  ASSERT_TRUE(until([&] { return reached.size() == 1; }));
  const auto sentAt = Clock::now();
  ASSERT_TRUE(runUntil(sentAt + 200ms));
  hosts[reached[0] == "s-0" ? 1 : 0]->resume();
  ASSERT_TRUE(until([&] { return downstream->answers.size() == 1; }));
  EXPECT_EQ(downstream->answers[0].result_int(), 502u);
  ASSERT_TRUE(runUntil(sentAt + 1500ms));
  EXPECT_EQ(reached.size(), 1u);
}

TEST_F(EventRaceTest, ReloadDoesNotShortenWindowOfRequestsInProgress) {
  std::shared_ptr<PeerConnection> firstAttempt;
  twoHosts(failFirst([&](PeerConnection& connection) { firstAttempt = connection.shared_from_this(); }));
  auto downstream = client();
  downstream->send(text("put"));
  ASSERT_TRUE(until([&] { return firstAttempt != nullptr; }));
  config["settings"]["grades"][2]["windowNs"] = 1;
  reload();
  firstAttempt->reset();
  ASSERT_TRUE(until([&] { return downstream->answers.size() == 1; }));
  EXPECT_EQ(downstream->answers[0].result_int(), 200u)
      << "expected the request to keep the class settings in effect at its arrival";
  EXPECT_EQ(reached.size(), 2u);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
