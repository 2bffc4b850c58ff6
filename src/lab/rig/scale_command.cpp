#include "lab/rig/scale_command.hpp"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <stdexcept>

#include "lab/report/store.hpp"
#include "lab/rig/scale.hpp"
#include "lab/rig/scale_rig.hpp"

namespace hollyrun::lab {
namespace {

constexpr int kBroken = 1, kVoid = 3, kInterrupted = 130;

const std::map<Dimension, const char*>& helpOfSizes() {
  static const std::map<Dimension, const char*> all{
      {Dimension::gateways, "real gateways, processes of their own"},
      {Dimension::hollow, "gateways without clients, 52 to a process"},
      {Dimension::servers, "hollow servers, each at an address of its own"},
      {Dimension::tenants, "tenants of the settings and of the load"},
      {Dimension::classes, "classes of the settings and of the load; 0: the scenario's own"},
      {Dimension::rate, "requests a second at each real gateway"},
      {Dimension::changes, "changes of the list a second, while idle and under the load"}};
  return all;
}

std::string lineOf(const char* dimension, const StepResult& step) {
  std::string line = fmt::format("{} {:g}, round {}:", dimension, step.size, step.round + 1);
  for (std::size_t i = 0; i < kFigures; ++i)
    if (step.figures[i])
      line += fmt::format(" {} {:.2f}", textOf(static_cast<Figure>(i)).name, *step.figures[i]);
  return step.voided.empty() ? line : line + " VOID: " + step.voided;
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

}  // namespace

ScaleCommand::ScaleCommand(CLI::App& app) {
  addScale(app);
  addHollow(app);
}

void ScaleCommand::addScale(CLI::App& app) {
  scale_ = app.add_subcommand("scale", "what a gateway costs by the size of its fleet, on processes");
  scale_->add_option("scenario", scenario_, "scenario (TOML): classes, keys and zones of the load");
  scale_->add_option("--set", set_, "KEY=VALUE over the file's")->allow_extra_args(false);
  addSizes(*scale_);
  plan_.program = "build/hollyrun";
  scale_->add_option("--program", plan_.program, "the built gateway")->capture_default_str();
  scale_->add_option("--rounds", plan_.rounds, "of all steps")->capture_default_str();
  scale_->add_option("--idle", plan_.idleS, "seconds without requests")->capture_default_str();
  scale_->add_option("--for", plan_.loadS, "seconds of each load")->capture_default_str();
  scale_->add_option("--warm", plan_.warmS, "seconds of a load before it")->capture_default_str();
  scale_->add_option("--answer-ms", plan_.answerMs, "until a hollow server answers")->capture_default_str();
  scale_->add_option("--hangups", plan_.hangups, "SIGHUPs a step")->capture_default_str();
  scale_->add_option("--list-changes", plan_.listChanges, "followed to all hollow gateways")
      ->capture_default_str();
  scale_->add_option("--outage", plan_.outageS, "seconds of discovery before its watches begin anew; 0: none")
      ->capture_default_str();
  scale_->add_option("--configured", plan_.configured, "fleet.gateways of the settings")
      ->capture_default_str();
  scale_->add_option("--period", plan_.membershipPeriodMs, "of membership, ms; 0: no membership")
      ->capture_default_str();
  scale_->add_option("--join", plan_.joinMostS, "seconds until all members have to see all")
      ->capture_default_str();
  scale_->add_option("--seed", plan_.seed, "of all that is drawn")->capture_default_str();
  scale_->add_option("--db", db_, "SQLite file that keeps the steps");
  scale_->add_option("--label", label_, "name of this run there")->capture_default_str();
  scale_->add_flag("--kept", kept_, "play nothing, print the tables of the kept runs");
  scale_->add_option("--at-most", bounds_, "FIGURE=FACTOR: from the first size to the last")
      ->allow_extra_args(false);
}

void ScaleCommand::addSizes(CLI::App& scale) {
  sizes_.resize(std::size(kDimensions));
  for (std::size_t i = 0; i < sizes_.size(); ++i) {
    const Dimension dimension = kDimensions[i];
    sizes_[i] = {plan_.size.of(dimension)};
    scale.add_option(std::string("--") + nameOf(dimension), sizes_[i], helpOfSizes().at(dimension))
        ->delimiter(',')
        ->capture_default_str();
  }
}

void ScaleCommand::addHollow(CLI::App& app) {
  servers_ = app.add_subcommand("hollow-servers", "started by `scale`: servers that do no work");
  servers_->add_option("--first-address", serverPlan_.firstAddress)->required();
  servers_->add_option("--count", serverPlan_.count)->required();
  servers_->add_option("--answer-ms", serverPlan_.answerMs)->required();
  gateways_ = app.add_subcommand("hollow-gateways", "started by `scale`: gateways without clients");
  gateways_->add_option("--first", gatewayPlan_.first)->required();
  gateways_->add_option("--count", gatewayPlan_.count)->required();
  gateways_->add_option("--config", gatewayPlan_.config)->required();
  gateways_->add_option("--discovery", gatewayPlan_.discovery)->required();
  gateways_->add_option("--seeds", gatewayPlan_.seeds);
}

int ScaleCommand::run(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
  if (servers_->parsed())
    return runHollowServers(serverPlan_);
  if (gateways_->parsed())
    return runHollowGateways(gatewayPlan_);
  if (kept_)
    return showKept();
  std::string command = "hollyrun-lab";
  for (int i = 1; i < argc; ++i)
    command += std::string(" ") + argv[i];
  return play(command);
}

int ScaleCommand::play(const std::string& command) {
  if (scenario_.empty())
    throw std::invalid_argument("scale: a scenario is required");
  plan_.scenario = readScenario(scenario_, set_);
  plan_.lab = std::filesystem::read_symlink("/proc/self/exe").string();
  std::vector<ShapeBound> bounds;
  for (const std::string& text : bounds_)
    bounds.push_back(parseShapeBound(text));
  std::size_t stepped = 0;
  plan_.values = {plan_.size.of(plan_.dimension)};
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
  ScaleRun run;
  run.label = label_;
  run.dimension = nameOf(plan_.dimension);
  run.command = command;
  try {
    run.steps = playScale(plan_, [&](const StepResult& step) {
                  spdlog::info("{}", lineOf(run.dimension.c_str(), step));
                  keepStep(db_, run, step);
                }).steps;
  } catch (const ScaleInterrupted&) {
    return kInterrupted;
  }
  fmt::print("{}", tableOf(run));
  if (hasVoidStep(run))
    return kVoid;
  const std::vector<std::string> faults = shapeFaults(run, bounds);
  for (const std::string& fault : faults)
    fmt::print("{}\n", fault);
  return faults.empty() ? 0 : kBroken;
}

int ScaleCommand::showKept() const {
  if (db_.empty())
    throw std::invalid_argument("scale --kept needs --db");
  for (const ScaleRun& run : byCommand(Store(db_).scaleRuns(label_)))
    fmt::print("{}: {}\n\n{}\n", run.label, run.command, tableOf(run));
  return 0;
}

}  // namespace hollyrun::lab
