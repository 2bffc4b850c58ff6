#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/report/store.hpp"
#include "lab/testbed/scale.hpp"
#include "lab/testbed/scale_plan.hpp"
#include "lab/testbed/scale_testbed.hpp"

namespace hollyrun::lab {
namespace {

const std::map<Dimension, const char*>& sizeHelpTexts() {
  static const std::map<Dimension, const char*> all{
      {Dimension::gateways, "numbers of real gateway processes"},
      {Dimension::stubs, "numbers of stub gateways without clients, 52 per process"},
      {Dimension::servers, "numbers of stub servers, each with its own address"},
      {Dimension::tenants, "numbers of tenants in the settings and the load"},
      {Dimension::classes, "numbers of classes in the settings and the load; 0: those of the scenario"},
      {Dimension::rate, "requests per second at each real gateway"},
      {Dimension::changes, "endpoint list changes per second, while idle and under load"}};
  return all;
}

std::string lineOf(const char* dimension, const StepResult& step) {
  std::string line = fmt::format("{} {:g}, round {}:", dimension, step.size, step.round + 1);
  for (std::size_t i = 0; i < kFigureCount; ++i)
    if (step.figures[i])
      line += fmt::format(" {} {:.2f}", textOf(static_cast<Figure>(i)).name, *step.figures[i]);
  return step.voidReason.empty() ? line : line + " VOID: " + step.voidReason;
}

void storeStep(const std::string& database, ScaleRun run, const StepResult& step) {
  if (database.empty())
    return;
  run.steps = {step};
  Store(database).putScale(run);
}

// Merges the steps of runs that have the same label and command line.
std::vector<ScaleRun> mergeRepeatedRuns(const std::vector<ScaleRun>& runs) {
  std::vector<ScaleRun> all;
  for (const ScaleRun& run : runs) {
    const auto same = std::find_if(all.begin(), all.end(), [&](const ScaleRun& other) {
      return other.label == run.label && other.command == run.command;
    });
    if (same == all.end())
      all.push_back(run);
    else
      same->steps.insert(same->steps.end(), run.steps.begin(), run.steps.end());
  }
  return all;
}

/// `scale`: measures the cost of a gateway by the size of its fleet with real processes. It starts
/// processes of the stub commands.
class ScaleCommand final : public Command {
 public:
  ScaleCommand(CLI::App& app, std::string commandLine);
  int run() override;

 private:
  void addLoadOptions();
  void addFleetOptions();
  void addResultOptions();
  void addSizes();
  void readSizes();
  int runSteps();
  int printStoredRuns() const;

  std::string commandLine_;
  ScalePlan plan_;
  std::string scenario_;
  std::string database_;
  std::string label_ = "scale";
  std::vector<std::string> overrides_;
  std::vector<std::string> bounds_;
  std::vector<std::vector<double>> sizes_;  // by dimension; only one dimension may have several
  bool printStored_ = false;
};

ScaleCommand::ScaleCommand(CLI::App& app, std::string commandLine)
    : Command(app, "scale", "measure the cost of a gateway process by the size of its fleet"),
      commandLine_(std::move(commandLine)) {
  subcommand().add_option("scenario", scenario_,
                          "scenario file (TOML) with the classes, keys and zones of the load");
  subcommand()
      .add_option("--set", overrides_, "KEY=VALUE, overrides the value in the file")
      ->allow_extra_args(false);
  addSizes();
  addLoadOptions();
  addFleetOptions();
  addResultOptions();
}

void ScaleCommand::addLoadOptions() {
  CLI::App& options = subcommand();
  plan_.program = "build/hollyrun";
  options.add_option("--program", plan_.program, "path of the hollyrun executable")->capture_default_str();
  options.add_option("--rounds", plan_.rounds, "number of repetitions of all steps")->capture_default_str();
  options.add_option("--idle", plan_.idleS, "duration of the idle phase in seconds")->capture_default_str();
  options.add_option("--for", plan_.loadS, "duration of each load in seconds")->capture_default_str();
  options.add_option("--warm", plan_.warmS, "duration of the warm-up load in seconds")->capture_default_str();
  options.add_option("--answer-ms", plan_.answerMs, "response time of a stub server in ms")
      ->capture_default_str();
  options.add_option("--hangups", plan_.hangups, "number of SIGHUPs per step")->capture_default_str();
}

void ScaleCommand::addFleetOptions() {
  CLI::App& options = subcommand();
  options
      .add_option("--list-changes", plan_.listChanges,
                  "number of endpoint list changes timed until all stub gateways have them")
      ->capture_default_str();
  options.add_option("--outage", plan_.outageS, "duration of the discovery outage in seconds; 0: none")
      ->capture_default_str();
  options.add_option("--configured", plan_.configuredGateways, "value of fleet.gateways in the settings")
      ->capture_default_str();
  options.add_option("--period", plan_.membershipPeriodMs, "membership period in ms; 0: no membership")
      ->capture_default_str();
  options.add_option("--join", plan_.joinTimeoutS, "time limit in seconds for all members to see each other")
      ->capture_default_str();
}

void ScaleCommand::addResultOptions() {
  CLI::App& options = subcommand();
  options.add_option("--seed", plan_.seed, "random seed")->capture_default_str();
  options.add_option("--db", database_, "SQLite file to store the steps in");
  options.add_option("--label", label_, "label of this run in the SQLite file")->capture_default_str();
  options.add_flag("--kept", printStored_, "run nothing, print the tables of the stored runs");
  options.add_option("--at-most", bounds_, "FIGURE=FACTOR: maximum growth from the first size to the last")
      ->allow_extra_args(false);
}

void ScaleCommand::addSizes() {
  sizes_.resize(std::size(kDimensions));
  for (std::size_t i = 0; i < sizes_.size(); ++i) {
    const Dimension dimension = kDimensions[i];
    sizes_[i] = {plan_.size.get(dimension)};
    subcommand()
        .add_option(std::string("--") + nameOf(dimension), sizes_[i], sizeHelpTexts().at(dimension))
        ->delimiter(',')
        ->capture_default_str();
  }
}

int ScaleCommand::run() {
  std::signal(SIGPIPE, SIG_IGN);  // a closed connection is reported by the error of the write
  return printStored_ ? printStoredRuns() : runSteps();
}

/// Copies the sizes into the plan. The dimension with several sizes is the one that is varied.
void ScaleCommand::readSizes() {
  std::size_t variedDimensions = 0;
  plan_.values = {plan_.size.get(plan_.dimension)};
  for (std::size_t i = 0; i < sizes_.size(); ++i) {
    plan_.size.set(kDimensions[i], sizes_[i].front());
    if (kDimensions[i] == plan_.dimension && variedDimensions == 0)
      plan_.values = sizes_[i];
    if (sizes_[i].size() < 2)
      continue;
    if (++variedDimensions > 1)
      throw std::invalid_argument("scale: only one dimension may have several sizes");
    plan_.dimension = kDimensions[i];
    plan_.values = sizes_[i];
  }
}

int ScaleCommand::runSteps() {
  if (scenario_.empty())
    throw std::invalid_argument("scale: a scenario is required");
  plan_.scenario = readScenario(scenario_, overrides_);
  plan_.lab = std::filesystem::read_symlink("/proc/self/exe").string();
  std::vector<GrowthBound> bounds;
  for (const std::string& text : bounds_)
    bounds.push_back(parseGrowthBound(text));
  readSizes();
  ScaleRun run;
  run.label = label_;
  run.dimension = nameOf(plan_.dimension);
  run.command = commandLine_;
  try {
    run.steps = playScale(plan_, [&](const StepResult& step) {
                  spdlog::info("{}", lineOf(run.dimension.c_str(), step));
                  storeStep(database_, run, step);
                }).steps;
  } catch (const ScaleInterrupted&) {
    return kExitInterrupted;
  }
  fmt::print("{}", tableOf(run));
  if (hasVoidStep(run))
    return kExitVoid;
  const std::vector<std::string> violations = growthViolations(run, bounds);
  for (const std::string& violation : violations)
    fmt::print("{}\n", violation);
  return violations.empty() ? kExitSuccess : kExitRuleBroken;
}

int ScaleCommand::printStoredRuns() const {
  if (database_.empty())
    throw std::invalid_argument("scale: --kept requires --db");
  for (const ScaleRun& run : mergeRepeatedRuns(Store(database_).scaleRuns(label_)))
    fmt::print("{}: {}\n\n{}\n", run.label, run.command, tableOf(run));
  return kExitSuccess;
}

}  // namespace

std::unique_ptr<Command> addScaleCommand(CLI::App& app, const std::string& commandLine) {
  return std::make_unique<ScaleCommand>(app, commandLine);
}

}  // namespace hollyrun::lab
