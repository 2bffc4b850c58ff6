// The model of the platform: scenarios, the record server, the rules' checker, days, results.
#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>

#include "lab/report/experiment.hpp"
#include "lab/report/report.hpp"
#include "lab/report/store.hpp"
#include "lab/simulation/cost.hpp"
#include "lab/simulation/scenario.hpp"

namespace hollyrun::lab {
namespace {

using namespace balancer;
using std::chrono::milliseconds;

std::string shortScenario(const std::string& name) {
  return HOLLYRUN_SCENARIOS "/short/" + name + ".toml";
}

class Folder {
 public:
  Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "lab-test-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  std::string file(const std::string& name, const std::string& text = {}) const {
    const std::string path = (path_ / name).string();
    if (!text.empty())
      std::ofstream(path) << text;
    return path;
  }

 private:
  std::filesystem::path path_;
};

std::string faultsOf(const std::string& file, const std::vector<std::string>& set = {}) {
  try {
    readScenario(file, set);
  } catch (const ScenarioError& e) {
    return e.what();
  }
  return {};
}

// --- Scenarios ------------------------------------------------------------------------------------------

TEST(ScenarioTest, AllFaultsAreNamedWithFileLineAndKey) {
  Folder folder;
  const std::string file =
      folder.file("bad.toml", "extends = \"" + shortScenario("calm") +
                                  "\"\n[load]\nlevle = 3\nlevel = \"high\"\n[[class]]\nname = \"a\"\n"
                                  "aim_ms = -1\n[[trouble]]\nkind = \"storm\"\n");
  const std::string faults = faultsOf(file);
  EXPECT_NE(faults.find(file + ":3: load.levle: unknown key"), std::string::npos) << faults;
  EXPECT_NE(faults.find(file + ":4: load.level: has to be a number"), std::string::npos) << faults;
  EXPECT_NE(faults.find(file + ":7: class[0].aim_ms: has to be 1 or more"), std::string::npos) << faults;
  EXPECT_NE(faults.find(file + ":9: trouble[0].kind: 'storm' is none of"), std::string::npos) << faults;
}

TEST(ScenarioTest, BrokenTomlAndMissingFilesAreNamed) {
  Folder folder;
  const std::string file = folder.file("broken.toml", "[load\nlevel = 1\n");
  EXPECT_NE(faultsOf(file).find(file + ":1"), std::string::npos) << faultsOf(file);
  EXPECT_NE(faultsOf(folder.file("none.toml")).find("none.toml"), std::string::npos);
  const std::string zone =
      folder.file("zone.toml", "extends = \"" + shortScenario("calm") +
                                   "\"\n\n[[trouble]]\nkind = \"zone\"\nzone = \"nowhere\"\n");
  EXPECT_EQ(faultsOf(zone), zone + ":3: trouble[0].zone: 'nowhere' is none of fleet.zones");
  const std::string loop = folder.file("loop.toml", "extends = \"loop.toml\"\n");
  EXPECT_NE(faultsOf(loop).find("circle"), std::string::npos) << faultsOf(loop);
}

TEST(ScenarioTest, ExtendedFilesAndTheCommandLineGoOverTheBase) {
  const Scenario base = readScenario(shortScenario("calm"));
  EXPECT_EQ(base.name, "calm");
  EXPECT_EQ(base.lengthS, 6);
  EXPECT_EQ(base.classes.size(), 3u);  // of the file that it extends
  const Scenario set = readScenario(shortScenario("calm"), {"load.level=[0.1, 0.2]", "day.length_s=3"});
  EXPECT_EQ(set.lengthS, 3);
  EXPECT_EQ(set.level.low, 0.1);
  EXPECT_NE(faultsOf(shortScenario("calm"), {"load.level=true"}).find("load.level"), std::string::npos);
}

// --- The record server ----------------------------------------------------------------------------------

ServerFigures figures(double cores = 1, double speed = 1) {
  ServerFigures f;
  f.cores = cores;
  f.speed = speed;
  f.slots = static_cast<std::size_t>(cores);
  f.room = 3;
  return f;
}

Time at(double s) {
  return seconds(1000 + s);
}

TEST(ServerTest, WorksAtItsSpeedInTurnAndTurnsAwayWhatHasNoRoom) {
  Server server(figures(1, 2));
  for (std::uint32_t i = 0; i < 4; ++i)
    EXPECT_TRUE(server.offer(at(0), {i, 0.1, 0, false, at(9)}));
  EXPECT_FALSE(server.offer(at(0), {4, 0.1, 0, false, at(9)}));
  server.advance(at(1));
  ASSERT_EQ(server.ended().size(), 4u);
  for (std::uint32_t i = 0; i < 4; ++i) {
    EXPECT_EQ(server.ended()[i].attempt, i);
    EXPECT_NEAR(inSeconds(server.ended()[i].at - at(0)), 0.05 * (i + 1), 1e-6);
  }
}

TEST(ServerTest, APauseHoldsWorkUpAndASlowSpellStretchesIt) {
  Server server(figures());
  server.offer(at(0), {0, 0.1, 0, false, at(9)});
  server.pause(at(0.05), true);
  EXPECT_FALSE(server.nextEnd());
  server.pause(at(1.05), false);
  server.slow(at(1.05), 4);
  server.advance(at(2));
  ASSERT_EQ(server.ended().size(), 1u);
  EXPECT_NEAR(inSeconds(server.ended()[0].at - at(0)), 1.25, 1e-6);
}

TEST(ServerTest, AKnownKeyIsLessWorkForAWhile) {
  ServerFigures f = figures();
  f.warmGain = 0.5;
  f.warmKeepS = 2;
  Server server(f);
  const double starts[] = {0, 1, 9};
  const double takes[] = {0.1, 0.05, 0.1};  // cold, warm, forgotten
  for (std::uint32_t i = 0; i < 3; ++i) {
    server.offer(at(starts[i]), {i, 0.1, 77, true, at(99)});
    server.advance(at(starts[i] + 0.5));
    EXPECT_NEAR(inSeconds(server.ended().back().at - at(starts[i])), takes[i], 1e-6) << i;
  }
}

TEST(ServerTest, ACrowdedServerJamsUntilItHasRested) {
  ServerFigures f = figures();
  f.room = 100;
  f.chokes = true;
  f.chokeAt = 4;
  f.chokeOverS = 1;
  f.chokeSlower = 3;
  f.chokeRestS = 2;
  f.chokeMostS = 60;
  Server server(f);
  for (std::uint32_t i = 0; i < 40; ++i)
    server.offer(at(0), {i, 0.1, 0, false, at(99)});
  double jammed = 0, rested = 0;
  for (double t = 0; t < 30; t += 0.05) {
    server.advance(at(t));
    if (server.choked() && jammed == 0)
      jammed = t;
    if (!server.choked() && jammed > 0 && rested == 0)
      rested = t;
  }
  EXPECT_NEAR(jammed, 0.55, 0.1);
  // 34 requests at a third of the speed are some ten seconds; then it rests.
  EXPECT_NEAR(rested, 0.55 + 10.4 + 2 + 0.6, 0.4);
  ASSERT_EQ(server.chokes().size(), 1u);
}

TEST(ServerTest, AColdServerGrowsWarmAndFallsUnderAFlood) {
  ServerFigures f = figures();
  f.coldFrom = 0.2;
  f.coldS = 10;
  Server server(f);
  server.restart(at(0));
  EXPECT_NEAR(server.capacity(), 0.2, 1e-9);
  server.advance(at(5));
  EXPECT_NEAR(server.capacity(), 0.6, 1e-6);
  server.advance(at(11));
  EXPECT_FALSE(server.cold());
  server.restart(at(20));
  double share = 0;
  bool fell = false;
  double sent = 0;
  while (!fell && sent < 5)
    fell = server.overdriven(at(20), 0.05, sent > 0.2, 4, 1, share), sent += 0.05;
  EXPECT_NEAR(sent, 4 * 0.2 + 0.1, 0.06);  // the budget, the largest request left out
  EXPECT_GT(share, 0.5);
}

// --- The rules ------------------------------------------------------------------------------------------

struct Rules : ::testing::Test {
  Checker checker{{milliseconds(20), seconds(1), false}};
  ClassSettings set;
  Endpoint here;
  Rules() {
    set.idempotency = Idempotency::none;
    here.address = "10.0.0.1:80";
    here.cell = 1;
  }
  std::string broken() const {
    return checker.breaches().empty() ? "" : nameOf(checker.breaches().back().rule);
  }
};

TEST_F(Rules, AnAnswerInTimeKeepsThemAndALateOneDoesNot) {
  checker.taken(1, set, at(1));
  checker.answered(at(1.01), 1, true);
  checker.due(at(1.03), 1);
  EXPECT_EQ(broken(), "");
  checker.taken(2, set, at(1));
  checker.due(at(1.03), 2);
  EXPECT_EQ(broken(), "lost");
}

TEST_F(Rules, AnUnsafeRequestIsSentAgainOnlyAfterProofThatItNeverRan) {
  checker.taken(1, set, at(1));
  checker.sent(at(0), 0, 1, 0, here);
  checker.outcome(1, 0, Outcome::rejected);
  checker.sent(at(0.1), 0, 1, 0, here);
  EXPECT_EQ(broken(), "");
  checker.outcome(1, 1, Outcome::reset);
  checker.sent(at(0.2), 0, 1, 0, here);
  EXPECT_EQ(broken(), "duplicate");
}

TEST_F(Rules, ARefusalOfWhatMayHaveRunIsADuplicate) {
  checker.taken(1, set, at(1));
  checker.sent(at(0), 0, 1, 0, here);
  checker.outcome(1, 0, Outcome::timeout);
  checker.answered(at(0.5), 1, false);
  EXPECT_EQ(broken(), "");
  checker.taken(2, set, at(1));
  checker.sent(at(0), 0, 2, 0, here);
  checker.outcome(2, 0, Outcome::timeout);
  checker.answered(at(0.5), 2, true);
  EXPECT_EQ(broken(), "duplicate");
}

TEST_F(Rules, AKeyedRequestRepeatsWithinItsBayAndWindow) {
  set.idempotency = Idempotency::keyed;
  set.deduplicationScope = DeduplicationScope::cell;
  set.deduplicationWindow = seconds(2);
  checker.taken(1, set, at(9));
  checker.sent(at(0), 0, 1, 0, here);
  checker.outcome(1, 0, Outcome::timeout);
  checker.sent(at(1), 0, 1, 1, here);
  EXPECT_EQ(broken(), "");
  checker.outcome(1, 1, Outcome::timeout);
  Endpoint there = here;
  there.cell = 2;
  checker.sent(at(1.5), 0, 1, 2, there);
  EXPECT_EQ(checker.breaches().size(), 1u);
  checker.outcome(1, 2, Outcome::rejected);
  checker.sent(at(2.5), 0, 1, 1, here);
  EXPECT_EQ(checker.breaches().back().what, "repeated past the window");
}

TEST_F(Rules, ADrainingServerGetsNothingNewAfterTheGrace) {
  set.idempotency = Idempotency::idempotent;
  checker.told(at(0), 3, 0, EndpointState::draining);
  checker.told(at(0.9), 3, 0, EndpointState::removed);  // counts from the first word
  checker.taken(1, set, at(9));
  checker.sent(at(0.95), 3, 1, 0, here);
  checker.outcome(1, 0, Outcome::rejected);
  checker.sent(at(1.1), 4, 1, 0, here);  // another gateway, not told
  checker.outcome(1, 1, Outcome::rejected);
  EXPECT_EQ(broken(), "");
  checker.sent(at(1.1), 3, 1, 0, here);
  EXPECT_EQ(broken(), "drain");
}

// A policy that breaks one rule on purpose, so that the whole way to the checker is seen to work.
class Faulty final : public Policy {
 public:
  enum class Fault { silent, repeats, ignoresDrains, floodsCold, none };
  explicit Faulty(Fault fault) : fault_(fault) {}
  void onSettings(Time, const Settings&) override {}
  void onEndpoints(Time, EndpointListKind kind, const std::vector<Endpoint>& entries) override {
    if (kind != EndpointListKind::delta && fault_ != Fault::ignoresDrains)
      for (Endpoint& h : hosts_)
        h.state = EndpointState::removed;
    for (const Endpoint& e : entries) {
      HostId id = findHost(e.address);
      if (id == balancer::kNone)
        id = static_cast<HostId>(hosts_.size()), hosts_.push_back(e);
      hosts_[id] = e;
      if (fault_ == Fault::ignoresDrains)
        hosts_[id].state = EndpointState::serving;
    }
  }
  void onRequest(Time now, const Request& q) override {
    if (fault_ == Fault::silent && q.id % 50 == 0)
      return;
    deadline_[q.id] = now + q.remaining;
    send(now, q.id, 0);
  }
  void onResult(Time now, const AttemptResult& r) override {
    if (r.terminal || r.outcome == Outcome::abandoned)
      return;
    if (fault_ == Fault::repeats && r.attempt == 0 && now < deadline_[r.request])
      return send(now, r.request, 1);
    end(ActionKind::fail, r.request);
  }
  void onClientDisconnected(Time, RequestId) override {}
  void onWake(Time) override {}
  std::vector<Action>& actions() override { return actions_; }
  HostId findHost(std::string_view address) const override {
    for (HostId i = 0; i < hosts_.size(); ++i)
      if (hosts_[i].address == address)
        return i;
    return balancer::kNone;
  }
  const std::string& address(HostId host) const override { return hosts_.at(host).address; }

 private:
  void end(ActionKind kind, RequestId id) {
    Action& action = actions_.emplace_back();
    action.kind = kind;
    action.request = id;
  }
  void send(Time now, RequestId id, std::uint32_t attempt) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const HostId host = static_cast<HostId>((id + i) % hosts_.size());
      const bool cold = hosts_[host].upSince > Time{};
      if (hosts_[host].state != EndpointState::serving || (fault_ != Fault::floodsCold && cold))
        continue;
      const bool better = fault_ == Fault::floodsCold && !cold && anyCold();
      if (better)
        continue;
      // Short attempts, so that the repeating one has something to repeat.
      const Duration limit = fault_ == Fault::repeats ? Duration(milliseconds(30)) : deadline_[id] - now;
      Action& send = actions_.emplace_back();
      send.kind = ActionKind::send;
      send.request = id;
      send.attempt = attempt;
      send.host = host;
      send.timeLimit = limit;
      return;
    }
    end(ActionKind::reject, id);
  }
  bool anyCold() const {
    for (const Endpoint& h : hosts_)
      if (h.state == EndpointState::serving && h.upSince > Time{})
        return true;
    return false;
  }
  Fault fault_;
  std::vector<Endpoint> hosts_;
  std::vector<Action> actions_;
  std::map<RequestId, Time> deadline_;
};

Result playFaulty(Faulty::Fault fault) {
  const Scenario s = readScenario(shortScenario("release"), {"load.level=0.4"});
  return play(s, 3, "faulty", [fault](const Settings&, Time, const OmniscientView&) {
    return std::make_unique<Faulty>(fault);
  });
}

TEST(CheckedDayTest, EachBrokenRuleIsFoundAndNoOther) {
  const std::pair<Faulty::Fault, Rule> faults[] = {{Faulty::Fault::silent, Rule::lost},
                                                   {Faulty::Fault::repeats, Rule::duplicate},
                                                   {Faulty::Fault::ignoresDrains, Rule::drain},
                                                   {Faulty::Fault::floodsCold, Rule::fall}};
  for (const auto& [fault, rule] : faults) {
    const Result r = playFaulty(fault);
    ASSERT_FALSE(r.breaches.empty()) << nameOf(rule);
    for (const Breach& b : r.breaches)
      EXPECT_EQ(b.rule, rule) << lineOf(b);
  }
  EXPECT_TRUE(playFaulty(Faulty::Fault::none).breaches.empty());
}

// --- Days -----------------------------------------------------------------------------------------------

TEST(DayTest, TheModuleKeepsTheRulesOnTheShortScenarios) {
  for (const char* name : {"calm", "release", "troubles"}) {
    const Scenario s = readScenario(shortScenario(name));
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const Result r = play(s, seed, "module", policyNamed("module"));
      for (const Breach& b : r.breaches)
        ADD_FAILURE() << name << " seed " << seed << ": " << lineOf(b);
      EXPECT_GT(r.whole, 0.3) << name << " seed " << seed;
      EXPECT_LE(r.whole, 1.0);
      std::uint64_t calls = 0;
      for (const ClassRecord& c : r.classes) {
        EXPECT_EQ(c.calls, c.inTime + c.late + c.refused + c.failed) << name;
        calls += c.calls;
      }
      EXPECT_EQ(calls, r.calls);
    }
  }
}

TEST(DayTest, TheSameSeedGivesTheSameDayWhateverTheThreads) {
  const Scenario s = readScenario(shortScenario("troubles"));
  std::vector<Day> days;
  for (std::uint64_t seed : {1, 1, 2, 1})
    days.push_back({&s, "module", seed});
  const std::vector<Result> many = playAll(days, 4, true, nullptr), one = playAll(days, 1, true, nullptr);
  for (std::size_t i = 0; i < days.size(); ++i)
    EXPECT_EQ(textOf(many[i]), textOf(one[i]));
  EXPECT_EQ(textOf(many[0]), textOf(many[3]));
  EXPECT_EQ(many[0].servers[0].held, many[1].servers[0].held);
  EXPECT_NE(textOf(many[0]), textOf(many[2]));
}

TEST(DayTest, AnotherPolicyMeetsTheSameClientsAndServers) {
  const Scenario s = readScenario(shortScenario("calm"));
  const Result a = play(s, 5, "module", policyNamed("module"));
  for (const std::string& name : policyNames()) {
    const Result b = play(s, 5, name, policyNamed(name));
    EXPECT_EQ(a.calls, b.calls) << name;
    ASSERT_EQ(a.servers.size(), b.servers.size());
    for (std::size_t i = 0; i < a.servers.size(); ++i)
      EXPECT_EQ(a.servers[i].speed, b.servers[i].speed) << name;
    for (std::size_t i = 0; i < a.seconds.size(); ++i)
      EXPECT_DOUBLE_EQ(a.seconds[i].asked, b.seconds[i].asked);
  }
}

TEST(DayTest, APartThatDrawsMoreLeavesTheOthersAsTheyWere) {
  const Scenario s = readScenario(shortScenario("calm"));
  const Scenario noisy =
      readScenario(shortScenario("calm"), {"net.jitter=3", "discovery.spread_ms=[0, 900]"});
  const Result a = play(s, 5, "two", policyNamed("two")), b = play(noisy, 5, "two", policyNamed("two"));
  EXPECT_EQ(a.calls, b.calls);
  for (std::size_t i = 0; i < a.servers.size(); ++i)
    EXPECT_EQ(a.servers[i].address, b.servers[i].address);
  for (std::size_t i = 0; i < a.seconds.size(); ++i)
    EXPECT_DOUBLE_EQ(a.seconds[i].asked, b.seconds[i].asked);
}

TEST(DayTest, WhoSeesTheTrueStateServesMoreThanWhoDrawsAtRandom) {
  const Scenario s = readScenario(shortScenario("calm"), {"load.level=0.8"});
  double view = 0, random = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    view += play(s, seed, "truth", policyNamed("truth")).whole;
    random += play(s, seed, "random", policyNamed("random")).whole;
  }
  EXPECT_GT(view, random + 0.1);
}

// --- Results --------------------------------------------------------------------------------------------

TEST(ResultsTest, AStoredDayComesBackWhole) {
  Folder folder;
  const Scenario s = readScenario(shortScenario("troubles"));
  Result r = play(s, 2, "module", policyNamed("module"));
  r.breaches.push_back({Rule::fall, seconds(3), 17, "10.0.0.1:80", "for the test"});
  {
    Store store(folder.file("results.db"));
    store.put("first", {r, r}, true);
    store.put("second", {r}, false);
  }
  Store store(folder.file("results.db"));
  EXPECT_EQ(store.runs().size(), 3u);
  EXPECT_EQ(store.runs("first").size(), 2u);
  const Result back = store.run(1).result;
  EXPECT_EQ(textOf(back), textOf(r));
  EXPECT_EQ(back.servers[1].held, r.servers[1].held);
  EXPECT_EQ(back.servers[1].states, r.servers[1].states);
  EXPECT_TRUE(store.run(3).result.servers.empty());
  EXPECT_THROW(store.run(4), std::runtime_error);
}

TEST(ResultsTest, AFileThatIsNoDatabaseIsNamed) {
  Folder folder;
  const std::string file = folder.file("text.db", std::string(4096, 'x'));
  EXPECT_THROW(Store store(file), std::runtime_error);
}

TEST(ResultsTest, TheReportIsOnePageWithPlots) {
  const Scenario s = readScenario(shortScenario("calm"));
  StoredRun run;
  run.id = 1;
  run.label = "<label>";
  run.result = play(s, 1, "module", policyNamed("module"));
  const std::string html = htmlOf({run});
  EXPECT_NE(html.find("&lt;label&gt;"), std::string::npos);
  std::size_t plots = 0;
  for (std::size_t at = html.find("<svg"); at != std::string::npos; at = html.find("<svg", at + 1))
    ++plots;
  EXPECT_EQ(plots, 6u);
}

TEST(ExperimentTest, SeedsAreReadOrTurnedDown) {
  EXPECT_EQ(seedsFrom("7"), (std::vector<std::uint64_t>{7}));
  EXPECT_EQ(seedsFrom("1-3,9"), (std::vector<std::uint64_t>{1, 2, 3, 9}));
  for (const char* bad : {"", "x", "3-1", "1,", "1-", "-2", "1 2", "99999999999999999999"})
    EXPECT_THROW(seedsFrom(bad), std::invalid_argument) << bad;
}

TEST(ExperimentTest, TheIntervalIsStudents) {
  const Estimate e = estimate({1, 2, 3, 4, 5});
  EXPECT_DOUBLE_EQ(e.mean, 3);
  EXPECT_NEAR(e.half, 2.776 * std::sqrt(2.5 / 5), 1e-3);  // t of 4 degrees at 97.5 %
  EXPECT_TRUE(std::isinf(estimate({1}).half));
  EXPECT_EQ(estimate({-1, 0, 2}).better, 1u);
}

// --- Cost of the module ---------------------------------------------------------------------------------

CostRow costOf(std::size_t hosts, std::size_t tenants, std::uint32_t candidates = 0, std::uint64_t seed = 1) {
  CostSettings size;
  size.hosts = hosts;
  size.tenants = tenants;
  size.candidates = candidates;
  size.seed = seed;
  size.requests = 1500;
  return measureCost(size);
}

TEST(CostTest, TheSameSettingsGiveTheSameActions) {
  const CostRow first = costOf(50, 20), again = costOf(50, 20);
  EXPECT_GT(first.actions, 1500u);
  EXPECT_EQ(first.digest, again.digest);
  EXPECT_NE(first.digest, costOf(50, 20, 0, 2).digest);
}

// Shape only: processor time on one machine against itself, in the median over the requests and the least of
// three plays, for others use the machine, too.
double leastMedianOf(std::size_t hosts, std::size_t tenants, std::uint32_t candidates) {
  double least = costOf(hosts, tenants, candidates).requestMedianNs;
  for (int i = 0; i < 2; ++i)
    least = std::min(least, costOf(hosts, tenants, candidates).requestMedianNs);
  return least;
}

TEST(CostTest, ARequestCostsHardlyMoreWithManyTenants) {
  EXPECT_LT(leastMedianOf(200, 27000, 0), 2.5 * leastMedianOf(200, 0, 0));
}

TEST(CostTest, ARequestWithCandidatesCostsHardlyMoreWithFourTimesTheServers) {
  EXPECT_LT(leastMedianOf(4800, 0, 32), 2.5 * leastMedianOf(1200, 0, 32));
}

}  // namespace
}  // namespace hollyrun::lab
