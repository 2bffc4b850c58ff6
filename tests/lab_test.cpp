// Tests of the simulated platform: scenarios, the server model, the checker of the rules, simulated days and
// results.
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

class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "lab-test-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
  std::string file(const std::string& name, const std::string& text = {}) const {
    const std::string path = (path_ / name).string();
    if (!text.empty())
      std::ofstream(path) << text;
    return path;
  }

 private:
  std::filesystem::path path_;
};

std::string errorsOf(const std::string& file, const std::vector<std::string>& set = {}) {
  try {
    readScenario(file, set);
  } catch (const ScenarioError& e) {
    return e.what();
  }
  return {};
}

// --- Scenarios ------------------------------------------------------------------------------------------

TEST(ScenarioTest, ReportsAllErrorsWithFileLineAndKey) {
  TemporaryDirectory directory;
  const std::string file =
      directory.file("bad.toml", "extends = \"" + shortScenario("calm") +
                                     "\"\n[load]\nlevle = 3\nlevel = \"high\"\n[[class]]\nname = \"a\"\n"
                                     "aim_ms = -1\n[[trouble]]\nkind = \"storm\"\n");
  const std::string errors = errorsOf(file);
  EXPECT_NE(errors.find(file + ":3: load.levle: unknown key"), std::string::npos) << errors;
  EXPECT_NE(errors.find(file + ":4: load.level: expected a number"), std::string::npos) << errors;
  EXPECT_NE(errors.find(file + ":7: class[0].aim_ms: is -1, expected 1 or more"), std::string::npos)
      << errors;
  EXPECT_NE(errors.find(file + ":9: trouble[0].kind: unknown value 'storm', expected one of"),
            std::string::npos)
      << errors;
}

TEST(ScenarioTest, ReportsBrokenTomlMissingFileUnknownZoneAndCyclicExtends) {
  TemporaryDirectory directory;
  const std::string file = directory.file("broken.toml", "[load\nlevel = 1\n");
  EXPECT_NE(errorsOf(file).find(file + ":1"), std::string::npos) << errorsOf(file);
  EXPECT_NE(errorsOf(directory.file("none.toml")).find("none.toml"), std::string::npos);
  const std::string zone =
      directory.file("zone.toml", "extends = \"" + shortScenario("calm") +
                                      "\"\n\n[[trouble]]\nkind = \"zone\"\nzone = \"nowhere\"\n");
  EXPECT_EQ(errorsOf(zone),
            zone + ":3: trouble[0].zone: unknown zone 'nowhere', expected one of fleet.zones");
  const std::string loop = directory.file("loop.toml", "extends = \"loop.toml\"\n");
  EXPECT_NE(errorsOf(loop).find("cyclic"), std::string::npos) << errorsOf(loop);
}

TEST(ScenarioTest, ExtendingFileAndCommandLineOverrideTheBase) {
  const Scenario base = readScenario(shortScenario("calm"));
  EXPECT_EQ(base.name, "calm");
  EXPECT_EQ(base.durationS, 6);
  EXPECT_EQ(base.classes.size(), 3u) << "the classes of the extended file";
  const Scenario set = readScenario(shortScenario("calm"), {"load.level=[0.1, 0.2]", "day.length_s=3"});
  EXPECT_EQ(set.durationS, 3);
  EXPECT_EQ(set.loadLevel.low, 0.1);
  EXPECT_NE(errorsOf(shortScenario("calm"), {"load.level=true"}).find("load.level"), std::string::npos);
}

// --- The server model -----------------------------------------------------------------------------------

ServerParameters serverParameters(double cores = 1, double speed = 1) {
  ServerParameters parameters;
  parameters.cores = cores;
  parameters.speed = speed;
  parameters.slots = static_cast<std::size_t>(cores);
  parameters.queueCapacity = 3;
  return parameters;
}

Time at(double offsetS) {
  return seconds(1000 + offsetS);
}

TEST(ServerTest, ExecutesRequestsInOrderAtItsSpeedAndRejectsThoseBeyondItsQueue) {
  Server server(serverParameters(1, 2));
  for (std::uint32_t i = 0; i < 4; ++i)
    EXPECT_TRUE(server.offer(at(0), {i, 0.1, 0, false, at(9)}));
  EXPECT_FALSE(server.offer(at(0), {4, 0.1, 0, false, at(9)}));
  server.advance(at(1));
  ASSERT_EQ(server.completed().size(), 4u);
  for (std::uint32_t i = 0; i < 4; ++i) {
    EXPECT_EQ(server.completed()[i].attempt, i);
    EXPECT_NEAR(inSeconds(server.completed()[i].at - at(0)), 0.05 * (i + 1), 1e-6);
  }
}

TEST(ServerTest, PauseAndSlowdownDelayTheCompletion) {
  Server server(serverParameters());
  server.offer(at(0), {0, 0.1, 0, false, at(9)});
  server.setPaused(at(0.05), true);
  EXPECT_FALSE(server.nextCompletion());
  server.setPaused(at(1.05), false);
  server.setSlowdown(at(1.05), 4);
  server.advance(at(2));
  ASSERT_EQ(server.completed().size(), 1u);
  EXPECT_NEAR(inSeconds(server.completed()[0].at - at(0)), 1.25, 1e-6);
}

TEST(ServerTest, CachedKeyReducesTheWorkUntilItExpires) {
  ServerParameters parameters = serverParameters();
  parameters.keyCacheGain = 0.5;
  parameters.keyCacheTtlS = 2;
  Server server(parameters);
  const double startsS[] = {0, 1, 9};
  const double durationsS[] = {0.1, 0.05, 0.1};  // not cached, cached, expired
  for (std::uint32_t i = 0; i < 3; ++i) {
    server.offer(at(startsS[i]), {i, 0.1, 77, true, at(99)});
    server.advance(at(startsS[i] + 0.5));
    EXPECT_NEAR(inSeconds(server.completed().back().at - at(startsS[i])), durationsS[i], 1e-6) << i;
  }
}

TEST(ServerTest, OverloadedServerChokesUntilItHasRecovered) {
  ServerParameters parameters = serverParameters();
  parameters.queueCapacity = 100;
  parameters.chokesEnabled = true;
  parameters.chokeThreshold = 4;
  parameters.chokeDelayS = 1;
  parameters.chokeSlowdown = 3;
  parameters.chokeRecoveryS = 2;
  parameters.maxChokeS = 60;
  Server server(parameters);
  for (std::uint32_t i = 0; i < 40; ++i)
    server.offer(at(0), {i, 0.1, 0, false, at(99)});
  double chokedS = 0, recoveredS = 0;
  for (double t = 0; t < 30; t += 0.05) {
    server.advance(at(t));
    if (server.choked() && chokedS == 0)
      chokedS = t;
    if (!server.choked() && chokedS > 0 && recoveredS == 0)
      recoveredS = t;
  }
  EXPECT_NEAR(chokedS, 0.55, 0.1);
  // The remaining 34 requests take about ten seconds at a third of the speed, then the recovery begins.
  EXPECT_NEAR(recoveredS, 0.55 + 10.4 + 2 + 0.6, 0.4);
  ASSERT_EQ(server.chokes().size(), 1u);
}

TEST(ServerTest, WarmsUpAndReportsOverloadDuringTheWarmup) {
  ServerParameters parameters = serverParameters();
  parameters.initialCapacity = 0.2;
  parameters.warmupS = 10;
  Server server(parameters);
  server.restart(at(0));
  EXPECT_NEAR(server.capacity(), 0.2, 1e-9);
  server.advance(at(5));
  EXPECT_NEAR(server.capacity(), 0.6, 1e-6);
  server.advance(at(11));
  EXPECT_FALSE(server.warmingUp());
  server.restart(at(20));
  double informedShare = 0;
  bool overloaded = false;
  double sentWork = 0;
  while (!overloaded && sentWork < 5)
    overloaded = server.overloadedWhileCold(at(20), 0.05, sentWork > 0.2, 4, 1, informedShare),
    sentWork += 0.05;
  // Four times the initial capacity within the window of 1 s; the largest request does not count.
  EXPECT_NEAR(sentWork, 4 * 0.2 + 0.1, 0.06);
  EXPECT_GT(informedShare, 0.5);
}

// --- The checker of the rules ---------------------------------------------------------------------------

struct CheckerTest : ::testing::Test {
  Checker checker{{milliseconds(20), seconds(1), false}};
  ClassSettings settings;
  Endpoint here;
  CheckerTest() {
    settings.idempotency = Idempotency::none;
    here.address = "10.0.0.1:80";
    here.cell = 1;
  }
  std::string lastBrokenRule() const {
    return checker.breaches().empty() ? "" : nameOf(checker.breaches().back().rule);
  }
};

TEST_F(CheckerTest, AnswerInTimeBreaksNoRuleAndMissingOneDoes) {
  checker.requestAccepted(1, settings, at(1));
  checker.rejectedOrFailed(at(1.01), 1, true);
  checker.answerDue(at(1.03), 1);
  EXPECT_EQ(lastBrokenRule(), "");
  checker.requestAccepted(2, settings, at(1));
  checker.answerDue(at(1.03), 2);
  EXPECT_EQ(lastBrokenRule(), "lost");
}

TEST_F(CheckerTest, NonIdempotentRequestMayBeRetriedOnlyIfItWasNotExecuted) {
  checker.requestAccepted(1, settings, at(1));
  checker.attemptSent(at(0), 0, 1, 0, here);
  checker.attemptEnded(1, 0, Outcome::rejected);
  checker.attemptSent(at(0.1), 0, 1, 0, here);
  EXPECT_EQ(lastBrokenRule(), "");
  checker.attemptEnded(1, 1, Outcome::reset);
  checker.attemptSent(at(0.2), 0, 1, 0, here);
  EXPECT_EQ(lastBrokenRule(), "duplicate");
}

TEST_F(CheckerTest, RejectingARequestThatMayHaveBeenExecutedIsADuplicate) {
  checker.requestAccepted(1, settings, at(1));
  checker.attemptSent(at(0), 0, 1, 0, here);
  checker.attemptEnded(1, 0, Outcome::timeout);
  checker.rejectedOrFailed(at(0.5), 1, false);
  EXPECT_EQ(lastBrokenRule(), "");
  checker.requestAccepted(2, settings, at(1));
  checker.attemptSent(at(0), 0, 2, 0, here);
  checker.attemptEnded(2, 0, Outcome::timeout);
  checker.rejectedOrFailed(at(0.5), 2, true);
  EXPECT_EQ(lastBrokenRule(), "duplicate");
}

TEST_F(CheckerTest, KeyedRequestMayBeRepeatedWithinItsDeduplicationScopeAndWindow) {
  settings.idempotency = Idempotency::keyed;
  settings.deduplicationScope = DeduplicationScope::cell;
  settings.deduplicationWindow = seconds(2);
  checker.requestAccepted(1, settings, at(9));
  checker.attemptSent(at(0), 0, 1, 0, here);
  checker.attemptEnded(1, 0, Outcome::timeout);
  checker.attemptSent(at(1), 0, 1, 1, here);
  EXPECT_EQ(lastBrokenRule(), "");
  checker.attemptEnded(1, 1, Outcome::timeout);
  Endpoint there = here;
  there.cell = 2;
  checker.attemptSent(at(1.5), 0, 1, 2, there);
  EXPECT_EQ(checker.breaches().size(), 1u);
  checker.attemptEnded(1, 2, Outcome::rejected);
  checker.attemptSent(at(2.5), 0, 1, 1, here);
  EXPECT_EQ(checker.breaches().back().what, "repeated after the deduplication window");
}

TEST_F(CheckerTest, AttemptToDrainingServerAfterTheGracePeriodBreaksTheDrainRule) {
  settings.idempotency = Idempotency::idempotent;
  checker.endpointAnnounced(at(0), 3, 0, EndpointState::draining);
  // The grace period counts from the first announcement, not from the later removal.
  checker.endpointAnnounced(at(0.9), 3, 0, EndpointState::removed);
  checker.requestAccepted(1, settings, at(9));
  checker.attemptSent(at(0.95), 3, 1, 0, here);
  checker.attemptEnded(1, 0, Outcome::rejected);
  checker.attemptSent(at(1.1), 4, 1, 0, here);  // a gateway without the announcement
  checker.attemptEnded(1, 1, Outcome::rejected);
  EXPECT_EQ(lastBrokenRule(), "");
  checker.attemptSent(at(1.1), 3, 1, 0, here);
  EXPECT_EQ(lastBrokenRule(), "drain");
}

// A policy that breaks one rule on purpose, to test the path from the simulation to the checker.
class FaultyPolicy final : public Policy {
 public:
  enum class Fault { silent, repeats, ignoresDrains, floodsWarmingUp, none };
  explicit FaultyPolicy(Fault fault) : fault_(fault) {}
  void onSettings(Time, const Settings&) override {}
  void onEndpoints(Time, EndpointListKind kind, const std::vector<Endpoint>& entries) override {
    if (kind != EndpointListKind::delta && fault_ != Fault::ignoresDrains)
      for (Endpoint& host : hosts_)
        host.state = EndpointState::removed;
    for (const Endpoint& entry : entries) {
      HostId id = findHost(entry.address);
      if (id == balancer::kNone)
        id = static_cast<HostId>(hosts_.size()), hosts_.push_back(entry);
      hosts_[id] = entry;
      if (fault_ == Fault::ignoresDrains)
        hosts_[id].state = EndpointState::serving;
    }
  }
  void onRequest(Time now, const Request& request) override {
    if (fault_ == Fault::silent && request.id % 50 == 0)
      return;
    deadlines_[request.id] = now + request.remaining;
    send(now, request.id, 0);
  }
  void onResult(Time now, const AttemptResult& result) override {
    if (result.terminal || result.outcome == Outcome::abandoned)
      return;
    if (fault_ == Fault::repeats && result.attempt == 0 && now < deadlines_[result.request])
      return send(now, result.request, 1);
    end(ActionKind::fail, result.request);
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
      const bool warmingUp = hosts_[host].upSince > Time{};
      if (hosts_[host].state != EndpointState::serving || (fault_ != Fault::floodsWarmingUp && warmingUp))
        continue;
      const bool prefersWarmingUpHost = fault_ == Fault::floodsWarmingUp && !warmingUp && anyWarmingUp();
      if (prefersWarmingUpHost)
        continue;
      // Short time limits make attempts time out, so that the policy has requests to repeat.
      const Duration limit = fault_ == Fault::repeats ? Duration(milliseconds(30)) : deadlines_[id] - now;
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
  bool anyWarmingUp() const {
    for (const Endpoint& host : hosts_)
      if (host.state == EndpointState::serving && host.upSince > Time{})
        return true;
    return false;
  }
  Fault fault_;
  std::vector<Endpoint> hosts_;
  std::vector<Action> actions_;
  std::map<RequestId, Time> deadlines_;
};

Result playFaulty(FaultyPolicy::Fault fault) {
  const Scenario scenario = readScenario(shortScenario("release"), {"load.level=0.4"});
  return play(scenario, 3, "faulty", [fault](const Settings&, Time, const OmniscientView&) {
    return std::make_unique<FaultyPolicy>(fault);
  });
}

TEST(CheckedDayTest, ReportsExactlyTheRuleThatThePolicyBreaks) {
  const std::pair<FaultyPolicy::Fault, Rule> faults[] = {{FaultyPolicy::Fault::silent, Rule::lost},
                                                         {FaultyPolicy::Fault::repeats, Rule::duplicate},
                                                         {FaultyPolicy::Fault::ignoresDrains, Rule::drain},
                                                         {FaultyPolicy::Fault::floodsWarmingUp, Rule::fall}};
  for (const auto& [fault, rule] : faults) {
    const Result result = playFaulty(fault);
    ASSERT_FALSE(result.breaches.empty()) << nameOf(rule);
    for (const Breach& breach : result.breaches)
      EXPECT_EQ(breach.rule, rule) << lineOf(breach);
  }
  EXPECT_TRUE(playFaulty(FaultyPolicy::Fault::none).breaches.empty());
}

// --- Simulated days -------------------------------------------------------------------------------------

TEST(DayTest, ModuleBreaksNoRuleInTheShortScenarios) {
  for (const char* name : {"calm", "release", "troubles"}) {
    const Scenario scenario = readScenario(shortScenario(name));
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const Result result = play(scenario, seed, "module", policyNamed("module"));
      for (const Breach& breach : result.breaches)
        ADD_FAILURE() << name << " seed " << seed << ": " << lineOf(breach);
      EXPECT_GT(result.goodput, 0.3) << name << " seed " << seed;
      EXPECT_LE(result.goodput, 1.0);
      std::uint64_t calls = 0;
      for (const ClassRecord& record : result.classes) {
        EXPECT_EQ(record.calls, record.inTime + record.late + record.rejected + record.failed) << name;
        calls += record.calls;
      }
      EXPECT_EQ(calls, result.calls);
    }
  }
}

TEST(DayTest, SameSeedGivesSameResultWithAnyNumberOfThreads) {
  const Scenario scenario = readScenario(shortScenario("troubles"));
  std::vector<Day> days;
  for (std::uint64_t seed : {1, 1, 2, 1})
    days.push_back({&scenario, "module", seed});
  const std::vector<Result> many = playAll(days, 4, true, nullptr), one = playAll(days, 1, true, nullptr);
  for (std::size_t i = 0; i < days.size(); ++i)
    EXPECT_EQ(textOf(many[i]), textOf(one[i]));
  EXPECT_EQ(textOf(many[0]), textOf(many[3]));
  EXPECT_EQ(many[0].servers[0].inFlight, many[1].servers[0].inFlight);
  EXPECT_NE(textOf(many[0]), textOf(many[2]));
}

TEST(DayTest, EachPolicyGetsTheSameClientsAndServers) {
  const Scenario scenario = readScenario(shortScenario("calm"));
  const Result a = play(scenario, 5, "module", policyNamed("module"));
  for (const std::string& name : policyNames()) {
    const Result b = play(scenario, 5, name, policyNamed(name));
    EXPECT_EQ(a.calls, b.calls) << name;
    ASSERT_EQ(a.servers.size(), b.servers.size());
    for (std::size_t i = 0; i < a.servers.size(); ++i)
      EXPECT_EQ(a.servers[i].speed, b.servers[i].speed) << name;
    for (std::size_t i = 0; i < a.seconds.size(); ++i)
      EXPECT_DOUBLE_EQ(a.seconds[i].offeredValue, b.seconds[i].offeredValue);
  }
}

TEST(DayTest, ComponentThatDrawsMoreNumbersDoesNotChangeTheOthers) {
  const Scenario scenario = readScenario(shortScenario("calm"));
  const Scenario noisy =
      readScenario(shortScenario("calm"), {"net.jitter=3", "discovery.spread_ms=[0, 900]"});
  const Result a = play(scenario, 5, "two", policyNamed("two")),
               b = play(noisy, 5, "two", policyNamed("two"));
  EXPECT_EQ(a.calls, b.calls);
  for (std::size_t i = 0; i < a.servers.size(); ++i)
    EXPECT_EQ(a.servers[i].address, b.servers[i].address);
  for (std::size_t i = 0; i < a.seconds.size(); ++i)
    EXPECT_DOUBLE_EQ(a.seconds[i].offeredValue, b.seconds[i].offeredValue);
}

TEST(DayTest, OmniscientPolicyHasHigherGoodputThanRandomPolicy) {
  const Scenario scenario = readScenario(shortScenario("calm"), {"load.level=0.8"});
  double omniscient = 0, random = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    omniscient += play(scenario, seed, "truth", policyNamed("truth")).goodput;
    random += play(scenario, seed, "random", policyNamed("random")).goodput;
  }
  EXPECT_GT(omniscient, random + 0.1);
}

// --- Results --------------------------------------------------------------------------------------------

TEST(ResultsTest, StoredDayIsReadBackUnchanged) {
  TemporaryDirectory directory;
  const Scenario scenario = readScenario(shortScenario("troubles"));
  Result result = play(scenario, 2, "module", policyNamed("module"));
  result.breaches.push_back({Rule::fall, seconds(3), 17, "10.0.0.1:80", "for the test"});
  {
    Store store(directory.file("results.db"));
    store.put("first", {result, result}, true);
    store.put("second", {result}, false);
  }
  Store store(directory.file("results.db"));
  EXPECT_EQ(store.runs().size(), 3u);
  EXPECT_EQ(store.runs("first").size(), 2u);
  const Result stored = store.run(1).result;
  EXPECT_EQ(textOf(stored), textOf(result));
  EXPECT_EQ(stored.servers[1].inFlight, result.servers[1].inFlight);
  EXPECT_EQ(stored.servers[1].states, result.servers[1].states);
  EXPECT_TRUE(store.run(3).result.servers.empty());
  EXPECT_THROW(store.run(4), std::runtime_error);
}

TEST(ResultsTest, OpeningAFileThatIsNotADatabaseThrows) {
  TemporaryDirectory directory;
  const std::string file = directory.file("text.db", std::string(4096, 'x'));
  EXPECT_THROW(Store store(file), std::runtime_error);
}

TEST(ResultsTest, ReportContainsTheEscapedLabelAndAllPlots) {
  const Scenario scenario = readScenario(shortScenario("calm"));
  StoredRun run;
  run.id = 1;
  run.label = "<label>";
  run.result = play(scenario, 1, "module", policyNamed("module"));
  const std::string html = htmlOf({run});
  EXPECT_NE(html.find("&lt;label&gt;"), std::string::npos);
  std::size_t plots = 0;
  for (std::size_t at = html.find("<svg"); at != std::string::npos; at = html.find("<svg", at + 1))
    ++plots;
  EXPECT_EQ(plots, 6u);
}

TEST(ExperimentTest, ParsesListsOfSeedsAndRejectsInvalidOnes) {
  EXPECT_EQ(seedsFrom("7"), (std::vector<std::uint64_t>{7}));
  EXPECT_EQ(seedsFrom("1-3,9"), (std::vector<std::uint64_t>{1, 2, 3, 9}));
  for (const char* bad : {"", "x", "3-1", "1,", "1-", "-2", "1 2", "99999999999999999999"})
    EXPECT_THROW(seedsFrom(bad), std::invalid_argument) << bad;
}

TEST(ExperimentTest, ConfidenceIntervalUsesStudentsTDistribution) {
  const Estimate estimated = estimate({1, 2, 3, 4, 5});
  EXPECT_DOUBLE_EQ(estimated.mean, 3);
  EXPECT_NEAR(estimated.half, 2.776 * std::sqrt(2.5 / 5),
              1e-3);  // t quantile of 97.5 % with 4 degrees of freedom
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

TEST(CostTest, EqualSettingsGiveEqualActions) {
  const CostRow first = costOf(50, 20), again = costOf(50, 20);
  EXPECT_GT(first.actions, 1500u);
  EXPECT_EQ(first.digest, again.digest);
  EXPECT_NE(first.digest, costOf(50, 20, 0, 2).digest);
}

// Only ratios on the same machine are compared. The median over the requests and the minimum of three runs
// reduce the influence of other load on the machine.
double minimumMedianNs(std::size_t hosts, std::size_t tenants, std::uint32_t candidates) {
  double minimum = costOf(hosts, tenants, candidates).requestMedianNs;
  for (int i = 0; i < 2; ++i)
    minimum = std::min(minimum, costOf(hosts, tenants, candidates).requestMedianNs);
  return minimum;
}

TEST(CostTest, RequestCostGrowsLittleWithManyTenants) {
  EXPECT_LT(minimumMedianNs(200, 27000, 0), 2.5 * minimumMedianNs(200, 0, 0));
}

TEST(CostTest, RequestCostWithCandidatesGrowsLittleWithFourTimesTheServers) {
  EXPECT_LT(minimumMedianNs(4800, 0, 32), 2.5 * minimumMedianNs(1200, 0, 32));
}

}  // namespace
}  // namespace hollyrun::lab
