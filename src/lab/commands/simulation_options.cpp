#include "lab/commands/simulation_options.hpp"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <functional>

#include "lab/commands/exit_codes.hpp"
#include "lab/report/report.hpp"

namespace hollyrun::lab {
namespace {

/// Logs the number of simulated days, at most every two seconds.
class ProgressLog {
 public:
  explicit ProgressLog(std::size_t total) : total_(total), lastLogged_(std::chrono::steady_clock::now()) {}

  void operator()(std::size_t done) {
    const auto now = std::chrono::steady_clock::now();
    if (now - lastLogged_ < kInterval)
      return;
    lastLogged_ = now;
    spdlog::info("{} of {} days simulated", done, total_);
  }

 private:
  static constexpr std::chrono::seconds kInterval{2};

  std::size_t total_;
  std::chrono::steady_clock::time_point lastLogged_;
};

}  // namespace

void SimulationOptions::addTo(CLI::App& subcommand) {
  subcommand.add_option("scenario", files, "scenario files (TOML)")->required();
  subcommand
      .add_option("--set", overrides,
                  "KEY=VALUE in TOML, overrides the value in the files, for example load.level=0.9")
      ->allow_extra_args(false);
  subcommand.add_option("--seeds,--seed", seeds, "random seeds, for example 7, 1-30 or 1,4,9-12")
      ->capture_default_str();
  subcommand.add_option("--threads", threads, "number of days to simulate in parallel; 0: one per core")
      ->capture_default_str();
  subcommand.add_option("--db", database, "SQLite file to store the results in");
}

std::vector<Scenario> readScenarios(const SimulationOptions& options,
                                    const std::vector<std::string>& moreOverrides) {
  std::vector<std::string> overrides = options.overrides;
  overrides.insert(overrides.end(), moreOverrides.begin(), moreOverrides.end());
  std::vector<Scenario> scenarios;
  for (const std::string& file : options.files)
    scenarios.push_back(readScenario(file, overrides));
  return scenarios;
}

std::vector<Result> playScenarios(const std::vector<Scenario>& scenarios, const std::string& policy,
                                  const SimulationOptions& options, bool series) {
  std::vector<Day> days;
  for (const Scenario& scenario : scenarios)
    for (const std::uint64_t seed : seedsFrom(options.seeds))
      days.push_back({&scenario, policy, seed});
  ProgressLog progress(days.size());
  return playAll(days, options.threads, series, std::ref(progress));
}

int printBreaches(const std::vector<Result>& results) {
  int exitCode = kExitSuccess;
  for (const Result& result : results) {
    if (result.policy != kDefaultPolicy)
      continue;
    for (const Breach& breach : result.breaches) {
      fmt::print("{} seed {}: {}\n", result.scenario, result.seed, lineOf(breach));
      exitCode = kExitRuleBroken;
    }
  }
  return exitCode;
}

void printResultHeader() {
  fmt::print(
      "scenario policy seed G whole worst10s worst_class refused failed jammed p50_ms p99_ms digest\n");
}

}  // namespace hollyrun::lab
