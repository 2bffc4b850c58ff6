/// What the commands that play scenarios in virtual time have in common: options, playing, results.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "lab/report/experiment.hpp"
#include "lab/simulation/scenario.hpp"

namespace hollyrun::lab {

struct SimulationOptions {
  std::vector<std::string> files;
  std::vector<std::string> overrides;  ///< KEY=VALUE over the files'
  std::string seeds = "1";             ///< as seedsFrom reads them
  std::string database;                ///< SQLite file; empty: none
  unsigned threads = 0;                ///< 0: one a core

  void addTo(CLI::App& subcommand);
};

/// The policy that is played unless an option names another, and the only one that is judged.
inline constexpr const char* kDefaultPolicy = "module";
/// The label of a run that has none of its own.
inline constexpr const char* kDefaultLabel = "run";

/// All files, with the options' overrides and then these.
std::vector<Scenario> readScenarios(const SimulationOptions& options,
                                    const std::vector<std::string>& moreOverrides = {});

/// Plays every scenario with every seed and logs the progress. With `series`, the servers' states over time
/// are kept in the results.
std::vector<Result> playScenarios(const std::vector<Scenario>& scenarios, const std::string& policy,
                                  const SimulationOptions& options, bool series);

/// Prints the rules that the module broke, a line each, and returns the exit code. Other policies are a
/// baseline and not judged.
int printBreaches(const std::vector<Result>& results);

/// The line that names the columns of `lineOf(Result)`.
void printResultHeader();

}  // namespace hollyrun::lab
