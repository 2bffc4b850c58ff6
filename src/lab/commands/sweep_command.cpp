#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/commands/simulation_options.hpp"
#include "lab/commands/text_split.hpp"
#include "lab/report/store.hpp"
#include "lab/simulation/policy.hpp"

namespace hollyrun::lab {
namespace {

double meanOf(const std::vector<Result>& results, double Result::*figure) {
  std::vector<double> values;
  for (const Result& result : results)
    values.push_back(result.*figure);
  return estimate(values).mean;
}

void printRow(const std::string& value, const std::string& policy, const std::vector<Result>& results) {
  std::vector<double> scores;
  for (const Result& result : results)
    scores.push_back(result.score);
  const Estimate score = estimate(scores);
  fmt::print("{} {} {:.4f} {:.4f} {:.4f} {:.4f} {:.4f} {:.1f}\n", value, policy, score.mean, score.half,
             meanOf(results, &Result::rejectedShare), meanOf(results, &Result::failedShare),
             meanOf(results, &Result::chokedShare), meanOf(results, &Result::p99));
}

/// `sweep`: simulates the scenarios with each value of one key and each policy.
class SweepCommand final : public Command {
 public:
  explicit SweepCommand(CLI::App& app)
      : Command(app, "sweep", "simulate scenarios with several values of one key") {
    CLI::App& options = subcommand();
    simulation_.addTo(options);
    options.add_option("--vary", variation_, "key and values to sweep: KEY=VALUE,VALUE,...")->required();
    options.add_option("--policy", policies_, "comma-separated policies")->capture_default_str();
    options.add_option("--label", label_, "label of these runs in the SQLite file")->capture_default_str();
  }

  int run() override {
    const std::size_t separator = variation_.find('=');
    if (separator == std::string::npos)
      throw std::runtime_error("--vary: invalid value '" + variation_ + "', expected KEY=VALUE,VALUE,...");
    const std::string key = variation_.substr(0, separator);
    fmt::print("{} policy G mean half refused failed jammed p99_ms\n", key);
    int exitCode = kExitSuccess;
    for (const std::string& value : splitTomlValues(variation_.substr(separator + 1)))
      for (const std::string& policy : splitAtCommas(policies_))
        exitCode = std::max(exitCode, playValue(key, value, policy));
    return exitCode;
  }

 private:
  int playValue(const std::string& key, const std::string& value, const std::string& policy) const {
    policyNamed(policy);  // throws if the policy is unknown
    const std::vector<Scenario> scenarios = readScenarios(simulation_, {key + "=" + value});
    const std::vector<Result> results = playScenarios(scenarios, policy, simulation_, false);
    if (!simulation_.database.empty())
      Store(simulation_.database).put(label_, results, false);
    const int exitCode = printBreaches(results);
    printRow(value, policy, results);
    return exitCode;
  }

  SimulationOptions simulation_;
  std::string variation_;
  std::string policies_ = kDefaultPolicy;
  std::string label_ = kDefaultLabel;
};

}  // namespace

std::unique_ptr<Command> addSweepCommand(CLI::App& app) {
  return std::make_unique<SweepCommand>(app);
}

}  // namespace hollyrun::lab
