#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/commands/simulation_options.hpp"
#include "lab/commands/text_split.hpp"
#include "lab/report/store.hpp"
#include "lab/simulation/policy.hpp"

namespace hollyrun::lab {
namespace {

/// One side of a comparison: `policy`, `policy,key=value,...`, or `@label` for stored results.
struct Arm {
  /// Throws if the policy is unknown.
  explicit Arm(const std::string& text) : name(text) {
    if (text.starts_with("@")) {
      label = text.substr(1);
      return;
    }
    const std::vector<std::string> parts = splitTomlValues(text);
    policy = parts.front();
    policyNamed(policy);
    overrides.assign(parts.begin() + 1, parts.end());
  }

  std::string name;
  std::string policy = kDefaultPolicy;
  std::string label;  ///< label of stored results; empty: the scenarios are simulated
  std::vector<std::string> overrides;
};

struct RunKey {
  std::string scenario;
  std::uint64_t seed = 0;
  auto operator<=>(const RunKey&) const = default;
};

using ResultsByRun = std::map<RunKey, Result>;

struct ComparedFigure {
  const char* name;
  double (*valueOf)(const Result&);
};

constexpr ComparedFigure kComparedFigures[] = {
    {"G", [](const Result& result) { return result.score; }},
    {"whole day", [](const Result& result) { return result.goodput; }},
    {"worst 10 s", [](const Result& result) { return result.worstWindowGoodput; }},
    {"worst class", [](const Result& result) { return result.worstClassGoodput; }},
    {"refused", [](const Result& result) { return result.rejectedShare; }},
    {"failed", [](const Result& result) { return result.failedShare; }},
    {"jammed", [](const Result& result) { return result.chokedShare; }},
    {"p99 ms", [](const Result& result) { return result.p99; }},
};

/// Returns the sections to print: an empty name for all scenarios together, then each scenario. A single
/// scenario has only its own section.
std::vector<std::string> scenarioSections(const ResultsByRun& results) {
  std::vector<std::string> names{""};
  for (const auto& [run, result] : results)
    if (names.back() != run.scenario)
      names.push_back(run.scenario);
  if (names.size() == 2)
    names.erase(names.begin());
  return names;
}

const char* verdictOf(const Estimate& difference) {
  if (std::abs(difference.mean) <= difference.half)
    return "no significant difference";
  return difference.mean > 0 ? "a higher" : "b higher";
}

/// Compares one figure over the runs that both arms have; an empty `scenario` selects all scenarios.
void printFigure(const ComparedFigure& figure, const std::string& scenario, const ResultsByRun& resultsA,
                 const ResultsByRun& resultsB) {
  std::vector<double> valuesA;
  std::vector<double> valuesB;
  std::vector<double> differences;
  for (const auto& [run, result] : resultsA) {
    const auto other = resultsB.find(run);
    if (other == resultsB.end() || (!scenario.empty() && run.scenario != scenario))
      continue;
    valuesA.push_back(figure.valueOf(result));
    valuesB.push_back(figure.valueOf(other->second));
    differences.push_back(valuesA.back() - valuesB.back());
  }
  if (differences.empty())
    throw std::runtime_error("arms a and b have no run of the same scenario and seed in common");
  const Estimate difference = estimate(differences);
  fmt::print("  {:<12} a {:>9.4f}  b {:>9.4f}  a - b {:>+9.4f} -+ {:.4f}  {} up, {} down of {}  {}\n",
             figure.name, estimate(valuesA).mean, estimate(valuesB).mean, difference.mean, difference.half,
             difference.better, difference.worse, difference.count, verdictOf(difference));
}

/// `compare`: runs two arms on the same seeds and prints the differences with their confidence intervals.
class CompareCommand final : public Command {
 public:
  explicit CompareCommand(CLI::App& app)
      : Command(app, "compare", "run two arms on the same seeds and print the differences") {
    simulation_.addTo(subcommand());
    subcommand()
        .add_option("-a", armA_, "first arm: POLICY[,KEY=VALUE...], or @LABEL of runs in --db")
        ->capture_default_str();
    subcommand().add_option("-b", armB_, "second arm, in the same form as -a")->capture_default_str();
  }

  int run() override {
    const Arm armA(armA_);
    const Arm armB(armB_);
    exitCode_ = kExitSuccess;
    const ResultsByRun resultsA = resultsOf(armA);
    const ResultsByRun resultsB = resultsOf(armB);
    fmt::print("a = {}, b = {}; difference a - b with its 95 % confidence interval\n", armA.name, armB.name);
    for (const std::string& scenario : scenarioSections(resultsA)) {
      fmt::print("{}\n", scenario.empty() ? "all scenarios" : scenario);
      for (const ComparedFigure& figure : kComparedFigures)
        printFigure(figure, scenario, resultsA, resultsB);
    }
    return exitCode_;
  }

 private:
  ResultsByRun resultsOf(const Arm& arm) { return arm.label.empty() ? simulate(arm) : readStored(arm.label); }

  ResultsByRun simulate(const Arm& arm) {
    const std::vector<Scenario> scenarios = readScenarios(simulation_, arm.overrides);
    const std::vector<Result> results = playScenarios(scenarios, arm.policy, simulation_, false);
    exitCode_ = std::max(exitCode_, printBreaches(results));
    ResultsByRun byRun;
    for (const Result& result : results)
      byRun.insert_or_assign({result.scenario, result.seed}, result);
    return byRun;
  }

  ResultsByRun readStored(const std::string& label) const {
    if (simulation_.database.empty())
      throw std::runtime_error("arm '@" + label + "' requires --db");
    ResultsByRun byRun;
    for (StoredRun& stored : Store(simulation_.database).runs(label)) {
      RunKey key{stored.result.scenario, stored.result.seed};
      byRun.insert_or_assign(std::move(key), std::move(stored.result));
    }
    if (byRun.empty())
      throw std::runtime_error("no runs with label '" + label + "' in " + simulation_.database);
    return byRun;
  }

  SimulationOptions simulation_;
  std::string armA_ = kDefaultPolicy;
  std::string armB_ = "random";
  int exitCode_ = kExitSuccess;
};

}  // namespace

std::unique_ptr<Command> addCompareCommand(CLI::App& app) {
  return std::make_unique<CompareCommand>(app);
}

}  // namespace hollyrun::lab
