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

/// `fleet`: real gateway processes under load and faults.
class FleetCommand final : public Command {
 public:
  explicit FleetCommand(CLI::App& app)
      : Command(app, "fleet", "real processes of the program under load and faults, judged") {
    CLI::App& options = subcommand();
    emulation_.addTo(options);
    measurement_.addTo(options);
    options.add_option("--program", program_, "the built gateway")->capture_default_str();
    options.add_option("--dir", directory_,
                       "an existing folder for the processes' files; none: one that goes again");
    options.add_option("--out", outputFile_, "HTML page to write");
    options.add_flag("--log", printTimeline_, "print the time line, too");
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
