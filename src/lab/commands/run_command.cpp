#include <spdlog/fmt/fmt.h>

#include <string>
#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/commands/simulation_options.hpp"
#include "lab/report/report.hpp"
#include "lab/report/store.hpp"
#include "lab/simulation/policy.hpp"

namespace hollyrun::lab {
namespace {

/// `run`: simulates scenarios and prints one line or the full report of each day.
class RunCommand final : public Command {
 public:
  explicit RunCommand(CLI::App& app) : Command(app, "run", "simulate scenarios") {
    CLI::App& options = subcommand();
    simulation_.addTo(options);
    options.add_option("--policy", policy_, "policy: module, random, least, two or truth")
        ->capture_default_str();
    options.add_option("--label", label_, "label of these runs in the SQLite file")->capture_default_str();
    options.add_flag("--series", keepSeries_, "store the servers' states over time, for plots");
    options.add_flag("--text", printText_, "print the full report of each day");
    options.add_flag("--log", printLog_, "also print the gateways' logs with each report");
  }

  int run() override {
    const std::vector<Scenario> scenarios = readScenarios(simulation_);
    policyNamed(policy_);  // throws if the policy is unknown
    const std::vector<Result> results = playScenarios(scenarios, policy_, simulation_, keepSeries_);
    if (!simulation_.database.empty())
      Store(simulation_.database).put(label_, results, keepSeries_);
    if (results.size() == 1) {
      printTexts(results);
      return results.front().breaches.empty() || policy_ != kDefaultPolicy ? kExitSuccess : kExitRuleBroken;
    }
    if (printText_)
      printTexts(results);
    printTable(results);
    return printBreaches(results);
  }

 private:
  void printTexts(const std::vector<Result>& results) const {
    for (const Result& result : results) {
      fmt::print("{}", textOf(result));
      if (!printLog_)
        continue;
      for (const std::string& line : result.policyLog)
        fmt::print("{}\n", line);
    }
  }

  static void printTable(const std::vector<Result>& results) {
    printResultHeader();
    std::vector<double> scores;
    for (const Result& result : results) {
      fmt::print("{}\n", lineOf(result));
      scores.push_back(result.score);
    }
    const Estimate score = estimate(scores);
    fmt::print("mean G {:.4f} -+ {:.4f} over {} days\n", score.mean, score.half, score.count);
  }

  SimulationOptions simulation_;
  std::string policy_ = kDefaultPolicy;
  std::string label_ = kDefaultLabel;
  bool keepSeries_ = false;
  bool printText_ = false;
  bool printLog_ = false;
};

}  // namespace

std::unique_ptr<Command> addRunCommand(CLI::App& app) {
  return std::make_unique<RunCommand>(app);
}

}  // namespace hollyrun::lab
