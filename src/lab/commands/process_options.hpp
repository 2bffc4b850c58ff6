/// Options and result storage shared by the commands that use real sockets.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/simulation/scenario.hpp"
#include "lab/simulation/simulation.hpp"

namespace hollyrun::lab {

/// The scenario to emulate.
struct EmulationOptions {
  std::vector<std::string> files;      ///< exactly one
  std::vector<std::string> overrides;  ///< KEY=VALUE, override the values in the file
  std::uint64_t seed = 1;

  void addTo(CLI::App& subcommand);
  const std::string& file() const { return files.front(); }
  Scenario read() const;
};

/// The rate of the load and the storage of its result.
struct MeasurementOptions {
  double rate = 0;       ///< calls per second, not counting retries; 0: from the scenario's load level
  std::string database;  ///< SQLite file; empty: results are not stored
  std::string label;

  MeasurementOptions();
  void addTo(CLI::App& subcommand);
  void store(const Result& result) const;
};

}  // namespace hollyrun::lab
