/// Options, execution and printing shared by the commands that simulate scenarios in virtual time.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "lab/report/experiment.hpp"
#include "lab/simulation/scenario.hpp"

namespace hollyrun::lab {

struct SimulationOptions {
  std::vector<std::string> files;
  std::vector<std::string> overrides;  ///< KEY=VALUE, override the values in the files
  std::string seeds = "1";             ///< in the form parsed by seedsFrom
  std::string database;                ///< SQLite file; empty: none
  unsigned threads = 0;                ///< 0: one per core

  void addTo(CLI::App& subcommand);
};

/// The policy used by default, and the only one whose rule violations are reported.
inline constexpr const char* kDefaultPolicy = "module";
/// The label of a run without an explicit label.
inline constexpr const char* kDefaultLabel = "run";

/// Reads all files and applies the overrides of the options, then `moreOverrides`.
std::vector<Scenario> readScenarios(const SimulationOptions& options,
                                    const std::vector<std::string>& moreOverrides = {});

/// Simulates every scenario with every seed and logs the progress. With `series`, the results include the
/// servers' states over time.
std::vector<Result> playScenarios(const std::vector<Scenario>& scenarios, const std::string& policy,
                                  const SimulationOptions& options, bool series);

/// Prints each rule violation of the module as a line and returns the exit code. Other policies are a
/// baseline and their violations are ignored.
int printBreaches(const std::vector<Result>& results);

/// Prints the column names of `lineOf(Result)`.
void printResultHeader();

}  // namespace hollyrun::lab
