// Events of the watch on discovery that cross.
#include "crossing_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

// --- Discovery ------------------------------------------------------------------------------------------

TEST_F(Crossings, AMovedDiscoveryIsAskedForTheWholeList) {
  FakeDiscovery other{io};
  twoHosts(always(ok()));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  other.list = json::array({discovery.list[0]});  // of the same version, and never told of the second
  config["discovery"] = textOf(other.peer.endpoint);
  reload();
  EXPECT_EQ(ask(text("read")).result_int(), 200u) << "the list held stays until then";
  ASSERT_TRUE(until([&] { return other.held.size() == 1; }));
  reached.clear();
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(std::set<std::string>(reached.begin(), reached.end()), std::set<std::string>{"s-0"});
}

TEST_F(Crossings, AListOnItsWayWhileDiscoveryMovesCountsForNothing) {
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

TEST_F(Crossings, AWatchWhoseAnswerAndTimerComeInOneTurnIsEndedOnce) {
  options.discovery = {100ms, 100ms};
  twoHosts(always(ok()));
  const auto script = discovery.peer.script;
  std::size_t asked = 0;
  discovery.peer.script = [&](PeerConnection& c) {
    if (c.request.target().to_string().find("timeout_ms=100") == std::string::npos)
      return script(c);
    if (asked++ > 0)
      return;
    c.reply(answerText(
        200, "",
        json{{"rev", 2}, {"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}}
            .dump()));
    discovery.version = 2;
    discovery.list[0]["state"] = "DRAINING";
    spinPast(Clock::now() + 250ms);
  };
  ASSERT_TRUE(until([&] { return asked >= 3; }));
  reached.clear();
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(std::count(reached.begin(), reached.end(), "s-0"), 0) << "the answer was there first";
}

TEST_F(Crossings, AListHalfReadWhenItsWatchFallsSilentCountsForNothing) {
  options.discovery = {50ms, 50ms};
  twoHosts(always(ok()));
  const auto script = discovery.peer.script;
  bool cut = false;
  discovery.peer.script = [&](PeerConnection& c) {
    if (c.request.target().to_string().find("timeout_ms=50") == std::string::npos)
      return script(c);
    if (std::exchange(cut, true))
      return;
    const std::string whole =
        answerText(200, "", json{{"rev", 7}, {"all", true}, {"targets", json::array()}}.dump());
    c.reply(whole.substr(0, whole.size() - 1));
  };
  const auto looks = [&] {
    return std::count_if(discovery.targets.begin(), discovery.targets.end(),
                         [](const std::string& t) { return t.find("timeout_ms=1") != std::string::npos; });
  };
  ASSERT_TRUE(until([&] { return looks() >= 2; }));
  EXPECT_NE(discovery.targets.back().find("since=1&"), std::string::npos);
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

TEST_F(Crossings, DiscoveryBackWithAnOlderVersionIsAskedForTheWholeList) {
  discovery.version = 9;
  addHost("a", always(ok()));
  addHost("a", always(ok()));
  config["known"] = {{"rev", 9}, {"all", true}, {"targets", discovery.list}};
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.list.erase(1);
  discovery.version = 2;  // it was set up anew
  discovery.push({{"all", false}, {"targets", json::array()}});
  ASSERT_TRUE(
      until([&] { return discovery.targets.back().find("since=3&timeout_ms=20000") != std::string::npos; }));
  reached.clear();
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(std::set<std::string>(reached.begin(), reached.end()), std::set<std::string>{"s-0"});
}

// Discovery fails for a while, and a host drains meanwhile or soon after.
class DiscoveryOutage : public Crossings {
 protected:
  // Two hosts, a watch that is on, and a discovery that then fails every call until returnWithADrain().
  void startAndLoseDiscovery() {
    twoHosts(always(ok()));
    ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
    discovery.failing = true;
    discovery.held[0]->reset();
    discovery.held.clear();
  }
  void returnWithADrain() {
    const auto script = discovery.peer.script;
    discovery.peer.script = [this, script](PeerConnection& c) {
      if (std::exchange(told_, true))
        return script(c);
      discovery.failing = false;
      discovery.version = 2;
      const json drained = target("s-0", hosts[0]->endpoint, "a", "DRAINING");
      c.reply(answerText(200, "", json{{"rev", 2}, {"all", false}, {"targets", {drained}}}.dump()));
    };
    ASSERT_TRUE(until([&] { return told_ && discovery.held.size() == 1; }));
  }
  void expectNothingNewAtTheDrainingHost() {
    reached.clear();
    for (int i = 0; i < 20; ++i)
      EXPECT_EQ(ask(text("read")).result_int(), 200u);
    EXPECT_EQ(std::count(reached.begin(), reached.end(), "s-0"), 0);
  }

 private:
  bool told_ = false;
};

TEST_F(DiscoveryOutage, ADrainToldWhileDiscoveryWasAwayIsHeardAtItsReturn) {
  startAndLoseDiscovery();
  ASSERT_TRUE(until([&] { return discovery.targets.size() >= 4; }));
  returnWithADrain();
  expectNothingNewAtTheDrainingHost();
}

TEST_F(DiscoveryOutage, IdleClientsThatFillTheTableMeanwhileHoldUpNeitherRequestsNorADrain) {
  config["limits"]["sockets"] = 128;
  startAndLoseDiscovery();
  std::vector<std::shared_ptr<Client>> idle;
  for (int i = 0; i < 300; ++i)
    idle.push_back(client());
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  returnWithADrain();
  expectNothingNewAtTheDrainingHost();
}

TEST_F(DiscoveryOutage, AReloadToAnotherDiscoveryFollowedByADrainIsHeard) {
  FakeDiscovery other{io};
  startAndLoseDiscovery();
  other.list = discovery.list;
  config["discovery"] = textOf(other.peer.endpoint);
  reload();
  ASSERT_TRUE(until([&] { return other.held.size() == 1; }));
  other.push({{"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return other.held.size() == 1; }));
  expectNothingNewAtTheDrainingHost();
}

TEST_F(DiscoveryOutage, AWatchThatFallsSilentLateIsOpenedAnewAndTellsTheDrain) {
  options.discovery = {100ms, 100ms};
  twoHosts(always(ok()));
  const auto script = discovery.peer.script;
  const auto isWatch = [](PeerConnection& c) {
    return c.request.target().to_string().find("timeout_ms=100") != std::string::npos;
  };
  std::size_t watches = 0;
  discovery.peer.script = [&](PeerConnection& c) {
    if (!isWatch(c))
      return script(c);
    if (++watches < 4)  // three that end with nothing new, then silence
      c.reply(answerText(200, "", json{{"rev", 1}, {"all", false}, {"targets", json::array()}}.dump()));
  };
  ASSERT_TRUE(until([&] { return watches == 4; }));
  bool toldAfterSilence = false;
  discovery.peer.script = [&](PeerConnection& c) {
    if (isWatch(c))
      return;
    discovery.version = 2;
    toldAfterSilence = true;
    const json drained = target("s-0", hosts[0]->endpoint, "a", "DRAINING");
    c.reply(answerText(200, "", json{{"rev", 2}, {"all", false}, {"targets", {drained}}}.dump()));
  };
  ASSERT_TRUE(until([&] { return toldAfterSilence && discovery.targets.size() > 0; }));
  ASSERT_TRUE(until([&] { return ask(text("read")).result_int() == 200u && reached.back() == "s-1"; }));
  const auto now = Clock::now();
  ASSERT_TRUE(runPast(now + 20ms));
  expectNothingNewAtTheDrainingHost();
}

}  // namespace
}  // namespace hollyrun::gateway::testing
