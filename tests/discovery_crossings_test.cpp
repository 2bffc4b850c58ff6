// Races between events of a discovery watch.
#include "crossing_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

// --- Discovery ------------------------------------------------------------------------------------------

TEST_F(EventRaceTest, SnapshotIsRequestedFromNewDiscoveryServer) {
  FakeDiscovery other{io};
  twoHosts(always(ok()));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  // The new server's list has the same version, but has never contained the second host.
  other.list = json::array({discovery.list[0]});
  config["discovery"] = textOf(other.peer.endpoint);
  reload();
  EXPECT_EQ(ask(text("read")).result_int(), 200u)
      << "expected the current list to stay in effect until the new server responds";
  ASSERT_TRUE(until([&] { return other.held.size() == 1; }));
  reached.clear();
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(std::set<std::string>(reached.begin(), reached.end()), std::set<std::string>{"s-0"});
}

TEST_F(EventRaceTest, ListInTransitFromFormerDiscoveryServerIsIgnored) {
  FakeDiscovery other{io};
  twoHosts(always(ok()));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  other.list = discovery.list;
  discovery.push({{"all", true}, {"targets", json::array()}});
  config["discovery"] = textOf(other.peer.endpoint);
  reload();
  ASSERT_TRUE(until([&] { return other.held.size() == 1; }));
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

TEST_F(EventRaceTest, PollWhoseResponseAndTimeoutRaceIsCompletedOnce) {
  options.discovery = {100ms, 100ms};
  twoHosts(always(ok()));
  const auto script = discovery.peer.script;
  std::size_t polls = 0;
  discovery.peer.script = [&](PeerConnection& connection) {
    if (connection.request.target().to_string().find("timeout_ms=100") == std::string::npos)
      return script(connection);
    if (polls++ > 0)
      return;
    connection.reply(answerText(
        200, "",
        json{{"rev", 2}, {"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}}
            .dump()));
    discovery.version = 2;
    discovery.list[0]["state"] = "DRAINING";
    blockUntil(Clock::now() + 250ms);
  };
  ASSERT_TRUE(until([&] { return polls >= 3; }));
  reached.clear();
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(std::count(reached.begin(), reached.end(), "s-0"), 0)
      << "expected the response to be applied, because it arrived before the timeout";
}

TEST_F(EventRaceTest, ListThatIsIncompleteAtPollTimeoutIsIgnored) {
  options.discovery = {50ms, 50ms};
  twoHosts(always(ok()));
  const auto script = discovery.peer.script;
  bool hasTruncated = false;
  discovery.peer.script = [&](PeerConnection& connection) {
    if (connection.request.target().to_string().find("timeout_ms=50") == std::string::npos)
      return script(connection);
    if (std::exchange(hasTruncated, true))
      return;
    const std::string response =
        answerText(200, "", json{{"rev", 7}, {"all", true}, {"targets", json::array()}}.dump());
    connection.reply(response.substr(0, response.size() - 1));
  };
  const auto countFirstPolls = [&] {
    return std::count_if(discovery.targets.begin(), discovery.targets.end(), [](const std::string& path) {
      return path.find("timeout_ms=1") != std::string::npos;
    });
  };
  ASSERT_TRUE(until([&] { return countFirstPolls() >= 2; }));
  EXPECT_NE(discovery.targets.back().find("since=1&"), std::string::npos);
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

TEST_F(EventRaceTest, SnapshotIsRequestedAfterDiscoveryReturnsWithOlderVersion) {
  discovery.version = 9;
  addHost("a", always(ok()));
  addHost("a", always(ok()));
  config["known"] = {{"rev", 9}, {"all", true}, {"targets", discovery.list}};
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.list.erase(1);
  discovery.version = 2;  // The server was set up anew.
  discovery.push({{"all", false}, {"targets", json::array()}});
  ASSERT_TRUE(
      until([&] { return discovery.targets.back().find("since=3&timeout_ms=20000") != std::string::npos; }));
  reached.clear();
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(std::set<std::string>(reached.begin(), reached.end()), std::set<std::string>{"s-0"});
}

// Discovery is unavailable for a while, and a host starts to drain during the outage or soon after.
class DiscoveryOutageTest : public EventRaceTest {
 protected:
  // Starts with two hosts and an active watch; then discovery fails every request until
  // recoverWithDrainingHost().
  void startAndLoseDiscovery() {
    twoHosts(always(ok()));
    ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
    discovery.failing = true;
    discovery.held[0]->reset();
    discovery.held.clear();
  }
  void recoverWithDrainingHost() {
    const auto script = discovery.peer.script;
    discovery.peer.script = [this, script](PeerConnection& connection) {
      if (std::exchange(hasSentDrain_, true))
        return script(connection);
      discovery.failing = false;
      discovery.version = 2;
      const json drained = target("s-0", hosts[0]->endpoint, "a", "DRAINING");
      connection.reply(answerText(200, "", json{{"rev", 2}, {"all", false}, {"targets", {drained}}}.dump()));
    };
    ASSERT_TRUE(until([&] { return hasSentDrain_ && discovery.held.size() == 1; }));
  }
  void expectNoRequestAtDrainingHost() {
    reached.clear();
    for (int i = 0; i < 20; ++i)
      EXPECT_EQ(ask(text("read")).result_int(), 200u);
    EXPECT_EQ(std::count(reached.begin(), reached.end(), "s-0"), 0);
  }

 private:
  bool hasSentDrain_ = false;
};

TEST_F(DiscoveryOutageTest, DrainDuringOutageIsAppliedAfterRecovery) {
  startAndLoseDiscovery();
  ASSERT_TRUE(until([&] { return discovery.targets.size() >= 4; }));
  recoverWithDrainingHost();
  expectNoRequestAtDrainingHost();
}

TEST_F(DiscoveryOutageTest, IdleClientsAtConnectionLimitDelayNeitherRequestsNorDrain) {
  config["limits"]["sockets"] = 128;
  startAndLoseDiscovery();
  std::vector<std::shared_ptr<Client>> idleClients;
  for (int i = 0; i < 300; ++i)
    idleClients.push_back(client());
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  recoverWithDrainingHost();
  expectNoRequestAtDrainingHost();
}

TEST_F(DiscoveryOutageTest, AttemptThatConnectsThroughAnOutageIsNotSentToAHostThatDrainedInIt) {
  disableTimeLimits();
  addHost("a", always(ok()));
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  hosts[0]->pause();
  auto downstream = client();
  downstream->send(text("read"));
  const auto lostAt = Clock::now();
  discovery.failing = true;
  discovery.held[0]->reset();
  discovery.held.clear();
  // Longer than the half second in which an attempt may still start after its host begins to drain.
  ASSERT_TRUE(runUntil(lostAt + 550ms));
  recoverWithDrainingHost();
  hosts[0]->resume();
  ASSERT_TRUE(until([&] { return !downstream->answers.empty(); }));
  EXPECT_EQ(downstream->answers.front().result_int(), 503u);
  EXPECT_TRUE(reached.empty()) << "the drain was announced long before the list arrived";
}

TEST_F(DiscoveryOutageTest, DrainFromNewDiscoveryServerIsAppliedAfterReload) {
  FakeDiscovery other{io};
  startAndLoseDiscovery();
  other.list = discovery.list;
  config["discovery"] = textOf(other.peer.endpoint);
  reload();
  ASSERT_TRUE(until([&] { return other.held.size() == 1; }));
  other.push({{"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return other.held.size() == 1; }));
  expectNoRequestAtDrainingHost();
}

TEST_F(DiscoveryOutageTest, WatchThatBecomesSilentIsRestartedAndDeliversDrain) {
  options.discovery = {100ms, 100ms};
  twoHosts(always(ok()));
  const auto script = discovery.peer.script;
  const auto isLongPoll = [](PeerConnection& connection) {
    return connection.request.target().to_string().find("timeout_ms=100") != std::string::npos;
  };
  std::size_t longPolls = 0;
  discovery.peer.script = [&](PeerConnection& connection) {
    if (!isLongPoll(connection))
      return script(connection);
    if (++longPolls < 4)  // Three polls end without a change; the fourth gets no response.
      connection.reply(
          answerText(200, "", json{{"rev", 1}, {"all", false}, {"targets", json::array()}}.dump()));
  };
  ASSERT_TRUE(until([&] { return longPolls == 4; }));
  bool hasSentDrain = false;
  discovery.peer.script = [&](PeerConnection& connection) {
    if (isLongPoll(connection))
      return;
    discovery.version = 2;
    hasSentDrain = true;
    const json drained = target("s-0", hosts[0]->endpoint, "a", "DRAINING");
    connection.reply(answerText(200, "", json{{"rev", 2}, {"all", false}, {"targets", {drained}}}.dump()));
  };
  ASSERT_TRUE(until([&] { return hasSentDrain && discovery.targets.size() > 0; }));
  ASSERT_TRUE(until([&] { return ask(text("read")).result_int() == 200u && reached.back() == "s-1"; }));
  const auto now = Clock::now();
  ASSERT_TRUE(runUntil(now + 20ms));
  expectNoRequestAtDrainingHost();
}

}  // namespace
}  // namespace hollyrun::gateway::testing
