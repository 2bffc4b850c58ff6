// Gateways as members of a fleet on real loopback sockets: configuration, joining through seeds, departure,
// hot restart, reports for operators, and floods of datagrams.
#include "gateway/membership_transport.hpp"

#include <sys/socket.h>

#include <atomic>
#include <filesystem>
#include <thread>

#include "gateway/ops_client.hpp"
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

class MembershipTransportTest : public GatewayTest {
 protected:
  // Configuration of a gateway whose membership port is picked by the kernel.
  json memberConfig(const std::string& name, const std::vector<std::string>& seeds) {
    json configuration = configJson();
    configuration["name"] = name;
    configuration["discovery"] = textOf(discovery.peer.endpoint);
    configuration["membership"] = {{"listen", "127.0.0.1:0"}, {"seeds", seeds}, {"periodNs", 50'000'000}};
    return configuration;
  }
  static Config parsed(const json& configuration) {
    return parseConfig(configuration, [](const char*) { return nullptr; });
  }
  std::unique_ptr<Gateway> startMember(const json& configuration) {
    return std::make_unique<Gateway>(io, parsed(configuration), options, log);
  }
  static std::string membershipAddressOf(const Gateway& member) {
    const auto endpoint = member.fleet()->listening();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }
  // Returns how many members the observer sees in the state, itself included.
  static std::size_t countSeen(const Gateway& observer, const std::string& state) {
    std::size_t count = 0;
    const json view = json::parse(observer.fleet()->text());
    for (const json& member : view.at("members"))
      count += member.at("state") == state;
    return count;
  }
};

// Returns how many datagram sockets this process has open. It asks each descriptor: the kernel's table of UDP
// sockets is read in parts, and lists a socket twice if another process opens one between two reads.
std::size_t countDatagramSockets() {
  std::size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
    const int descriptor = std::stoi(entry.path().filename().string());
    int type = 0;
    socklen_t size = sizeof type;
    if (::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_DGRAM)
      ++count;
  }
  return count;
}

TEST_F(MembershipTransportTest, OpensNoSocketUnlessConfigured) {
  EXPECT_EQ(countDatagramSockets(), 0u);
  asio::ip::udp::socket control(io, {asio::ip::address_v4::loopback(), 0});
  ASSERT_EQ(countDatagramSockets(), 1u) << "an open UDP socket should be counted";
  const std::size_t before = countDatagramSockets();
  start();
  EXPECT_EQ(gateway->fleet(), nullptr);
  EXPECT_EQ(countDatagramSockets(), before);
}

TEST_F(MembershipTransportTest, ThreeMembersFindEachOtherAndDivideQuotasUntilOneLeaves) {
  json first = memberConfig("one", {});
  first["settings"]["groupSize"] = 2;  // fewer than there are members
  const auto one = startMember(first);
  const auto two = startMember(memberConfig("two", {membershipAddressOf(*one)}));
  const auto three = startMember(memberConfig("three", {membershipAddressOf(*one)}));
  ASSERT_TRUE(until([&] {
    return countSeen(*one, "alive") == 3 && countSeen(*two, "alive") == 3 && countSeen(*three, "alive") == 3;
  }));
  EXPECT_EQ(one->fleet()->quotaHolders(), 3u);
  bool ended = false;
  two->shutDown([&] { ended = true; });
  ASSERT_TRUE(until([&] { return countSeen(*one, "left") == 1 && countSeen(*three, "left") == 1; }));
  EXPECT_EQ(one->fleet()->quotaHolders(), 2u);
  ASSERT_TRUE(until([&] { return ended; }));
}

TEST_F(MembershipTransportTest, ReloadsEnableMembershipChangeTheFleetAndDisableMembership) {
  const auto one = startMember(memberConfig("one", {}));
  json withoutMembership = memberConfig("two", {});
  withoutMembership.erase("membership");
  const auto two = startMember(withoutMembership);
  EXPECT_EQ(two->fleet(), nullptr);
  json withMembership = memberConfig("two", {membershipAddressOf(*one)});
  two->reload(parsed(withMembership));
  ASSERT_TRUE(until([&] { return countSeen(*one, "alive") == 2; }));
  // The other member reports that the settings of this one differ.
  withMembership["settings"]["ceilings"]["maxAttempts"] = 2;
  two->reload(parsed(withMembership));
  ASSERT_TRUE(until([&] { return json::parse(one->fleet()->text()).at("other_settings") == 1; }));
  EXPECT_EQ(countSeen(*one, "alive"), 2u);
  withMembership["membership"]["fleet"] = "another";
  two->reload(parsed(withMembership));
  ASSERT_TRUE(until([&] { return countSeen(*one, "left") == 1; }));
  two->reload(parsed(withoutMembership));
  EXPECT_EQ(two->fleet(), nullptr);
}

TEST_F(MembershipTransportTest, NewerProcessOfAnUpgradeTakesOverTheMembership) {
  const auto one = startMember(memberConfig("one", {}));
  json second = memberConfig("two", {membershipAddressOf(*one)});
  auto older = startMember(second);
  ASSERT_TRUE(until([&] { return countSeen(*one, "alive") == 2; }));
  second["membership"]["listen"] = membershipAddressOf(*older);
  const auto newer = startMember(second);
  EXPECT_EQ(newer->fleet()->listening().port(), 0) << "the older process should still have the address";
  EXPECT_EQ(newer->fleet()->quotaHolders(), 1u);
  older.reset();  // closes the socket without announcing a departure
  ASSERT_TRUE(
      until([&] { return newer->fleet()->listening().port() != 0 && countSeen(*newer, "alive") == 2; }));
  EXPECT_EQ(countSeen(*one, "left") + countSeen(*one, "dead"), 0u);
}

TEST_F(MembershipTransportTest, FleetReportShowsMembersAndDifferencesInSettings) {
  json first = memberConfig("one", {});
  first["management"] = "127.0.0.1:0";
  const auto one = startMember(first);
  json second = memberConfig("two", {membershipAddressOf(*one)});
  second["management"] = "127.0.0.1:0";
  const auto two = startMember(second);
  ASSERT_TRUE(until([&] { return countSeen(*one, "alive") == 2 && countSeen(*two, "alive") == 2; }));
  const std::vector<std::string> addresses{textOf(*one->management()), textOf(*two->management())};
  const auto fleetReport = [&] {
    FleetReport report;
    std::atomic<bool> done = false;
    // queryFleet() blocks until the gateways of this thread respond.
    std::thread queryThread([&] { report = queryFleet(addresses), done = true; });
    EXPECT_TRUE(until([&] { return done.load(); }));
    queryThread.join();
    return report;
  };
  const FleetReport before = fleetReport();
  EXPECT_TRUE(before.consistent) << before.text;
  EXPECT_NE(before.text.find("all agree"), std::string::npos);
  second["settings"]["ceilings"]["maxAttempts"] = 2;
  two->reload(parsed(second));
  ASSERT_TRUE(until([&] { return json::parse(one->fleet()->text()).at("other_settings") == 1; }));
  const FleetReport after = fleetReport();
  EXPECT_NE(after.text.find("different settings"), std::string::npos);
  EXPECT_FALSE(after.consistent);
  std::string metrics;
  std::atomic<bool> done = false;
  std::thread queryThread([&] { metrics = queryOps(*one->management(), "/metrics"), done = true; });
  ASSERT_TRUE(until([&] { return done.load(); }));
  queryThread.join();
  EXPECT_NE(metrics.find("hollyrun_fleet_members{state=\"alive\"} 2"), std::string::npos) << metrics;
}

// Operators' dashboards and scripts depend on these names.
TEST_F(MembershipTransportTest, ReportsAndMetricsHaveTheirDocumentedNames) {
  const auto one = startMember(memberConfig("one", {}));
  const auto two = startMember(memberConfig("two", {membershipAddressOf(*one)}));
  ASSERT_TRUE(until([&] { return countSeen(*one, "alive") == 2; }));
  const auto keysOf = [](const json& object) {
    std::set<std::string> keys;
    for (const auto& [key, value] : object.items())
      keys.insert(key);
    return keys;
  };
  const json fleet = json::parse(one->fleet()->text());
  EXPECT_EQ(keysOf(fleet),
            (std::set<std::string>{"counters", "disagree", "divided_by", "fleet", "health", "members", "name",
                                   "other_settings", "present", "state", "view", "zones"}));
  std::set<std::string> memberKeys{"address",  "epoch",   "incarnation", "name",  "region",  "self",
                                   "settings", "since_s", "started_ms",  "state", "version", "zone"};
  EXPECT_EQ(keysOf(fleet.at("members").at(0)), memberKeys);
  memberKeys.erase("self");
  memberKeys.insert({"heard_s", "view"});
  std::set<std::string> otherKeys = keysOf(fleet.at("members").at(1));
  otherKeys.erase("differs_about");  // present only while the member's view differs
  EXPECT_EQ(otherKeys, memberKeys);
  EXPECT_EQ(keysOf(fleet.at("counters")),
            (std::set<std::string>{"bad_nonsense", "bad_other_fleet", "bad_other_version", "bad_spoilt",
                                   "bad_too_long", "bad_undecodable", "bytes_in", "bytes_out", "deaths",
                                   "flooded", "full", "received", "refuted", "sent", "stale", "stalls",
                                   "suspicions", "unsent"}));
  std::vector<std::string> families;
  for (const auto& family : one->fleet()->metrics())
    families.push_back(family.name.substr(std::string("hollyrun_fleet_").size()));
  EXPECT_EQ(families, (std::vector<std::string>{
                          "members", "present", "divided_by", "disagreeing", "health", "received_total",
                          "sent_total", "bytes_in_total", "bytes_out_total", "stale_total", "full_total",
                          "refuted_total", "deaths_total", "suspicions_total", "stalls_total",
                          "flooded_total", "unsent_total", "bad_total"}));
}

TEST_F(MembershipTransportTest, RejectsConfigurationThatDoesNotFitTheProtocol) {
  for (const char* key : {"fleet", "region"}) {
    json configuration = memberConfig("one", {});
    configuration["membership"][key] = std::string(10000, 'x');
    EXPECT_THROW(parsed(configuration), ConfigError) << key;
  }
  json configuration = memberConfig(std::string(10000, 'x'), {});
  EXPECT_THROW(parsed(configuration), ConfigError);
  configuration = memberConfig("one", {"[::1]:5"});  // member records contain IPv4 addresses only
  EXPECT_THROW(parsed(configuration), ConfigError);
  configuration = memberConfig("one", {"nowhere"});
  EXPECT_THROW(parsed(configuration), ConfigError);
  configuration = memberConfig("", {});
  EXPECT_THROW(parsed(configuration), ConfigError);
}

TEST_F(MembershipTransportTest, KeepsItsMembershipUnderAFloodOfDatagrams) {
  const auto one = startMember(memberConfig("one", {}));
  const auto two = startMember(memberConfig("two", {membershipAddressOf(*one)}));
  ASSERT_TRUE(until([&] { return countSeen(*one, "alive") == 2; }));
  asio::ip::udp::socket flooder(io, asio::ip::udp::v4());
  for (int i = 0; i < 20000; ++i) {
    boost::system::error_code ignored;
    flooder.send_to(asio::buffer(std::string(1400, 'x')), one->fleet()->listening(), 0, ignored);
    if (i % 100 == 0)
      io.poll();
  }
  ASSERT_TRUE(until([&] { return countSeen(*one, "alive") == 2 && countSeen(*two, "alive") == 2; }));
  const json counters = json::parse(one->fleet()->text()).at("counters");
  EXPECT_GT(counters.at("bad_too_long").get<int>(), 0);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
