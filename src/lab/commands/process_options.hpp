/// What the commands that work on real sockets have in common: options and how their results are stored.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/simulation/scenario.hpp"
#include "lab/simulation/simulation.hpp"

namespace hollyrun::lab {

/// The one scenario that is emulated.
struct EmulationOptions {
  std::vector<std::string> files;      ///< exactly one
  std::vector<std::string> overrides;  ///< KEY=VALUE over the file's
  std::uint64_t seed = 1;

  void addTo(CLI::App& subcommand);
  const std::string& file() const { return files.front(); }
  Scenario read() const;
};

/// The load, and where its result is stored.
struct MeasurementOptions {
  double rate = 0;       ///< first tries a second; 0: by the scenario's level
  std::string database;  ///< SQLite file; empty: none
  std::string label;

  MeasurementOptions();
  void addTo(CLI::App& subcommand);
  void store(const Result& result) const;
};

}  // namespace hollyrun::lab
