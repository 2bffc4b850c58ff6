// Gateways that are members of one fleet, on real loopback sockets: off by default, joined by seeds, told of
// those that leave, asked by operators.
#include "gateway/membership_transport.hpp"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "gateway/ops_client.hpp"
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

class MembershipTransportTest : public GatewayTest {
 protected:
  // A configuration of one that listens at a port from the kernel.
  json memberConfig(const std::string& name, const std::vector<std::string>& seeds) {
    json c = configJson();
    c["name"] = name;
    c["discovery"] = textOf(discovery.peer.endpoint);
    c["membership"] = {{"listen", "127.0.0.1:0"}, {"seeds", seeds}, {"periodNs", 50'000'000}};
    return c;
  }
  static Config parsed(const json& c) {
    return parseConfig(c, [](const char*) { return nullptr; });
  }
  std::unique_ptr<Gateway> member(const json& c) {
    return std::make_unique<Gateway>(io, parsed(c), options, log);
  }
  static std::string seedOf(const Gateway& g) {
    const auto e = g.fleet()->listening();
    return e.address().to_string() + ":" + std::to_string(e.port());
  }
  static std::size_t seen(const Gateway& g, const std::string& state) {
    std::size_t n = 0;
    const json view = json::parse(g.fleet()->text());
    for (const json& m : view.at("members"))
      n += m.at("state") == state;
    return n;
  }
};

TEST_F(MembershipTransportTest, OffUnlessConfigured) {
  const auto sockets = [] {  // of this process, over UDP
    std::set<std::string> own;
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
      const std::string target = std::filesystem::read_symlink(entry.path(), ignored).string();
      if (target.starts_with("socket:["))
        own.insert(target.substr(8, target.size() - 9));
    }
    std::size_t n = 0;
    std::ifstream table("/proc/self/net/udp");
    for (std::string line; std::getline(table, line);) {
      std::istringstream words(line);
      std::string word;
      for (int i = 0; i < 10 && words >> word; ++i) {
      }
      n += own.count(word);
    }
    return n;
  };
  EXPECT_EQ(sockets(), 0u);
  asio::ip::udp::socket one(io, {asio::ip::address_v4::loopback(), 0});
  ASSERT_EQ(sockets(), 1u) << "it would show";
  const std::size_t before = sockets();
  start();
  EXPECT_EQ(gateway->fleet(), nullptr);
  EXPECT_EQ(sockets(), before);
}

TEST_F(MembershipTransportTest, ThreeFindEachOtherDivideByThreeAndHearOneLeave) {
  json first = memberConfig("one", {});
  first["settings"]["groupSize"] = 2;  // the fleet has outgrown it
  const auto a = member(first);
  const auto b = member(memberConfig("two", {seedOf(*a)}));
  const auto c = member(memberConfig("three", {seedOf(*a)}));
  ASSERT_TRUE(
      until([&] { return seen(*a, "alive") == 3 && seen(*b, "alive") == 3 && seen(*c, "alive") == 3; }));
  EXPECT_EQ(a->fleet()->quotaHolders(), 3u);
  bool ended = false;
  b->shutDown([&] { ended = true; });
  ASSERT_TRUE(until([&] { return seen(*a, "left") == 1 && seen(*c, "left") == 1; }));
  EXPECT_EQ(a->fleet()->quotaHolders(), 2u);
  ASSERT_TRUE(until([&] { return ended; }));
}

TEST_F(MembershipTransportTest, ANewFileTurnsItOnMovesItAndTurnsItOff) {
  const auto a = member(memberConfig("one", {}));
  json plain = memberConfig("two", {});
  plain.erase("membership");
  const auto b = member(plain);
  EXPECT_EQ(b->fleet(), nullptr);
  json on = memberConfig("two", {seedOf(*a)});
  b->reload(parsed(on));
  ASSERT_TRUE(until([&] { return seen(*a, "alive") == 2; }));
  // Other settings at one of two: the other sees that they differ.
  on["settings"]["ceilings"]["maxAttempts"] = 2;
  b->reload(parsed(on));
  ASSERT_TRUE(until([&] { return json::parse(a->fleet()->text()).at("other_settings") == 1; }));
  EXPECT_EQ(seen(*a, "alive"), 2u);
  on["membership"]["fleet"] = "another";
  b->reload(parsed(on));
  ASSERT_TRUE(until([&] { return seen(*a, "left") == 1; }));
  b->reload(parsed(plain));
  EXPECT_EQ(b->fleet(), nullptr);
}

TEST_F(MembershipTransportTest, TheNewerProcessOfAnUpgradeTakesThePlaceOver) {
  const auto a = member(memberConfig("one", {}));
  json second = memberConfig("two", {seedOf(*a)});
  auto older = member(second);
  ASSERT_TRUE(until([&] { return seen(*a, "alive") == 2; }));
  second["membership"]["listen"] = seedOf(*older);
  const auto newer = member(second);
  EXPECT_EQ(newer->fleet()->listening().port(), 0) << "the address is still the older one's";
  EXPECT_EQ(newer->fleet()->quotaHolders(), 1u);
  older.reset();  // closes it without a word
  ASSERT_TRUE(until([&] { return newer->fleet()->listening().port() != 0 && seen(*newer, "alive") == 2; }));
  EXPECT_EQ(seen(*a, "left") + seen(*a, "dead"), 0u);
}

TEST_F(MembershipTransportTest, OperatorsSeeMembersAndFiguresAndTheTableTellsDifferences) {
  json first = memberConfig("one", {});
  first["management"] = "127.0.0.1:0";
  const auto a = member(first);
  json second = memberConfig("two", {seedOf(*a)});
  second["management"] = "127.0.0.1:0";
  const auto b = member(second);
  ASSERT_TRUE(until([&] { return seen(*a, "alive") == 2 && seen(*b, "alive") == 2; }));
  const std::vector<std::string> addresses{textOf(*a->management()), textOf(*b->management())};
  const auto fleetReport = [&] {
    FleetReport report;
    std::atomic<bool> done = false;
    // The command is a program of its own, which waits for the answers.
    std::thread command([&] { report = queryFleet(addresses), done = true; });
    EXPECT_TRUE(until([&] { return done.load(); }));
    command.join();
    return report;
  };
  const FleetReport before = fleetReport();
  EXPECT_TRUE(before.consistent) << before.text;
  EXPECT_NE(before.text.find("all agree"), std::string::npos);
  second["settings"]["ceilings"]["maxAttempts"] = 2;
  b->reload(parsed(second));
  ASSERT_TRUE(until([&] { return json::parse(a->fleet()->text()).at("other_settings") == 1; }));
  const FleetReport after = fleetReport();
  EXPECT_NE(after.text.find("different settings"), std::string::npos);
  EXPECT_FALSE(after.consistent);
  std::string metrics;
  std::atomic<bool> done = false;
  std::thread command([&] { metrics = queryOps(*a->management(), "/metrics"), done = true; });
  ASSERT_TRUE(until([&] { return done.load(); }));
  command.join();
  EXPECT_NE(metrics.find("hollyrun_fleet_members{state=\"alive\"} 2"), std::string::npos) << metrics;
}

// Dashboards and scripts of operators read these names.
TEST_F(MembershipTransportTest, FiguresOfOperatorsHaveTheirDocumentedNames) {
  const auto a = member(memberConfig("one", {}));
  const auto b = member(memberConfig("two", {seedOf(*a)}));
  ASSERT_TRUE(until([&] { return seen(*a, "alive") == 2; }));
  const auto keysOf = [](const json& object) {
    std::set<std::string> keys;
    for (const auto& [key, value] : object.items())
      keys.insert(key);
    return keys;
  };
  const json fleet = json::parse(a->fleet()->text());
  EXPECT_EQ(keysOf(fleet),
            (std::set<std::string>{"counters", "disagree", "divided_by", "fleet", "health", "members", "name",
                                   "other_settings", "present", "state", "view", "zones"}));
  std::set<std::string> memberKeys{"address",  "epoch",   "incarnation", "name",  "region",  "self",
                                   "settings", "since_s", "started_ms",  "state", "version", "zone"};
  EXPECT_EQ(keysOf(fleet.at("members").at(0)), memberKeys);
  memberKeys.erase("self");
  memberKeys.insert({"heard_s", "view"});
  std::set<std::string> otherKeys = keysOf(fleet.at("members").at(1));
  otherKeys.erase("differs_about");  // only while its view is another
  EXPECT_EQ(otherKeys, memberKeys);
  EXPECT_EQ(keysOf(fleet.at("counters")),
            (std::set<std::string>{"bad_nonsense", "bad_other_fleet", "bad_other_version", "bad_spoilt",
                                   "bad_too_long", "bad_undecodable", "bytes_in", "bytes_out", "deaths",
                                   "flooded", "full", "received", "refuted", "sent", "stale", "stalls",
                                   "suspicions", "unsent"}));
  std::vector<std::string> families;
  for (const auto& family : a->fleet()->metrics())
    families.push_back(family.name.substr(std::string("hollyrun_fleet_").size()));
  EXPECT_EQ(families, (std::vector<std::string>{
                          "members", "present", "divided_by", "disagreeing", "health", "received_total",
                          "sent_total", "bytes_in_total", "bytes_out_total", "stale_total", "full_total",
                          "refuted_total", "deaths_total", "suspicions_total", "stalls_total",
                          "flooded_total", "unsent_total", "bad_total"}));
}

TEST_F(MembershipTransportTest, WhatCannotTravelIsTurnedDownWithTheConfiguration) {
  for (const char* key : {"fleet", "region"}) {
    json c = memberConfig("one", {});
    c["membership"][key] = std::string(10000, 'x');
    EXPECT_THROW(parsed(c), ConfigError) << key;
  }
  json c = memberConfig(std::string(10000, 'x'), {});
  EXPECT_THROW(parsed(c), ConfigError);
  c = memberConfig("one", {"[::1]:5"});  // a record holds IPv4
  EXPECT_THROW(parsed(c), ConfigError);
  c = memberConfig("one", {"nowhere"});
  EXPECT_THROW(parsed(c), ConfigError);
  c = memberConfig("", {});
  EXPECT_THROW(parsed(c), ConfigError);
}

TEST_F(MembershipTransportTest, AFloodOfDatagramsLeavesItServing) {
  const auto a = member(memberConfig("one", {}));
  const auto b = member(memberConfig("two", {seedOf(*a)}));
  ASSERT_TRUE(until([&] { return seen(*a, "alive") == 2; }));
  asio::ip::udp::socket stranger(io, asio::ip::udp::v4());
  for (int i = 0; i < 20000; ++i) {
    boost::system::error_code ignored;
    stranger.send_to(asio::buffer(std::string(1400, 'x')), a->fleet()->listening(), 0, ignored);
    if (i % 100 == 0)
      io.poll();
  }
  ASSERT_TRUE(until([&] { return seen(*a, "alive") == 2 && seen(*b, "alive") == 2; }));
  const json counters = json::parse(a->fleet()->text()).at("counters");
  EXPECT_GT(counters.at("bad_too_long").get<int>(), 0);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
