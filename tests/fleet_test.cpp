// Tests the fleet testbed: several real processes with injected faults, and a checker that has to detect a
// gateway that breaks a rule. The arguments are pairs of name and path: the gateway, then the faulty
// gateways.
#include "lab/testbed/fleet.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>

namespace hollyrun::lab {
namespace {

std::map<std::string, std::string> programs;  // path by name, set by main

Scenario scenarioOf(const std::string& text) {
  const std::string path = ::testing::TempDir() + "fleet_" + std::to_string(::getpid()) + ".toml";
  std::ofstream(path) << "extends = \"" HOLLYRUN_SCENARIOS "/kyushu.toml\"\n" << text;
  Scenario scenario = readScenario(path);
  std::remove(path.c_str());
  return scenario;
}

const char* const kSmall =
    "[day]\nlength_s = 3\n[fleet]\ngateways = 2\nservers = 6\nzones = [\"a\"]\n[load]\nlevel = 0.2\n"
    "[choke]\nshare = 0\n[discovery]\nnotice_s = 0.1\nspread_ms = 1\nadd_s = 0.2\n[rules]\ndrain_grace_ms = "
    "300\n";

// Repeats a run up to five times while it is void because the machine itself was late.
FleetResult play(const Scenario& scenario, const std::string& program) {
  FleetResult result;
  for (int i = 0; i < 5; ++i) {
    result = playFleet(scenario, {programs.at(program), {}, 1, 0});
    if (result.verdict != Verdict::voided)
      break;
  }
  return result;
}

std::size_t countBreaches(const FleetResult& fleet, Rule rule) {
  std::size_t count = 0;
  for (const Breach& breach : fleet.result.breaches)
    count += breach.rule == rule;
  return count;
}

// Counts the processes that were started with a configuration in the folder.
std::size_t countProcessesOf(const std::string& dir) {
  std::size_t count = 0;
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator("/proc", ignored)) {
    std::ifstream environment(entry.path() / "environ");
    const std::string text((std::istreambuf_iterator<char>(environment)), {});
    count += text.find("GW_CONFIG=" + dir) != std::string::npos;
  }
  return count;
}

TEST(FleetTest, GatewayPassesWithoutFaults) {
  const FleetResult fleet = play(scenarioOf(kSmall), "hollyrun");
  EXPECT_EQ(fleet.verdict, Verdict::pass) << textOf(fleet);
  EXPECT_GT(fleet.result.calls, 100u);
}

TEST(FleetTest, CompliantTestGatewayPasses) {
  const FleetResult fleet = play(scenarioOf(kSmall), "none");
  EXPECT_EQ(fleet.verdict, Verdict::pass) << textOf(fleet);
}

TEST(FleetTest, DetectsGatewayThatLosesRequests) {
  const FleetResult fleet = play(scenarioOf(kSmall), "lose");
  EXPECT_EQ(fleet.verdict, Verdict::fail);
  EXPECT_GT(countBreaches(fleet, Rule::lost), 5u) << textOf(fleet);
  EXPECT_EQ(countBreaches(fleet, Rule::duplicate), 0u) << textOf(fleet);
}

TEST(FleetTest, DetectsGatewayThatSendsAnUnsafeRequestTwice) {
  const FleetResult fleet = play(scenarioOf(kSmall), "twice");
  EXPECT_EQ(fleet.verdict, Verdict::fail);
  EXPECT_GT(countBreaches(fleet, Rule::duplicate), 2u) << textOf(fleet);
  EXPECT_EQ(countBreaches(fleet, Rule::lost), 0u) << textOf(fleet);
}

TEST(FleetTest, DetectsGatewayThatSendsToDrainingServers) {
  const std::string drain = "[[fault]]\nkind = \"drain\"\nat_s = 0.5\nlength_s = 9\nservers = [0, 1]\n";
  const FleetResult fleet = play(scenarioOf(kSmall + drain), "drain");
  EXPECT_EQ(fleet.verdict, Verdict::fail);
  EXPECT_GT(countBreaches(fleet, Rule::drain), 2u) << textOf(fleet);
  EXPECT_EQ(play(scenarioOf(kSmall + drain), "none").verdict, Verdict::pass);
}

TEST(FleetTest, ReportsProcessThatExitsDuringStartup) {
  Scenario scenario = scenarioOf(kSmall);
  scenario.maxAttempts = 0;  // the gateway rejects this configuration
  const FleetResult fleet = play(scenario, "hollyrun");
  EXPECT_EQ(fleet.verdict, Verdict::fail);
  ASSERT_EQ(countBreaches(fleet, Rule::crash), 1u) << textOf(fleet);
  EXPECT_NE(fleet.result.breaches.front().what.find("during startup"), std::string::npos);
}

TEST(FleetTest, PausedGatewayIsExcused) {
  const std::string stop = "[[fault]]\nkind = \"stop\"\nat_s = 0.2\nlength_s = 2\ngateways = [1]\n";
  const FleetResult fleet = play(scenarioOf(kSmall + stop), "hollyrun");
  EXPECT_EQ(fleet.verdict, Verdict::pass)
      << "expected the requests of a paused gateway to be excused: " << textOf(fleet);
}

const char* const kMembers =
    "[day]\nlength_s = 5\n[fleet]\ngateways = 3\nservers = 6\nzones = [\"a\"]\n[load]\nlevel = 0.2\n[choke]\n"
    "share = 0\n[membership]\nperiod_ms = 100\n[expect]\nagree_s = 3\n";

TEST(FleetTest, MembersAgreeAgainAfterOneWayCutsAndDuplicates) {
  const FleetResult fleet =
      play(scenarioOf(std::string(kMembers) +
                      "[[fault]]\nkind = \"net_mute\"\nat_s = 0.2\nlength_s = 1\ngateways = [0]\n"
                      "[[fault]]\nkind = \"net_deaf\"\nat_s = 0.4\nlength_s = 1\ngateways = [1]\n"
                      "[[fault]]\nkind = \"net_copies\"\nat_s = 0\nlength_s = 4\nsize = 0.5\n"),
           "hollyrun");
  EXPECT_EQ(fleet.verdict, Verdict::pass) << textOf(fleet);
}

TEST(FleetTest, DetectsViewsThatDifferAfterTheTimeout) {
  // The network split lasts beyond the end of the run.
  const FleetResult fleet =
      play(scenarioOf(std::string(kMembers) +
                      "[[fault]]\nkind = \"net_split\"\nat_s = 1\nlength_s = 9\ngateways = [0]\n"),
           "hollyrun");
  EXPECT_EQ(fleet.verdict, Verdict::fail);
  EXPECT_EQ(countBreaches(fleet, Rule::check), 1u) << textOf(fleet);
  EXPECT_EQ(fleet.result.breaches.size(), 1u) << textOf(fleet);
}

TEST(FleetTest, ThrowsIfTheProgramDoesNotExist) {
  EXPECT_THROW(playFleet(scenarioOf(kSmall), {"/nonexistent/hollyrun", {}, 1, 0}), std::runtime_error);
}

TEST(FleetTest, InterruptedTestbedLeavesNoProcess) {
  const Scenario scenario = scenarioOf(kSmall);
  const std::string dir = ::testing::TempDir() + "fleet_testbed_" + std::to_string(::getpid());
  std::filesystem::create_directories(dir);
  const pid_t testbed = ::fork();
  if (testbed == 0) {
    const FleetResult fleet = playFleet(scenario, {programs.at("hollyrun"), dir, 1, 0});
    ::_exit(fleet.verdict == Verdict::interrupted ? 130 : 0);
  }
  while (countProcessesOf(dir) < 2)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  ::kill(testbed, SIGINT);
  int status = 0;
  ASSERT_EQ(::waitpid(testbed, &status, 0), testbed);
  EXPECT_EQ(WEXITSTATUS(status), 130);
  EXPECT_EQ(countProcessesOf(dir), 0u);
  std::filesystem::remove_all(dir);
}

}  // namespace
}  // namespace hollyrun::lab

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  for (int i = 1; i + 1 < argc; i += 2)
    hollyrun::lab::programs[argv[i]] = argv[i + 1];
  return RUN_ALL_TESTS();
}
