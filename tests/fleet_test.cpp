// The testbed: several real processes with faults between them, and a checker that has to catch a gateway
// that breaks a rule. The programs' paths are the arguments: the gateway, then the faulty_gateways by name.
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

std::map<std::string, std::string> programs;  // set once, by main

Scenario scenarioOf(const std::string& text) {
  const std::string path = ::testing::TempDir() + "fleet_" + std::to_string(::getpid()) + ".toml";
  std::ofstream(path) << "extends = \"" HOLLYRUN_SCENARIOS "/kyushu.toml\"\n" << text;
  Scenario s = readScenario(path);
  std::remove(path.c_str());
  return s;
}

const char* const kSmall =
    "[day]\nlength_s = 3\n[fleet]\ngateways = 2\nservers = 6\nzones = [\"a\"]\n[load]\nlevel = 0.2\n"
    "[choke]\nshare = 0\n[discovery]\nnotice_s = 0.1\nspread_ms = 1\nadd_s = 0.2\n[rules]\ndrain_grace_ms = "
    "300\n";

// A run in which this machine itself was late proves nothing and is played again, a few times.
FleetResult play(const Scenario& s, const std::string& program) {
  FleetResult result;
  for (int i = 0; i < 5; ++i) {
    result = playFleet(s, {programs.at(program), {}, 1, 0});
    if (result.verdict != Verdict::voided)
      break;
  }
  return result;
}

std::size_t count(const FleetResult& f, Rule rule) {
  std::size_t n = 0;
  for (const Breach& b : f.result.breaches)
    n += b.rule == rule;
  return n;
}

// Those that were started with a configuration of this folder.
std::size_t processesOf(const std::string& dir) {
  std::size_t all = 0;
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator("/proc", ignored)) {
    std::ifstream environment(entry.path() / "environ");
    const std::string text((std::istreambuf_iterator<char>(environment)), {});
    all += text.find("GW_CONFIG=" + dir) != std::string::npos;
  }
  return all;
}

TEST(FleetTest, TheProgramKeepsTheRulesOnAQuietDay) {
  const FleetResult f = play(scenarioOf(kSmall), "hollyrun");
  EXPECT_EQ(f.verdict, Verdict::pass) << textOf(f);
  EXPECT_GT(f.result.calls, 100u);
}

TEST(FleetTest, AGatewayThatKeepsTheRulesPlainlyPasses) {
  const FleetResult f = play(scenarioOf(kSmall), "none");
  EXPECT_EQ(f.verdict, Verdict::pass) << textOf(f);
}

TEST(FleetTest, AGatewayThatLosesIsCaught) {
  const FleetResult f = play(scenarioOf(kSmall), "lose");
  EXPECT_EQ(f.verdict, Verdict::fail);
  EXPECT_GT(count(f, Rule::lost), 5u) << textOf(f);
  EXPECT_EQ(count(f, Rule::duplicate), 0u) << textOf(f);
}

TEST(FleetTest, AGatewayThatRunsACertificateTwiceIsCaught) {
  const FleetResult f = play(scenarioOf(kSmall), "twice");
  EXPECT_EQ(f.verdict, Verdict::fail);
  EXPECT_GT(count(f, Rule::duplicate), 2u) << textOf(f);
  EXPECT_EQ(count(f, Rule::lost), 0u) << textOf(f);
}

TEST(FleetTest, AGatewayThatSendsAfterADrainIsCaught) {
  const std::string drain = "[[fault]]\nkind = \"drain\"\nat_s = 0.5\nlength_s = 9\nservers = [0, 1]\n";
  const FleetResult f = play(scenarioOf(kSmall + drain), "drain");
  EXPECT_EQ(f.verdict, Verdict::fail);
  EXPECT_GT(count(f, Rule::drain), 2u) << textOf(f);
  EXPECT_EQ(play(scenarioOf(kSmall + drain), "none").verdict, Verdict::pass);
}

TEST(FleetTest, AProcessThatDiesAsItStartsIsNamed) {
  Scenario s = scenarioOf(kSmall);
  s.maxAttempts = 0;  // its configuration is turned down
  const FleetResult f = play(s, "hollyrun");
  EXPECT_EQ(f.verdict, Verdict::fail);
  ASSERT_EQ(count(f, Rule::crash), 1u) << textOf(f);
  EXPECT_NE(f.result.breaches.front().what.find("during startup"), std::string::npos);
}

TEST(FleetTest, AProcessThatNeitherEndsNorAnswersIsNamedAndEnded) {
  const std::string stop = "[[fault]]\nkind = \"stop\"\nat_s = 0.2\nlength_s = 2\ngateways = [1]\n";
  const FleetResult f = play(scenarioOf(kSmall + stop), "hollyrun");
  EXPECT_EQ(f.verdict, Verdict::pass) << "held up by the testbed, it owes nothing: " << textOf(f);
}

const char* const kMembers =
    "[day]\nlength_s = 5\n[fleet]\ngateways = 3\nservers = 6\nzones = [\"a\"]\n[load]\nlevel = 0.2\n[choke]\n"
    "share = 0\n[membership]\nperiod_ms = 100\n[expect]\nagree_s = 3\n";

TEST(FleetTest, ThreeMembersAgreeAgainAfterOneWasNotHeardAndOneHeardNobody) {
  const FleetResult f =
      play(scenarioOf(std::string(kMembers) +
                      "[[fault]]\nkind = \"net_mute\"\nat_s = 0.2\nlength_s = 1\ngateways = [0]\n"
                      "[[fault]]\nkind = \"net_deaf\"\nat_s = 0.4\nlength_s = 1\ngateways = [1]\n"
                      "[[fault]]\nkind = \"net_copies\"\nat_s = 0\nlength_s = 4\nsize = 0.5\n"),
           "hollyrun");
  EXPECT_EQ(f.verdict, Verdict::pass) << textOf(f);
}

TEST(FleetTest, ViewsThatStillDifferAreCaught) {
  // The cut lasts until the day is over.
  const FleetResult f =
      play(scenarioOf(std::string(kMembers) +
                      "[[fault]]\nkind = \"net_split\"\nat_s = 1\nlength_s = 9\ngateways = [0]\n"),
           "hollyrun");
  EXPECT_EQ(f.verdict, Verdict::fail);
  EXPECT_EQ(count(f, Rule::check), 1u) << textOf(f);
  EXPECT_EQ(f.result.breaches.size(), 1u) << textOf(f);
}

TEST(FleetTest, AProgramThatIsNotThereIsSaid) {
  EXPECT_THROW(playFleet(scenarioOf(kSmall), {"/nonexistent/hollyrun", {}, 1, 0}), std::runtime_error);
}

TEST(FleetTest, AnInterruptedTestbedLeavesNoProcess) {
  const Scenario s = scenarioOf(kSmall);
  const std::string dir = ::testing::TempDir() + "rig_" + std::to_string(::getpid());
  std::filesystem::create_directories(dir);
  const pid_t testbed = ::fork();
  if (testbed == 0) {
    const FleetResult f = playFleet(s, {programs.at("hollyrun"), dir, 1, 0});
    ::_exit(f.verdict == Verdict::interrupted ? 130 : 0);
  }
  while (processesOf(dir) < 2)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  ::kill(testbed, SIGINT);
  int status = 0;
  ASSERT_EQ(::waitpid(testbed, &status, 0), testbed);
  EXPECT_EQ(WEXITSTATUS(status), 130);
  EXPECT_EQ(processesOf(dir), 0u);
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
