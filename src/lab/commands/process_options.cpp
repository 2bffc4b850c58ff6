#include "lab/commands/process_options.hpp"

#include "lab/commands/simulation_options.hpp"
#include "lab/report/store.hpp"

namespace hollyrun::lab {

void EmulationOptions::addTo(CLI::App& subcommand) {
  subcommand.add_option("file", files, "scenario (TOML)")->required()->expected(1);
  subcommand.add_option("--set", overrides, "KEY=VALUE over the file's")->allow_extra_args(false);
  subcommand.add_option("--seed", seed, "of all that is drawn")->capture_default_str();
}

Scenario EmulationOptions::read() const {
  return readScenario(file(), overrides);
}

MeasurementOptions::MeasurementOptions() : label(kDefaultLabel) {}

void MeasurementOptions::addTo(CLI::App& subcommand) {
  subcommand.add_option("--rate", rate, "first tries a second; 0: by the scenario's level");
  subcommand.add_option("--db", database, "SQLite file that keeps the results");
  subcommand.add_option("--label", label, "name of this run there")->capture_default_str();
}

void MeasurementOptions::store(const Result& result) const {
  if (!database.empty())
    Store(database).put(label, {result}, false);
}

}  // namespace hollyrun::lab
