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

const std::map<Dimension, const char*>& helpOfSizes() {
  static const std::map<Dimension, const char*> all{
      {Dimension::gateways, "real gateways, processes of their own"},
      {Dimension::stubs, "gateways without clients, 52 to a process"},
      {Dimension::servers, "stub servers, each at an address of its own"},
      {Dimension::tenants, "tenants of the settings and of the load"},
      {Dimension::classes, "classes of the settings and of the load; 0: the scenario's own"},
      {Dimension::rate, "requests a second at each real gateway"},
      {Dimension::changes, "changes of the list a second, while idle and under the load"}};
  return all;
}

std::string lineOf(const char* dimension, const StepResult& step) {
  std::string line = fmt::format("{} {:g}, round {}:", dimension, step.size, step.round + 1);
  for (std::size_t i = 0; i < kFigureCount; ++i)
    if (step.figures[i])
      line += fmt::format(" {} {:.2f}", textOf(static_cast<Figure>(i)).name, *step.figures[i]);
  return step.voidReason.empty() ? line : line + " VOID: " + step.voidReason;
}

void keepStep(const std::string& db, ScaleRun run, const StepResult& step) {
  if (db.empty())
    return;
  run.steps = {step};
  Store(db).putScale(run);
}

// Runs of one label by the same command are rounds of one.
std::vector<ScaleRun> byCommand(const std::vector<ScaleRun>& runs) {
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

/// `scale`: what a gateway costs by the size of its fleet, on processes. It starts the stub commands.
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
  int play();
  int showKept() const;

  std::string commandLine_;
  ScalePlan plan_;
  std::string scenario_;
  std::string db_;
  std::string label_ = "scale";
  std::vector<std::string> set_;
  std::vector<std::string> bounds_;
  std::vector<std::vector<double>> sizes_;  // by dimension; one of them may have several
  bool kept_ = false;
};

ScaleCommand::ScaleCommand(CLI::App& app, std::string commandLine)
    : Command(app, "scale", "what a gateway costs by the size of its fleet, on processes"),
      commandLine_(std::move(commandLine)) {
  subcommand().add_option("scenario", scenario_, "scenario (TOML): classes, keys and zones of the load");
  subcommand().add_option("--set", set_, "KEY=VALUE over the file's")->allow_extra_args(false);
  addSizes();
  addLoadOptions();
  addFleetOptions();
  addResultOptions();
}

void ScaleCommand::addLoadOptions() {
  CLI::App& options = subcommand();
  plan_.program = "build/hollyrun";
  options.add_option("--program", plan_.program, "the built gateway")->capture_default_str();
  options.add_option("--rounds", plan_.rounds, "of all steps")->capture_default_str();
  options.add_option("--idle", plan_.idleS, "seconds without requests")->capture_default_str();
  options.add_option("--for", plan_.loadS, "seconds of each load")->capture_default_str();
  options.add_option("--warm", plan_.warmS, "seconds of a load before it")->capture_default_str();
  options.add_option("--answer-ms", plan_.answerMs, "until a stub server answers")->capture_default_str();
  options.add_option("--hangups", plan_.hangups, "SIGHUPs a step")->capture_default_str();
}

void ScaleCommand::addFleetOptions() {
  CLI::App& options = subcommand();
  options.add_option("--list-changes", plan_.listChanges, "followed to all stub gateways")
      ->capture_default_str();
  options
      .add_option("--outage", plan_.outageS, "seconds of discovery before its watches begin anew; 0: none")
      ->capture_default_str();
  options.add_option("--configured", plan_.configuredGateways, "fleet.gateways of the settings")
      ->capture_default_str();
  options.add_option("--period", plan_.membershipPeriodMs, "of membership, ms; 0: no membership")
      ->capture_default_str();
  options.add_option("--join", plan_.joinTimeoutS, "seconds until all members have to see all")
      ->capture_default_str();
}

void ScaleCommand::addResultOptions() {
  CLI::App& options = subcommand();
  options.add_option("--seed", plan_.seed, "of all that is drawn")->capture_default_str();
  options.add_option("--db", db_, "SQLite file that keeps the steps");
  options.add_option("--label", label_, "name of this run there")->capture_default_str();
  options.add_flag("--kept", kept_, "play nothing, print the tables of the kept runs");
  options.add_option("--at-most", bounds_, "FIGURE=FACTOR: from the first size to the last")
      ->allow_extra_args(false);
}

void ScaleCommand::addSizes() {
  sizes_.resize(std::size(kDimensions));
  for (std::size_t i = 0; i < sizes_.size(); ++i) {
    const Dimension dimension = kDimensions[i];
    sizes_[i] = {plan_.size.get(dimension)};
    subcommand()
        .add_option(std::string("--") + nameOf(dimension), sizes_[i], helpOfSizes().at(dimension))
        ->delimiter(',')
        ->capture_default_str();
  }
}

int ScaleCommand::run() {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
  return kept_ ? showKept() : play();
}

/// Of the dimensions, the one with several sizes is the one that is varied.
void ScaleCommand::readSizes() {
  std::size_t stepped = 0;
  plan_.values = {plan_.size.get(plan_.dimension)};
  for (std::size_t i = 0; i < sizes_.size(); ++i) {
    plan_.size.set(kDimensions[i], sizes_[i].front());
    if (kDimensions[i] == plan_.dimension && stepped == 0)
      plan_.values = sizes_[i];
    if (sizes_[i].size() < 2)
      continue;
    if (++stepped > 1)
      throw std::invalid_argument("scale: only one dimension may have several sizes");
    plan_.dimension = kDimensions[i];
    plan_.values = sizes_[i];
  }
}

int ScaleCommand::play() {
  if (scenario_.empty())
    throw std::invalid_argument("scale: a scenario is required");
  plan_.scenario = readScenario(scenario_, set_);
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
                  keepStep(db_, run, step);
                }).steps;
  } catch (const ScaleInterrupted&) {
    return kExitInterrupted;
  }
  fmt::print("{}", tableOf(run));
  if (hasVoidStep(run))
    return kExitVoid;
  const std::vector<std::string> faults = growthViolations(run, bounds);
  for (const std::string& fault : faults)
    fmt::print("{}\n", fault);
  return faults.empty() ? kExitSuccess : kExitRuleBroken;
}

int ScaleCommand::showKept() const {
  if (db_.empty())
    throw std::invalid_argument("scale --kept needs --db");
  for (const ScaleRun& run : byCommand(Store(db_).scaleRuns(label_)))
    fmt::print("{}: {}\n\n{}\n", run.label, run.command, tableOf(run));
  return kExitSuccess;
}

}  // namespace

std::unique_ptr<Command> addScaleCommand(CLI::App& app, const std::string& commandLine) {
  return std::make_unique<ScaleCommand>(app, commandLine);
}

}  // namespace hollyrun::lab
