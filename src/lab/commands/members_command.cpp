#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/simulation/explore.hpp"
#include "lab/simulation/member_faults.hpp"
#include "lab/simulation/members.hpp"

namespace hollyrun::lab {
namespace {

/// One in this many explored states is continued until all members agree, to check convergence.
constexpr std::uint64_t kConvergenceCheckInterval = 50;

/// `members`: simulates the membership protocol in virtual time: measurements, faults, or an exhaustive
/// exploration of schedules.
class MembersCommand final : public Command {
 public:
  explicit MembersCommand(CLI::App& app)
      : Command(app, "members",
                "simulate the fleet's membership in virtual time and print a table of times and cost") {
    addMeasurementOptions();
    addFaultOptions();
    addExplorationOptions();
  }

  int run() override {
    if (exploredSteps_ > 0)
      return explore();
    if (faults_.empty())
      measure();
    else
      measureFaults();
    return kExitSuccess;
  }

 private:
  void addMeasurementOptions() {
    CLI::App& options = subcommand();
    options.add_option("--members", memberCounts_, "numbers of members to measure")
        ->check(CLI::Range(2, 1000));
    options.add_option("--loss", lossFractions_, "fractions of datagrams lost")->check(CLI::Range(0.0, 0.9));
    options.add_option("--kills", kills_, "number of members killed and restarted per row")
        ->capture_default_str();
    options.add_option("--seed", seed_, "random seed")->capture_default_str();
    options.add_flag("--trace", trace_, "print a hash of all datagrams and events, to compare two builds");
  }

  void addFaultOptions() {
    subcommand()
        .add_option("--fault", faults_,
                    "measure the cost until views agree after a fault instead: zone, cut or restarts")
        ->check(CLI::IsMember({"zone", "cut", "restarts"}));
    subcommand()
        .add_option("--apart", partitionPeriods_, "with --fault cut: duration of the partition in periods")
        ->capture_default_str();
  }

  void addExplorationOptions() {
    subcommand()
        .add_option("--explore", exploredSteps_,
                    "explore every schedule of this many steps with three members instead")
        ->check(CLI::Range(1, 12));
    subcommand()
        .add_option("--crashes", exploredCrashes_, "with --explore: maximum number of crashes per schedule")
        ->capture_default_str();
  }

  int explore() const {
    const Explored explored = exploreMembers(exploredSteps_, exploredCrashes_, kConvergenceCheckInterval);
    fmt::print(
        "three members, {} steps deep, {} crashes: {} states, {} steps, {} of the states continued until all "
        "agreed\n",
        exploredSteps_, exploredCrashes_, explored.states, explored.steps, explored.convergenceChecks);
    for (const std::string& violation : explored.violations)
      fmt::print("{}\n", violation);
    return explored.violations.empty() ? kExitSuccess : kExitRuleBroken;
  }

  void measureFaults() const {
    std::vector<MemberFaultRow> rows;
    for (const std::size_t members : memberCounts_)
      for (const std::string& fault : faults_) {
        const std::vector<MemberFaultRow> phases = measureMemberFault(
            {memberFaultNamed(fault).value(), members, std::chrono::seconds(partitionPeriods_), seed_});
        rows.insert(rows.end(), phases.begin(), phases.end());
      }
    fmt::print("{}", textOf(rows));
  }

  void measure() const {
    std::vector<MembersRow> rows;
    for (const std::size_t members : memberCounts_)
      for (const double loss : lossFractions_)
        rows.push_back(measureMembers({members, loss, kills_, seed_, trace_}));
    fmt::print("{}", textOf(rows));
  }

  std::vector<std::size_t> memberCounts_{3, 30, 300};
  std::vector<double> lossFractions_{0, 0.05, 0.3};
  std::size_t kills_ = 20;
  std::uint64_t seed_ = 1;
  bool trace_ = false;
  std::vector<std::string> faults_;
  int partitionPeriods_ = 300;
  unsigned exploredSteps_ = 0;  // 0: nothing is explored
  unsigned exploredCrashes_ = 1;
};

}  // namespace

std::unique_ptr<Command> addMembersCommand(CLI::App& app) {
  return std::make_unique<MembersCommand>(app);
}

}  // namespace hollyrun::lab
