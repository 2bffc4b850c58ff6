// Tests the scale run: its figures and bounds, the stub processes' parts against the gateway's own code, and
// small runs with real processes. The arguments are the paths of the gateway and of the lab.
#include "lab/testbed/scale.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "gateway/discovery.hpp"
#include "lab/report/store.hpp"
#include "lab/testbed/platform.hpp"
#include "lab/testbed/stub_discovery.hpp"
#include "lab/testbed/stub_report.hpp"
#include "lab/testbed/stub_server.hpp"

namespace hollyrun::lab {
namespace {

using gateway::Discovery;
using gateway::EndpointList;

constexpr std::uint32_t kTestAddresses = 0x7f3c0001;  // 127.60.0.1, in no testbed's block of servers
std::string program, lab;                             // paths, set by main

ScaleRun runOf(const std::vector<std::pair<double, double>>& points) {
  ScaleRun run;
  run.dimension = "servers";
  for (const auto& [size, value] : points) {
    StepResult step;
    step.size = size;
    step[Figure::requestUs] = value;
    run.steps.push_back(step);
  }
  return run;
}

// --- Figures --------------------------------------------------------------------------------------------

TEST(ScaleFiguresTest, SlopeOfPointsOnALineHasNoStandardError) {
  const auto fit = slopeOf(runOf({{200, 30}, {1000, 110}, {4800, 490}}), Figure::requestUs);
  ASSERT_TRUE(fit && fit->standardError);
  EXPECT_NEAR(fit->slope, 0.1, 1e-9);
  EXPECT_NEAR(fit->intercept, 10, 1e-9);
  EXPECT_NEAR(*fit->standardError, 0, 1e-9);
}

TEST(ScaleFiguresTest, StandardErrorIsThatOfLeastSquares) {
  // The residuals around 5/6 + x / 2 are 1/6, -1/3 and 1/6. The sum of their squares is divided by one degree
  // of freedom and by the sum of squares in x, which is 2.
  const auto fit = slopeOf(runOf({{1, 1.5}, {2, 1.5}, {3, 2.5}}), Figure::requestUs);
  ASSERT_TRUE(fit && fit->standardError);
  EXPECT_NEAR(fit->slope, 0.5, 1e-9);
  EXPECT_NEAR(*fit->standardError, std::sqrt(1.0 / 6 / 2), 1e-9);
}

TEST(ScaleFiguresTest, SlopeNeedsTwoSizesAndItsErrorThreePoints) {
  const auto two = slopeOf(runOf({{1, 1}, {2, 3}}), Figure::requestUs);
  ASSERT_TRUE(two);
  EXPECT_NEAR(two->slope, 2, 1e-9);
  EXPECT_FALSE(two->standardError);
  EXPECT_FALSE(slopeOf(runOf({{1, 1}, {1, 3}}), Figure::requestUs));
  EXPECT_FALSE(slopeOf(runOf({{1, 1}, {2, 3}}), Figure::stallMs));
}

TEST(ScaleFiguresTest, VoidStepIsExcludedFromTheSlopeAndShownInTheTable) {
  ScaleRun run = runOf({{1, 1}, {2, 2}, {3, 99}});
  run.steps.back().voidReason = "the testbed was late";
  const auto fit = slopeOf(run, Figure::requestUs);
  ASSERT_TRUE(fit);
  EXPECT_NEAR(fit->slope, 1, 1e-9);
  EXPECT_TRUE(hasVoidStep(run));
  EXPECT_NE(tableOf(run).find("3 (1 void)"), std::string::npos) << tableOf(run);
}

TEST(ScaleFiguresTest, TableHasARowPerFigureWithMeansErrorsAndSlope) {
  const std::string table = tableOf(runOf({{1000, 10}, {1000, 12}, {2000, 20}, {2000, 22}}));
  EXPECT_EQ(table,
            "| servers | 1000 | 2000 | slope for 1000 |\n| --- | --- | --- | --- |\n"
            "| processor time a request, us | 11.0 ± 1.0 | 21.0 ± 1.0 | 10.00 ± 1.41 |\n");
}

TEST(ScaleFiguresTest, ReportsGrowthBeyondABoundAndFiguresNotMeasured) {
  const ScaleRun run = runOf({{200, 100}, {800, 250}});
  EXPECT_TRUE(growthViolations(run, {parseGrowthBound("request_us=2.5")}).empty());
  const auto violations =
      growthViolations(run, {parseGrowthBound("request_us=2.4"), parseGrowthBound("idle_percent=9")});
  ASSERT_EQ(violations.size(), 2u);
  EXPECT_NE(violations[0].find("2.50 times, allowed 2.4"), std::string::npos) << violations[0];
  EXPECT_NE(violations[1].find("idle_percent: not measured"), std::string::npos) << violations[1];
  EXPECT_THROW(parseGrowthBound("request_us"), std::invalid_argument);
  EXPECT_THROW(parseGrowthBound("speed=2"), std::invalid_argument);
  EXPECT_THROW(parseGrowthBound("request_us=0"), std::invalid_argument);
}

TEST(ScaleFiguresTest, StoreReturnsStepsUnchanged) {
  const std::string file = ::testing::TempDir() + "scale_" + std::to_string(::getpid()) + ".db";
  ScaleRun run = runOf({{200, 30.5}, {1000, 110}});
  run.label = "before";
  run.command = "hollyrun-lab scale";
  run.steps[1].voidReason = "late";
  run.steps[1].round = 1;
  Store(file).putScale(run);
  const auto stored = Store(file).scaleRuns("before");
  ASSERT_EQ(stored.size(), 1u);
  EXPECT_EQ(stored[0].dimension, "servers");
  EXPECT_EQ(stored[0].command, "hollyrun-lab scale");
  ASSERT_EQ(stored[0].steps.size(), 2u);
  EXPECT_EQ(stored[0].steps[0][Figure::requestUs], 30.5);
  EXPECT_FALSE(stored[0].steps[0][Figure::stallMs]);
  EXPECT_EQ(stored[0].steps[1].voidReason, "late");
  EXPECT_EQ(stored[0].steps[1].round, 1u);
  EXPECT_TRUE(Store(file).scaleRuns("after").empty());
  std::filesystem::remove(file);
}

// --- Plans ----------------------------------------------------------------------------------------------

Scenario kyushu() {
  return readScenario(HOLLYRUN_SCENARIOS "/kyushu.toml");
}

TEST(ScalePlanTest, ScenarioHasTheRequestedNumberOfUniquelyNamedClasses) {
  ScalePlan plan;
  plan.scenario = kyushu();
  ScaleSize size;
  size.classes = 10;
  const Scenario scenario = scenarioOf(plan, size);
  ASSERT_EQ(scenario.classes.size(), 10u);
  std::set<std::string> names;
  for (const RequestClass& requestClass : scenario.classes)
    names.insert(requestClass.settings.name);
  EXPECT_EQ(names.size(), 10u);
  size.classes = 0;
  EXPECT_EQ(scenarioOf(plan, size).classes.size(), plan.scenario.classes.size());
}

TEST(ScalePlanTest, RejectsPlanBeyondABound) {
  ScalePlan plan;
  plan.values = {200};
  EXPECT_NO_THROW(checkPlan(plan));
  plan.values = {200, 100000};
  EXPECT_THROW(checkPlan(plan), std::invalid_argument);
  plan.values = {0};
  EXPECT_THROW(checkPlan(plan), std::invalid_argument);
  plan.values = {};
  EXPECT_THROW(checkPlan(plan), std::invalid_argument);
  plan.values = {200};
  plan.loadS = 1e6;
  EXPECT_THROW(checkPlan(plan), std::invalid_argument);
}

// --- Stubs ----------------------------------------------------------------------------------------------

TEST(StubReportTest, ParsesItsOwnFormatAndNoOtherText) {
  StubReport report;
  report.port = 4711;
  report.revision = 7;
  report.wholeLists = 2;
  report.changedAtNs = 123456789012345;
  report.membersSeen = 411;
  report.lagMs = 1.5;
  const auto parsed = parseStubReport(textOf(report));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->port, 4711);
  EXPECT_EQ(parsed->revision, 7);
  EXPECT_EQ(parsed->wholeLists, 2u);
  EXPECT_EQ(parsed->changedAtNs, 123456789012345);
  EXPECT_EQ(parsed->membersSeen, 411u);
  EXPECT_EQ(parsed->lagMs, 1.5);
  EXPECT_FALSE(parseStubReport("stub servers: Address already in use"));
  EXPECT_FALSE(parseStubReport("{\"port\":1}"));
  EXPECT_FALSE(parseStubReport(""));
}

// Runs the event loop until the condition is true, for at most ten seconds.
template <class Condition>
bool runUntil(asio::io_context& io, Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!condition() && std::chrono::steady_clock::now() < deadline)
    io.run_one_for(std::chrono::milliseconds(100));
  return condition();
}

std::vector<ListedServer> listed(std::size_t count) {
  std::vector<ListedServer> all;
  for (std::size_t i = 0; i < count; ++i)
    all.push_back({"server-" + std::to_string(i), "hall", stubServerEndpoint(kTestAddresses, i, 80), 0});
  return all;
}

// Tests the emulated discovery with the gateway's own discovery client.
class StubDiscoveryTest : public ::testing::Test {
 protected:
  StubDiscoveryTest() : discovery(io, listed(30)) {
    address = discovery.addAddress();
    client.emplace(io, discovery.endpoint(address),
                   Discovery::Callbacks{
                       [this](const gateway::EndpointUpdate& update) { lists.push_back(update.list); },
                       [this](const gateway::DiscoveryCallReport& report) { countFailure(report.result); }},
                   Discovery::Timeouts{}, 1);
  }

  void countFailure(gateway::DiscoveryCallResult result) {
    if (result != gateway::DiscoveryCallResult::list && result != gateway::DiscoveryCallResult::abandoned)
      ++failures;
  }

  asio::io_context io;
  StubDiscovery discovery;
  std::size_t address = 0, failures = 0;
  std::vector<EndpointList> lists;
  std::optional<Discovery> client;
};

TEST_F(StubDiscoveryTest, ClientReceivesTheWholeListAndThenEachChange) {
  client->watch();
  ASSERT_TRUE(runUntil(io, [&] { return lists.size() == 1; }));
  EXPECT_TRUE(lists[0].snapshot);
  EXPECT_EQ(lists[0].endpoints.size(), 30u);
  // The client starts its watch after it has received the list. The change may be made before or after that.
  const std::int64_t revision = discovery.toggleDraining(4);
  ASSERT_TRUE(runUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_FALSE(lists[1].snapshot);
  EXPECT_EQ(lists[1].version, revision);
  ASSERT_EQ(lists[1].endpoints.size(), 1u);
  EXPECT_EQ(lists[1].endpoints[0].uid, "server-4");
  EXPECT_EQ(lists[1].endpoints[0].state, balancer::EndpointState::draining);
  EXPECT_EQ(failures, 0u);
  const auto& counts = discovery.counts(address);
  EXPECT_EQ(counts.wholeLists, 1u);
  EXPECT_GE(counts.calls, 2u);
  EXPECT_GT(counts.bytesOut, 30u * 100);
  EXPECT_GT(counts.bytesIn, 50u);
}

TEST_F(StubDiscoveryTest, AfterAnOutageClientReceivesChangesOrTheWholeListIfRevisionsWereLost) {
  client->watch();
  ASSERT_TRUE(runUntil(io, [&] { return lists.size() == 1; }));
  discovery.suspend();
  ASSERT_TRUE(runUntil(io, [&] { return failures == 1; }));
  ASSERT_TRUE(runUntil(io, [&] { return failures == 2; }))
      << "expected the connection to be refused while discovery is suspended";
  const std::int64_t revision = discovery.toggleDraining(1);
  discovery.resume(false);
  ASSERT_TRUE(runUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_FALSE(lists[1].snapshot);
  EXPECT_EQ(lists[1].version, revision);
  const std::size_t failuresBefore = failures;
  discovery.suspend();
  ASSERT_TRUE(runUntil(io, [&] { return failures == failuresBefore + 1; }));
  discovery.resume(true);
  ASSERT_TRUE(runUntil(io, [&] { return lists.size() == 3; }));
  EXPECT_TRUE(lists[2].snapshot);
  EXPECT_EQ(lists[2].endpoints.size(), 30u);
}

TEST(StubServerTest, RespondsAtEachOfManyAddresses) {
  asio::io_context io;
  StubServers servers(io, {kTestAddresses, 300, 0.5});
  int successful = 0, completed = 0;
  for (const std::size_t number : {0, 150, 299})
    httpGet(io, stubServerEndpoint(kTestAddresses, number, servers.port()), "/lookup/1",
            std::chrono::seconds(5), [&](int status, const std::string& body) {
              ++completed;
              successful += status == 200 && body.find("\"id\"") != std::string::npos;
            });
  EXPECT_TRUE(runUntil(io, [&] { return completed == 3; }));
  EXPECT_EQ(successful, 3);
  EXPECT_EQ(servers.requestsAnswered(), 3u);
}

// --- Runs with real processes -----------------------------------------------------------------------------

ScalePlan smallPlan() {
  ScalePlan plan;
  plan.scenario = kyushu();
  plan.program = program;
  plan.lab = lab;
  plan.size.servers = 20;
  plan.size.rate = 100;
  plan.dimension = Dimension::servers;
  plan.values = {20};
  plan.idleS = 0.3;
  plan.loadS = 1.2;  // the share of a core counts in windows of at least 1 s
  plan.warmS = 0.2;
  plan.hangups = 1;
  plan.listChanges = 2;
  plan.outageS = 0.2;
  plan.maxTriesPerStep = 5;
  return plan;
}

TEST(ScaleRunTest, RunWithRealAndStubGatewaysMeasuresAllFigures) {
  ScalePlan plan = smallPlan();
  plan.size.stubs = 6;
  plan.size.tenants = 50;
  plan.size.classes = 9;
  plan.size.changes = 10;
  plan.membershipPeriodMs = 200;
  plan.configuredGateways =
      3;  // fewer than the step has, so that the step's number of gateways is configured
  std::size_t stepsReported = 0;
  const ScaleRun run = playScale(plan, [&](const StepResult&) { ++stepsReported; });
  EXPECT_EQ(stepsReported, 1u);
  ASSERT_EQ(run.steps.size(), 1u);
  const StepResult& step = run.steps.front();
  for (std::size_t i = 0; i < kFigureCount; ++i)
    EXPECT_TRUE(step.figures[i]) << textOf(static_cast<Figure>(i)).name << " is missing: " << step.voidReason;
  EXPECT_GT(*step[Figure::requestUs], 0);
  EXPECT_LT(*step[Figure::unservedPercent], 20) << "expected a light load on fast servers to be served";
  EXPECT_GT(*step[Figure::hangupMs], 0);
  EXPECT_GT(*step[Figure::relistKb], 6 * 20 * 0.1)
      << "expected each of 6 stub gateways to fetch a list of 20 servers";
}

TEST(ScaleRunTest, StepIsVoidWhenTheTestbedLags) {
  ScalePlan plan = smallPlan();
  plan.maxHelperLagMs = 0;  // every event loop exceeds this
  plan.maxTriesPerStep = 2;
  const ScaleRun run = playScale(plan, [](const StepResult&) {});
  EXPECT_TRUE(hasVoidStep(run));
  EXPECT_NE(run.steps.front().voidReason.find("ms late"), std::string::npos) << run.steps.front().voidReason;
}

TEST(ScaleRunTest, ErrorNamesAProgramThatIsMissingOrExits) {
  ScalePlan plan = smallPlan();
  plan.program = "/nonexistent/hollyrun";
  EXPECT_THROW(playScale(plan, [](const StepResult&) {}), std::runtime_error);
  plan.program = "/bin/false";
  try {
    playScale(plan, [](const StepResult&) {});
    FAIL() << "expected an error for a gateway that exits";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("gateway-0 exited with code 1"), std::string::npos) << e.what();
  }
}

std::vector<pid_t> childrenOf(pid_t parent) {
  std::vector<pid_t> all;
  const std::string id = std::to_string(parent);
  std::ifstream list("/proc/" + id + "/task/" + id + "/children");
  for (pid_t child = 0; list >> child;)
    all.push_back(child);
  return all;
}

bool isRunning(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(stat, line);
  const std::size_t end = line.rfind(')');
  return end != std::string::npos && line.substr(end + 2, 1) != "Z";
}

// Starts a run in a child process, ends it with the signal and expects its four child processes to end with
// it.
void expectNoneLeftAfter(int signal, int code) {
  const pid_t testbed = ::fork();
  if (testbed == 0) {
    ScalePlan plan = smallPlan();
    plan.size.stubs = 60;  // two processes
    plan.loadS = 100;
    try {
      playScale(plan, [](const StepResult&) {});
    } catch (const std::exception&) {
      ::_exit(130);
    }
    ::_exit(0);
  }
  std::vector<pid_t> children;
  while ((children = childrenOf(testbed)).size() < 4)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  ::kill(testbed, signal);
  int status = 0;
  ASSERT_EQ(::waitpid(testbed, &status, 0), testbed);
  EXPECT_EQ(WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status), code);
  // The kernel kills the children after the testbed has ended. If it does not, the timeout of the test
  // applies.
  for (const pid_t child : children)
    while (isRunning(child))
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
}

TEST(ScaleRunTest, InterruptedRunLeavesNoProcess) {
  expectNoneLeftAfter(SIGTERM, 130);
}
TEST(ScaleRunTest, KilledRunLeavesNoProcess) {
  expectNoneLeftAfter(SIGKILL, 128 + SIGKILL);
}

}  // namespace
}  // namespace hollyrun::lab

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 3)
    return 2;
  hollyrun::lab::program = argv[1];
  hollyrun::lab::lab = argv[2];
  return RUN_ALL_TESTS();
}
