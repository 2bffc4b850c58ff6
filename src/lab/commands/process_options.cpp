#include "lab/commands/process_options.hpp"

#include "lab/commands/simulation_options.hpp"
#include "lab/report/store.hpp"

namespace hollyrun::lab {

void EmulationOptions::addTo(CLI::App& subcommand) {
  subcommand.add_option("file", files, "scenario file (TOML)")->required()->expected(1);
  subcommand.add_option("--set", overrides, "KEY=VALUE, overrides the value in the file")
      ->allow_extra_args(false);
  subcommand.add_option("--seed", seed, "random seed")->capture_default_str();
}

Scenario EmulationOptions::read() const {
  return readScenario(file(), overrides);
}

MeasurementOptions::MeasurementOptions() : label(kDefaultLabel) {}

void MeasurementOptions::addTo(CLI::App& subcommand) {
  subcommand.add_option("--rate", rate,
                        "calls per second, not counting retries; 0: by the level of the scenario");
  subcommand.add_option("--db", database, "SQLite file to store the results in");
  subcommand.add_option("--label", label, "label of this run in the SQLite file")->capture_default_str();
}

void MeasurementOptions::store(const Result& result) const {
  if (!database.empty())
    Store(database).put(label, {result}, false);
}

}  // namespace hollyrun::lab
