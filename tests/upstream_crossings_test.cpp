// Events of a connection to a host that cross, and those of retries.
#include "connection_observers.hpp"
#include "crossing_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

// --- Connections to hosts -------------------------------------------------------------------------------

TEST_F(Crossings, HalfALineOnARestingConnectionIsNoAnswer) {
  std::shared_ptr<PeerConnection> used;
  addHost("a", [&](PeerConnection& c, std::size_t) {
    used = c.shared_from_this();
    c.reply(ok("mine"));
  });
  start();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(ask(text("write")).body(), "mine");
    used->reply("HTTP/1.1 2");  // the gateway looks first when the next request comes
  }
}

TEST_F(Crossings, ASecondAnswerThatComesLateIsNotTakenForTheNextOne) {
  std::vector<std::shared_ptr<PeerConnection>> used;
  Clock::time_point replied;
  addHost("a", [&](PeerConnection& c, std::size_t n) {
    used.push_back(c.shared_from_this());
    // The last one's again, once the next is on its way; on a machine that stood still that is no longer
    // late.
    const bool soon = Clock::now() < replied + 40ms;
    if (n == 2 && (soon || used[1] != used[2]))
      used[1]->reply(ok("again"));
    c.reply(n == 0 ? ok("mine") + ok("again") : ok("mine"));
    replied = Clock::now();
  });
  start();
  auto c = client();
  for (std::size_t i = 1; i <= 4; ++i) {
    c->send(text("write"));
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
    EXPECT_EQ(c->answers.back().body(), "mine") << i;
  }
}

TEST_F(Crossings, AnAnswerAheadOfTheHostsResetCounts) {
  addHost("a", [&](PeerConnection& c, std::size_t) {
    c.reply(ok("mine"));
    c.reset();
  });
  start();
  EXPECT_EQ(ask(text("write")).body(), "mine");
}

TEST_F(Crossings, AnAnswerThatNeverEndsIsAnsweredInTime) {
  shortenTimeouts(1);
  addHost("a", [&](PeerConnection& c, std::size_t) {
    c.reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  });
  start();
  EXPECT_EQ(ask(text("write")).result_int(), 502u);
  EXPECT_EQ(reached.size(), 1u);
}

class Attempts : public Crossings {  // the pool alone
 protected:
  RecordingUpstreamObserver observer;
  std::vector<AttemptCompletion>& ends = observer.completions;
  UpstreamPool pool{io,
                    {.connections = 8, .connectTimeout = 20s, .idleTimeout = 60s},
                    observer,
                    std::make_shared<MemoryBudget>(1 << 20)};
  HttpRequest get() {
    HttpRequest r{http::verb::get, "/read", 11};
    r.set("X-Request-Id", "r");
    return r;
  }
};

TEST_F(Attempts, AnAnswerThatIsThereWhenTheTimeEndsCounts) {
  Peer host(io, nullptr);
  pool.setEndpoint(0, host.endpoint);
  const auto began = Clock::now();
  pool.start({1, 0}, 0, get(), 1000ms);
  ASSERT_TRUE(until([&] { return host.requests.size() == 1 || !ends.empty(); }));
  ASSERT_TRUE(ends.empty());
  host.connections[0]->reply(ok());
  spinPast(began + 1000ms);
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, balancer::Outcome::served);
  EXPECT_EQ(ends.size(), 1u);
}

TEST_F(Attempts, AHalfAnswerThatIsThereWhenTheTimeEndsDoesNot) {
  Peer host(io, nullptr);
  pool.setEndpoint(0, host.endpoint);
  const auto began = Clock::now();
  pool.start({1, 0}, 0, get(), 1000ms);
  ASSERT_TRUE(until([&] { return host.requests.size() == 1 || !ends.empty(); }));
  ASSERT_TRUE(ends.empty());
  host.connections[0]->reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  spinPast(began + 1000ms);
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, balancer::Outcome::timeout);
}

TEST_F(Attempts, AnAnswerThatCrossesItsCancelEndsItOnce) {
  Peer host(io, [&](PeerConnection& c) { c.reply(ok()); });
  pool.setEndpoint(0, host.endpoint);
  pool.start({1, 0}, 0, get(), 20s);
  ASSERT_TRUE(until([&] { return host.requests.size() == 1; }));
  if (ends.empty())
    pool.cancel({1, 0});
  ASSERT_TRUE(until(
      [&] { return host.connections[0]->closedByPeer || ends[0].outcome == balancer::Outcome::served; }));
  EXPECT_EQ(ends.size(), 1u);
}

TEST_F(Attempts, AConnectionThatComesUpPastTheTimeToBeginCarriesNothing) {
  Peer host(io, [&](PeerConnection& c) { c.reply(ok()); });
  host.pause();
  pool.setEndpoint(0, host.endpoint);
  pool.start({1, 0}, 0, get(), 20s, 100ms);
  const auto began = Clock::now();
  ASSERT_TRUE(runPast(began + 50ms));
  host.resume();  // it comes up a second after it was dialled
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, balancer::Outcome::connectFailed);
  EXPECT_TRUE(host.requests.empty());
}

TEST_F(Attempts, AConnectionThatIsUpInTheInstantItsTimeToBeginEndsCarriesNothing) {
  Peer host(io, [&](PeerConnection& c) { c.reply(ok()); });
  pool.setEndpoint(0, host.endpoint);
  const auto began = Clock::now();
  pool.start({1, 0}, 0, get(), 20s, 5ms);
  spinPast(began + 6ms);  // up since its first moment, and nobody looked
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, balancer::Outcome::connectFailed);
  EXPECT_TRUE(host.requests.empty());
}

TEST_F(Crossings, AHostThatDrainsWhileItsConnectionComesUpGetsNothing) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  const auto script = always(ok());
  addHost("a", script, "DRAINING");
  addHost("a", script);
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  hosts[1]->pause();
  auto c = client();
  c->send(text("read"));
  const auto sent = Clock::now();
  ASSERT_TRUE(runPast(sent + 50ms));
  discovery.push(
      {{"all", false},
       {"targets", {target("s-0", hosts[0]->endpoint), target("s-1", hosts[1]->endpoint, "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  hosts[1]->resume();  // it would come up a second after it was dialled
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  ASSERT_TRUE(runPast(sent + 1500ms));
  EXPECT_EQ(reached, std::vector<std::string>{"s-0"});
}

// --- Retries --------------------------------------------------------------------------------------------

TEST_F(Crossings, AResendWhoseConnectionComesUpPastTheWindowIsNotSent) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  config["settings"]["grades"][2]["windowNs"] = 400'000'000;
  const Script script = failFirst([&](PeerConnection& c) {
    hosts[reached[0] == "s-0" ? 1 : 0]->pause();
    c.reset();
  });
  addHost("a", script);
  addHost("a", script);
  start();
  auto c = client();
  c->send(text("put"));
  ASSERT_TRUE(until([&] { return reached.size() == 1; }));
  const auto sent = Clock::now();
  ASSERT_TRUE(runPast(sent + 200ms));
  hosts[reached[0] == "s-0" ? 1 : 0]->resume();
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  ASSERT_TRUE(runPast(sent + 1500ms));
  EXPECT_EQ(reached.size(), 1u);
}

TEST_F(Crossings, AReloadThatShortensTheWindowLeavesRequestsUnderWayTheirs) {
  std::shared_ptr<PeerConnection> held;
  twoHosts(failFirst([&](PeerConnection& c) { held = c.shared_from_this(); }));
  auto c = client();
  c->send(text("put"));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  config["settings"]["grades"][2]["windowNs"] = 1;
  reload();
  held->reset();
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u) << "what was taken keeps the class that it came with";
  EXPECT_EQ(reached.size(), 2u);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
