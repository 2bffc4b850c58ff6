#include <spdlog/fmt/fmt.h>

#include <string>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/commands/process_options.hpp"
#include "lab/commands/text_file.hpp"
#include "lab/testbed/fleet.hpp"

namespace hollyrun::lab {
namespace {

int exitCodeOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::pass:
      return kExitSuccess;
    case Verdict::fail:
      return kExitRuleBroken;
    case Verdict::voided:
      return kExitVoid;
    case Verdict::interrupted:
      return kExitInterrupted;
  }
  return kExitRuleBroken;
}

/// `fleet`: runs gateway processes under load and faults.
class FleetCommand final : public Command {
 public:
  explicit FleetCommand(CLI::App& app)
      : Command(app, "fleet", "run gateway processes under load and faults and check the rules") {
    CLI::App& options = subcommand();
    emulation_.addTo(options);
    measurement_.addTo(options);
    options.add_option("--program", program_, "path of the hollyrun executable")->capture_default_str();
    options.add_option("--dir", directory_,
                       "existing directory for the files of the processes; default: a temporary directory");
    options.add_option("--out", outputFile_, "HTML report to write");
    options.add_flag("--log", printTimeline_, "also print the timeline");
  }

  int run() override {
    const Scenario scenario = emulation_.read();
    const FleetResult result =
        playFleet(scenario, {program_, directory_, emulation_.seed, measurement_.rate});
    measurement_.store(result.result);
    if (!outputFile_.empty())
      writeTextFile(outputFile_, pageOf(result));
    if (printTimeline_)
      for (const std::string& line : result.timeline)
        fmt::print("{}\n", line);
    fmt::print("{}", textOf(result));
    return exitCodeOf(result.verdict);
  }

 private:
  EmulationOptions emulation_;
  MeasurementOptions measurement_;
  std::string program_ = "build/hollyrun";
  std::string directory_;
  std::string outputFile_;
  bool printTimeline_ = false;
};

}  // namespace

std::unique_ptr<Command> addFleetCommand(CLI::App& app) {
  return std::make_unique<FleetCommand>(app);
}

}  // namespace hollyrun::lab
