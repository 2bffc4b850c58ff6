#include <spdlog/fmt/fmt.h>

#include <cstdio>
#include <string>
#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/simulation/scenario.hpp"

namespace hollyrun::lab {
namespace {

/// `check`: validates scenarios and reports the errors of each.
class CheckCommand final : public Command {
 public:
  explicit CheckCommand(CLI::App& app) : Command(app, "check", "validate scenario files") {
    subcommand().add_option("scenario", files_, "scenario files (TOML)")->required();
    subcommand()
        .add_option("--set", overrides_, "KEY=VALUE, overrides the value in the files")
        ->allow_extra_args(false);
  }

  int run() override {
    int exitCode = kExitSuccess;
    for (const std::string& file : files_) {
      try {
        readScenario(file, overrides_);
        fmt::print("{}: valid\n", file);
      } catch (const ScenarioError& error) {
        fmt::print(stderr, "{}\n", error.what());
        exitCode = kExitInvalidInput;
      }
    }
    return exitCode;
  }

 private:
  std::vector<std::string> files_;
  std::vector<std::string> overrides_;
};

}  // namespace

std::unique_ptr<Command> addCheckCommand(CLI::App& app) {
  return std::make_unique<CheckCommand>(app);
}

}  // namespace hollyrun::lab
