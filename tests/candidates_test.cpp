// Settings::candidates: a request looks at a few hosts only, and everything that a look at all of them kept
// holds.
#include <cmath>
#include <map>
#include <set>

#include "bank.hpp"

namespace hollyrun::balancer::testing {
namespace {

constexpr std::uint32_t kRead = 0;         // the class of makeSettings() that may be repeated anywhere
constexpr std::size_t kGatewaysLeast = 4;  // of a bank at least as large, each host keeps so many
const char* const kZones[] = {"east", "west", "south"};

Settings settingsOf(std::uint32_t candidates, std::uint32_t gateways = 1, std::uint32_t number = 0) {
  Settings s = makeSettings();
  s.candidates = candidates;
  s.replicaCount = gateways;
  s.replicaIndex = number;
  s.seed = number + 1;
  return s;
}

std::vector<Endpoint> hostsOf(int count) {
  std::vector<Endpoint> list;
  for (int i = 0; i < count; ++i)
    list.push_back(makeHost(i, kZones[i / 4 % 3], i / 4));
  return list;
}

std::unique_ptr<Driver> driverOf(const Settings& s, const std::vector<Endpoint>& hosts) {
  auto d = std::make_unique<Driver>(s, 0);
  d->balancer.onEndpoints(d->now, EndpointListKind::snapshot, hosts);
  d->collect();
  return d;
}

void tell(Driver& d, EndpointListKind kind, const std::vector<Endpoint>& hosts) {
  d.balancer.onEndpoints(d.now, kind, hosts);
  d.collect();
}

/// The address of the host that serves one request, some two hundred of which fill a second: with fewer a key
/// is spread by chance.
std::string served(Driver& d, std::uint32_t cls = kRead, std::uint64_t key = 0) {
  const std::size_t before = d.sent.size();
  d.request(cls, milliseconds(1000), key);
  if (d.sent.size() == before)
    return "none";
  const Sent sent = d.lastSent();
  d.advance(milliseconds(5));
  d.serve(sent);
  return d.balancer.address(sent.host);
}

std::set<std::string> servedBy(Driver& d, int requests, std::uint32_t cls = kRead) {
  std::set<std::string> all;
  for (int i = 0; i < requests; ++i)
    all.insert(served(d, cls));
  return all;
}

std::map<std::uint64_t, std::string> placesOf(Driver& d, std::uint64_t keys) {
  std::map<std::uint64_t, std::string> places;
  for (std::uint64_t key = 1; key <= keys; ++key)
    places[key] = served(d, kRead, key * 7919);
  return places;
}

std::size_t moved(const std::map<std::uint64_t, std::string>& before,
                  const std::map<std::uint64_t, std::string>& after) {
  std::size_t count = 0;
  for (const auto& [key, place] : before)
    count += after.at(key) != place;
  return count;
}

// --- Keys -----------------------------------------------------------------------------------------------

TEST(Candidates, AKeyHasTheSameHostAtAllGateways) {
  std::map<std::uint64_t, std::string> first;
  for (std::uint32_t number : {0u, 1u, 17u, 399u}) {
    Settings s = settingsOf(16, 400, number);
    s.keyAffinity = true;
    const auto d = driverOf(s, hostsOf(300));
    const auto places = placesOf(*d, 200);
    if (first.empty())
      first = places;
    EXPECT_EQ(places, first) << "gateway " << number;
  }
}

TEST(Candidates, KeysStayWhereTheyAreAsServersJoinAndLeave) {
  Settings s = settingsOf(16);
  s.keyAffinity = true;
  constexpr std::uint64_t keys = 1000;
  const std::vector<Endpoint> hosts = hostsOf(201);
  const std::vector<Endpoint> fewer(hosts.begin(), hosts.end() - 1);
  const auto few = placesOf(*driverOf(s, fewer), keys), many = placesOf(*driverOf(s, hosts), keys);
  EXPECT_GT(moved(few, many), 0u) << "the new one serves some";
  EXPECT_LT(moved(few, many), 4 * keys / hosts.size());

  const auto joined = driverOf(s, fewer);
  tell(*joined, EndpointListKind::delta, {hosts.back()});
  EXPECT_EQ(placesOf(*joined, keys), many) << "told of as an update or in the first list";
  Endpoint gone = hosts.back();
  gone.state = EndpointState::removed;
  const auto left = driverOf(s, hosts);
  tell(*left, EndpointListKind::delta, {gone});
  EXPECT_EQ(placesOf(*left, keys), few);
}

TEST(Candidates, KeysAreSpreadEvenlyOverTheServers) {
  Settings s = settingsOf(32);
  s.keyAffinity = true;
  constexpr int hosts = 500, each = 100;
  const auto d = driverOf(s, hostsOf(hosts));
  std::map<std::string, int> count;
  for (const auto& [key, place] : placesOf(*d, hosts * each))
    ++count[place];
  EXPECT_EQ(count.size(), static_cast<std::size_t>(hosts));
  double squares = 0;
  for (const auto& [place, n] : count)
    squares += std::pow(n - each, 2);
  const double deviation = std::sqrt(squares / hosts) / each;
  EXPECT_LT(deviation, 0.16) << "0.10 come of the keys' own chance";
}

TEST(Candidates, AFavouriteKeyIsSharedByMoreHostsThanTheCandidates) {
  Settings s = settingsOf(8, 100);
  s.keyAffinity = true;
  const auto d = driverOf(s, hostsOf(300));
  for (int i = 0; i < 400; ++i) {  // one request a second: one of many gateways
    d->advance(seconds(1), milliseconds(100));
    served(*d, kRead, 5);
  }
  d->forget();
  std::set<std::string> places;
  for (int i = 0; i < 200; ++i)
    places.insert(served(*d, kRead, 5));
  EXPECT_GT(places.size(), 16u);
}

// --- Servers and gateways that come and go
// ------------------------------------------------------------------

TEST(Candidates, DrainingAndGoneServersGetNothingAndNewOnesTheirPart) {
  for (bool keyed : {false, true}) {
    Settings s = settingsOf(8, 8);
    s.keyAffinity = keyed;
    std::vector<Endpoint> hosts = hostsOf(60);
    const auto d = driverOf(s, hosts);
    for (std::size_t i = 0; i < hosts.size(); i += 2)
      hosts[i].state = i % 4 ? EndpointState::draining : EndpointState::removed;
    tell(*d, EndpointListKind::delta, hosts);
    std::set<std::string> allowed;
    for (const Endpoint& e : hosts)
      if (e.state == EndpointState::serving)
        allowed.insert(e.address);
    for (std::uint64_t i = 1; i <= 300; ++i)
      EXPECT_EQ(allowed.count(served(*d, kRead, keyed ? i : 0)), 1u) << "request " << i;
    for (Endpoint& e : hosts)
      e.state = EndpointState::serving;
    tell(*d, EndpointListKind::delta, hosts);
    std::set<std::string> back;
    for (std::uint64_t i = 1; i <= 600; ++i) {
      const std::string place = served(*d, kRead, keyed ? i : 0);
      if (!allowed.count(place))
        back.insert(place);
    }
    EXPECT_GE(back.size(), 5u);
  }
}

TEST(Candidates, EveryServerKeepsGateways) {
  const std::pair<std::uint32_t, int> sizes[] = {{4, 40}, {30, 60}, {100, 200}, {410, 600}};
  for (const auto& [gateways, count] : sizes) {
    const std::vector<Endpoint> hosts = hostsOf(count);
    std::map<std::string, std::size_t> kept;
    for (std::uint32_t number = 0; number < gateways; ++number) {
      const auto d = driverOf(settingsOf(8, gateways, number), hosts);
      for (const std::string& host : servedBy(*d, gateways < 10 ? 400 : 150))
        ++kept[host];
    }
    for (const Endpoint& e : hosts)
      EXPECT_GE(kept[e.address], kGatewaysLeast) << e.address << " of " << count;
  }
}

TEST(Candidates, EveryServerKeepsGatewaysAsTheirNumberChanges) {
  const std::vector<Endpoint> hosts = hostsOf(120);
  std::map<std::string, std::size_t> kept;
  for (std::uint32_t number = 0; number < 40; ++number) {
    const auto d = driverOf(settingsOf(8, 100, number), hosts);
    servedBy(*d, 20);
    d->balancer.onSettings(d->now, settingsOf(8, 40, number));
    d->collect();
    for (const std::string& host : servedBy(*d, 300))
      ++kept[host];
  }
  for (const Endpoint& e : hosts)
    EXPECT_GE(kept[e.address], kGatewaysLeast) << e.address;
}

TEST(Candidates, AGatewayThatRestartsChoosesAmongTheSameServers) {
  const std::vector<Endpoint> hosts = hostsOf(400);
  Settings s = settingsOf(8, 100, 37);
  const std::set<std::string> before = servedBy(*driverOf(s, hosts), 600);
  s.seed = 4711;
  EXPECT_EQ(servedBy(*driverOf(s, hosts), 600), before);
  EXPECT_LT(before.size(), hosts.size() / 4);
}

// --- Search that has to go on
// -------------------------------------------------------------------------------

TEST(Candidates, ALostZoneThatHoldsTheWholePartIsLeft) {
  const std::vector<Endpoint> hosts = hostsOf(300);
  const auto d = driverOf(settingsOf(8, 100, 5), hosts);
  const std::set<std::string> own = servedBy(*d, 600);
  std::vector<Endpoint> zoned = hosts;  // the same addresses, all of this gateway's own in one zone
  for (Endpoint& e : zoned)
    e.zone = own.count(e.address) ? "lost" : "kept";
  tell(*d, EndpointListKind::delta, zoned);
  // The zone is lost, and discovery does not tell yet: nothing can be opened there.
  std::size_t atLost = 0, answered = 0;
  for (int i = 0; i < 300; ++i) {
    if (i == 200)
      atLost = answered = 0;  // by then it is known
    const RequestId id = d->request(kRead);
    while (!d->out.empty()) {
      const Sent sent = d->out.front();
      const bool lost = own.count(d->balancer.address(sent.host)) > 0;
      d->settle(sent, lost ? Outcome::connectFailed : Outcome::served, !lost);
      atLost += lost;
      answered += !lost;
    }
    EXPECT_TRUE(i < 200 || !d->refused(id));
    d->advance(milliseconds(5));
  }
  EXPECT_EQ(answered, 100u);
  EXPECT_LE(atLost, 20u) << "trials of those that rested";
  // Discovery tells: not one more, and none refused.
  std::vector<Endpoint> gone;
  for (Endpoint e : zoned)
    if (e.zone == "lost")
      e.state = EndpointState::removed, gone.push_back(e);
  tell(*d, EndpointListKind::delta, gone);
  for (int i = 0; i < 100; ++i) {
    const std::string place = served(*d);
    EXPECT_NE(place, "none");
    EXPECT_EQ(own.count(place), 0u);
  }
}

// Every host but one rests; what is looked at first is never that one.
TEST(Candidates, TheOneReadyHostIsFoundWhereverItStands) {
  for (bool keyed : {false, true}) {
    Settings s = settingsOf(4, 50, 3);
    s.keyAffinity = keyed;
    s.maxAttempts = 1;
    const std::vector<Endpoint> hosts = hostsOf(120);
    for (const std::size_t ready : {0, 31, 77, 119}) {
      std::vector<Endpoint> others = hosts;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(ready));
      const auto d = driverOf(s, others);
      std::set<HostId> resting;
      for (std::uint64_t i = 1; resting.size() < others.size() && i < 20000; ++i) {
        const std::size_t before = d->sent.size();
        d->request(kRead, milliseconds(1000), keyed ? i : 0);
        ASSERT_GT(d->sent.size(), before);
        const Sent sent = d->lastSent();
        resting.insert(sent.host);
        d->settle(sent, Outcome::connectFailed, false);
      }
      ASSERT_EQ(resting.size(), others.size()) << "all rest within the same half second";
      tell(*d, EndpointListKind::delta, {hosts[ready]});
      for (std::uint64_t i = 1; i <= 20; ++i) {
        d->request(kRead, milliseconds(1000), keyed ? i : 0);
        EXPECT_EQ(d->balancer.address(d->lastSent().host), hosts[ready].address);
        d->serve(d->lastSent());
      }
    }
  }
}

TEST(Candidates, WhereNoHostIsReadyThoseThatTheRulesAllowAreTaken) {
  for (bool keyed : {false, true}) {
    Settings s = settingsOf(4, 50, 3);
    s.keyAffinity = keyed;
    s.maxAttempts = 1;
    const auto d = driverOf(s, hostsOf(40));
    for (std::uint64_t i = 1; i <= 2000; ++i) {
      const std::size_t before = d->sent.size();
      d->request(kRead, milliseconds(1000), keyed ? i : 0);
      ASSERT_GT(d->sent.size(), before) << "request " << i;
      d->settle(d->lastSent(), Outcome::connectFailed, false);
    }
  }
}

TEST(Candidates, ARepeatStaysInItsCellHoweverFewLieThere) {
  constexpr std::uint32_t put = 2;  // the class that is repeated within a cell
  const auto d = driverOf(settingsOf(4, 50, 3), hostsOf(400));
  for (int i = 0; i < 100; ++i) {
    for (int k = 0; k < 4; ++k)
      served(*d);  // each earns a part of a resend
    d->request(put);
    const Sent first = d->lastSent();
    d->advance(milliseconds(5));
    d->settle(first, Outcome::error, false);
    const Sent second = d->lastSent();
    ASSERT_EQ(second.request, first.request);
    ASSERT_EQ(second.attempt, 1u) << "another of its cell was ready";
    const auto number = [&](const Sent& s) { return std::stoi(d->balancer.address(s.host).substr(5)) - 100; };
    EXPECT_EQ(number(first) / 4, number(second) / 4);
    EXPECT_NE(first.host, second.host);
    d->serve(second);
  }
}

TEST(Candidates, AClassStaysInItsZonesAndKinds) {
  for (bool keyed : {false, true}) {
    Settings s = settingsOf(4, 20, 7);
    s.keyAffinity = keyed;
    s.classes[0].zones = {"west"};
    s.classes[1].zones = {"west"};
    s.classes[1].machineTypes = {"rare"};
    s.classes[2].machineTypes = std::vector<std::string>{};
    std::vector<Endpoint> hosts = hostsOf(300);
    hosts[100].machineType = "rare";  // in the west
    hosts[104].machineType = "rare";  // in the south
    const auto d = driverOf(s, hosts);
    std::set<std::string> places;
    for (std::uint64_t i = 1; i <= 300; ++i) {
      const std::string place = served(*d, 0, keyed ? i : 0);
      places.insert(place);
      EXPECT_EQ((std::stoi(place.substr(5)) - 100) / 4 % 3, 1) << place;
    }
    EXPECT_GE(places.size(), 4u);
    for (std::uint64_t i = 1; i <= 20; ++i)
      EXPECT_EQ(served(*d, 1, keyed ? i : 0), hosts[100].address) << "the only one of both";
    EXPECT_TRUE(d->refused(d->request(2))) << "an empty list allows none";
  }
}

// --- Cold servers
// -------------------------------------------------------------------------------------------

TEST(Candidates, ThirtyGatewaysTogetherKeepToAColdServersBudget) {
  for (bool keyed : {false, true}) {
    Settings s = makeSettings();
    s.keyAffinity = keyed;
    s.candidates = 8;
    constexpr int hosts = 60;
    Bank bank(s, 30, hosts);
    bank.run(10, 20);
    bank.forget();
    bank.run(2, 20);
    double warm = 0;
    for (int h = 0; h < hosts; ++h)
      warm += static_cast<double>(bank.sentTo(h)) / hosts;
    bank.tell(EndpointListKind::delta, hosts, hosts + 1, bank.now());
    for (int window = 0; window < 3; ++window) {
      bank.forget();
      bank.run(2, 20);
      const double share = 0.2 + 0.8 * (2 * window) / 10;  // what it can do at least when the window begins
      const double budget = 3 * share * warm;              // what fells it
      const auto got = static_cast<double>(bank.sentTo(hosts));
      EXPECT_LT(got, budget) << "window " << window;
      EXPECT_LT(got, budget + 2 * std::sqrt(budget) + 2);
    }
  }
}

// --- Settings
// -----------------------------------------------------------------------------------------------

// With no setting for it, a fleet several times the usual one is chosen from by its candidates only.
TEST(Candidates, ALargeFleetTurnsThemOnByItself) {
  constexpr int kUsual = 500, kLarge = 1000;
  Settings s = settingsOf(0, 200);
  s.keyAffinity = true;
  const auto usual = driverOf(s, hostsOf(kUsual)), large = driverOf(s, hostsOf(kLarge));
  EXPECT_GT(servedBy(*usual, 400).size(), 100u);
  const std::size_t met = servedBy(*large, 400).size();
  EXPECT_GE(met, 6u);
  EXPECT_LE(met, 64u);
}

TEST(Candidates, AFleetThatShrinksIsChosenFromInFullAgain) {
  const Settings s = settingsOf(0);
  const auto d = driverOf(s, hostsOf(1000));
  tell(*d, EndpointListKind::snapshot, hostsOf(100));
  EXPECT_EQ(servedBy(*d, 3000).size(), 100u);
  tell(*d, EndpointListKind::snapshot, hostsOf(1000));
  for (int i = 0; i < 100; ++i)
    EXPECT_NE(served(*d), "none");
}

TEST(Candidates, TurnedOnAndOffUnderWay) {
  const std::vector<Endpoint> hosts = hostsOf(200);
  Settings s = settingsOf(0, 20, 3);
  s.keyAffinity = true;
  const auto d = driverOf(s, hosts);
  for (std::uint64_t round = 0; round < 6; ++round) {
    const RequestId open = d->request(kRead, milliseconds(1000), 77);
    const Sent sent = d->lastSent();
    s.candidates = round % 2 ? 0 : 8;
    d->balancer.onSettings(d->now, s);
    d->collect();
    for (std::uint64_t i = 1; i <= 50; ++i)
      EXPECT_NE(served(*d, kRead, i % 2 ? i : 0), "none");
    d->serve(sent);
    EXPECT_FALSE(d->refused(open));
  }
}

}  // namespace
}  // namespace hollyrun::balancer::testing
