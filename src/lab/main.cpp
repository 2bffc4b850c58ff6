/// hollyrun-lab: simulates and emulates scenarios of the platform with the decision module or another policy.
///
/// See lab/commands/exit_codes.hpp for the exit codes.
#include <spdlog/fmt/fmt.h>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <memory>
#include <string>
#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"

namespace hollyrun::lab {
namespace {

using Commands = std::vector<std::unique_ptr<Command>>;

/// Adds the commands in the order of the help text.
Commands addCommands(CLI::App& app, const std::string& commandLine) {
  Commands commands;
  commands.push_back(addCheckCommand(app));
  commands.push_back(addRunCommand(app));
  commands.push_back(addCompareCommand(app));
  commands.push_back(addSweepCommand(app));
  commands.push_back(addReportCommand(app));
  commands.push_back(addServeCommand(app));
  commands.push_back(addLoadCommand(app));
  commands.push_back(addFleetCommand(app));
  commands.push_back(addMembersCommand(app));
  commands.push_back(addScaleCommand(app, commandLine));
  commands.push_back(addStubServersCommand(app));
  commands.push_back(addStubGatewaysCommand(app));
  commands.push_back(addSoakCommand(app));
  commands.push_back(addCostCommand(app));
  return commands;
}

std::string commandLineOf(int argc, char** argv) {
  std::string commandLine = "hollyrun-lab";
  for (int i = 1; i < argc; ++i)
    commandLine += std::string(" ") + argv[i];
  return commandLine;
}

int runParsed(const Commands& commands) {
  try {
    for (const std::unique_ptr<Command>& command : commands)
      if (command->parsed())
        return command->run();
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
  }
  return kExitInvalidInput;
}

int runProgram(int argc, char** argv) {
  CLI::App app{
      "hollyrun lab: simulations, load tests and fault tests of the gateway and its decision module"};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 success, 1 a rule was broken, 2 invalid arguments, scenario or file, 3 run void because "
      "this "
      "machine was too slow, 130 interrupted. See docs/lab.md.");
  const Commands commands = addCommands(app, commandLineOf(argc, argv));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? kExitSuccess : kExitInvalidInput;
  }
  return runParsed(commands);
}

}  // namespace
}  // namespace hollyrun::lab

int main(int argc, char** argv) {
  spdlog::set_default_logger(spdlog::stderr_color_mt("hollyrun-lab"));
  spdlog::set_pattern("%v");
  return hollyrun::lab::runProgram(argc, argv);
}
