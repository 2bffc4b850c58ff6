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

/// `run`: plays scenarios and prints a line or the whole text of each day.
class RunCommand final : public Command {
 public:
  explicit RunCommand(CLI::App& app) : Command(app, "run", "play scenarios") {
    CLI::App& options = subcommand();
    simulation_.addTo(options);
    options.add_option("--policy", policy_, "module, random, least, two or truth")->capture_default_str();
    options.add_option("--label", label_, "name of these runs in the file of results")->capture_default_str();
    options.add_flag("--series", keepSeries_, "keep the servers' states over time, for a report");
    options.add_flag("--text", printText_, "the whole text of each day, not only its line");
    options.add_flag("--log", printLog_, "with the text: what the gateways logged");
  }

  int run() override {
    const std::vector<Scenario> scenarios = readScenarios(simulation_);
    policyNamed(policy_);  // throws on an unknown one
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
